package compiler

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// Values with a special meaning, which replace a list, path or duration.
const (
	anyHost      = "*"
	noHosts      = "none"
	neverHedge   = "never"
	noMethods    = "none"
	noHealthPath = "none"
)

// maxRatePerSecond is the maximum rate of requests that operators may set.
const maxRatePerSecond = 1e9

// maxHealthPathBytes is the maximum length of a health path. It keeps the request
// within the fixed number of bytes that a health read charges to the budget for
// measurements.
const maxHealthPathBytes = 128

var (
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// setting is one key of the sections that configure an S: set parses a value into a
// spec, and get formats the value that a spec has.
type setting[S any] struct {
	key string
	set func(spec *S, value string) error
	get func(spec *S) string
}

// serviceSettings lists the keys of a service's section, in the order of ServiceSpec.
var serviceSettings = []setting[ServiceSpec]{
	nameSetting("owner", func(s *ServiceSpec) *string { return &s.Owner }),
	{key: "hosts", set: setHosts, get: getHosts},
	pathPrefixSetting(func(s *ServiceSpec) *string { return &s.PathPrefix }),
	durationSetting("timeout", time.Millisecond, 10*time.Minute, func(s *ServiceSpec) *time.Duration { return &s.Timeout }),
	durationSetting("max-timeout", time.Millisecond, time.Hour, func(s *ServiceSpec) *time.Duration { return &s.MaxTimeout }),
	durationSetting("stall-timeout", 10*time.Millisecond, 10*time.Minute, func(s *ServiceSpec) *time.Duration { return &s.StallTimeout }),
	intSetting("slots", 1, MaxSlots, func(s *ServiceSpec) *int { return &s.Slots }),
	intSetting("connections", 1, MaxConnections, func(s *ServiceSpec) *int { return &s.Connections }),
	intSetting("queue-length", 0, 10_000, func(s *ServiceSpec) *int { return &s.QueueLength }),
	{key: "overload", set: setOverload, get: getOverload},
	{key: "priority", set: setPriority, get: func(s *ServiceSpec) string { return s.Priority.String() }},
	{key: "repeatable-methods", set: setMethods, get: getMethods},
	percentSetting("retry-percent", func(s *ServiceSpec) *int { return &s.RetryPercent }),
	intSetting("max-attempts", 1, 10, func(s *ServiceSpec) *int { return &s.MaxAttempts }),
	{key: "hedge-after", set: setHedgeAfter, get: getHedgeAfter},
	durationSetting("key-retention", time.Second, 24*time.Hour, func(s *ServiceSpec) *time.Duration { return &s.KeyRetention }),
	intSetting("probe-messages", 0, 1_000, func(s *ServiceSpec) *int { return &s.ProbeMessages }),
	intSetting("probe-bytes", 0, 100_000, func(s *ServiceSpec) *int { return &s.ProbeBytes }),
	durationSetting("sample-max-age", time.Millisecond, time.Minute, func(s *ServiceSpec) *time.Duration { return &s.SampleMaxAge }),
	{key: "health-path", set: setHealthPath, get: getHealthPath},
	durationSetting("cold-start", 0, 10*time.Minute, func(s *ServiceSpec) *time.Duration { return &s.ColdStart }),
	numberSetting("cold-rate", 0, maxRatePerSecond, func(s *ServiceSpec) *float64 { return &s.ColdRate }),
	percentSetting("min-healthy-percent", func(s *ServiceSpec) *int { return &s.MinHealthyPercent }),
}

var serviceSettingsByKey = byKey(serviceSettings)

func byKey[S any](list []setting[S]) map[string]setting[S] {
	m := make(map[string]setting[S], len(list))
	for _, s := range list {
		m[s.key] = s
	}
	return m
}

func settingKeys[S any](list []setting[S]) []string {
	keys := make([]string, len(list))
	for i, s := range list {
		keys[i] = s.key
	}
	return keys
}

func nameSetting[S any](key string, field func(*S) *string) setting[S] {
	return setting[S]{
		key: key,
		set: func(s *S, value string) (err error) {
			*field(s), err = parser.Name(value)
			return err
		},
		get: func(s *S) string { return *field(s) },
	}
}

func durationSetting[S any](key string, low, high time.Duration, field func(*S) *time.Duration) setting[S] {
	return setting[S]{
		key: key,
		set: func(s *S, value string) (err error) {
			*field(s), err = parser.Duration(value, low, high)
			return err
		},
		get: func(s *S) string { return parser.FormatDuration(*field(s)) },
	}
}

func intSetting[S any](key string, low, high int, field func(*S) *int) setting[S] {
	return setting[S]{
		key: key,
		set: func(s *S, value string) (err error) {
			*field(s), err = parser.Int(value, low, high)
			return err
		},
		get: func(s *S) string { return strconv.Itoa(*field(s)) },
	}
}

func percentSetting[S any](key string, field func(*S) *int) setting[S] {
	return setting[S]{
		key: key,
		set: func(s *S, value string) (err error) {
			*field(s), err = parser.Percent(value, 0, 100)
			return err
		},
		get: func(s *S) string { return strconv.Itoa(*field(s)) + "%" },
	}
}

func yesNoSetting[S any](key string, field func(*S) *bool) setting[S] {
	return setting[S]{
		key: key,
		set: func(s *S, value string) (err error) {
			*field(s), err = parser.YesNo(value)
			return err
		},
		get: func(s *S) string { return formatYesNo(*field(s)) },
	}
}

func formatYesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// numberSetting returns a setting whose value is a decimal number.
func numberSetting[S any](key string, low, high float64, field func(*S) *float64) setting[S] {
	return setting[S]{
		key: key,
		set: func(s *S, value string) (err error) {
			*field(s), err = parser.Number(value, low, high)
			return err
		},
		get: func(s *S) string { return parser.FormatNumber(*field(s)) },
	}
}

func setHosts(s *ServiceSpec, value string) error {
	s.Hosts = nil
	s.Unrouted = value == noHosts
	if value == anyHost || s.Unrouted {
		return nil
	}
	if err := checkHosts(value); err != nil {
		return err
	}
	s.Hosts, _ = parser.List(value) // Valid, as it was just checked.
	return nil
}

func getHosts(s *ServiceSpec) string {
	if s.Unrouted {
		return noHosts
	}
	if len(s.Hosts) == 0 {
		return anyHost
	}
	return strings.Join(s.Hosts, ", ")
}

// checkHosts checks a list of host names that an owner holds.
func checkHosts(value string) error {
	hosts, err := parser.List(value)
	if err != nil {
		return err
	}
	for _, host := range hosts {
		if err := CheckHost(host); err != nil {
			return err
		}
	}
	return nil
}

// CheckHost returns an error if host is not a host name that a route may have.
func CheckHost(host string) error {
	if !hostPattern.MatchString(host) {
		return errors.Errorf("%q is not a host name in lower case without a port", host)
	}
	return nil
}

// pathPrefixSetting returns the setting path-prefix of a service or a route.
func pathPrefixSetting[S any](field func(*S) *string) setting[S] {
	return setting[S]{
		key: keyPathPrefix,
		set: func(s *S, value string) error {
			if !pathPattern.MatchString(value) {
				return errors.Errorf("%q is not a path that starts with a slash", value)
			}
			*field(s) = value
			return nil
		},
		get: func(s *S) string { return *field(s) },
	}
}

func setPriority(s *ServiceSpec, value string) (err error) {
	s.Priority, err = ParsePriority(value)
	return err
}

func setMethods(s *ServiceSpec, value string) error {
	s.RepeatableMethods = nil
	if value == noMethods {
		return nil
	}
	methods, err := parser.List(value)
	if err != nil {
		return err
	}
	for _, method := range methods {
		if !methodPattern.MatchString(method) {
			return errors.Errorf("%q is not an HTTP method in capital letters", method)
		}
	}
	s.RepeatableMethods = methods
	return nil
}

func getMethods(s *ServiceSpec) string {
	if len(s.RepeatableMethods) == 0 {
		return noMethods
	}
	return strings.Join(s.RepeatableMethods, ", ")
}

func setHedgeAfter(s *ServiceSpec, value string) (err error) {
	s.HedgeAfter = 0
	if value == neverHedge {
		return nil
	}
	s.HedgeAfter, err = parser.Duration(value, time.Millisecond, time.Minute)
	return err
}

func getHedgeAfter(s *ServiceSpec) string {
	if s.HedgeAfter == 0 {
		return neverHedge
	}
	return parser.FormatDuration(s.HedgeAfter)
}

func setHealthPath(s *ServiceSpec, value string) error {
	s.HealthPath = ""
	if value == noHealthPath {
		return nil
	}
	if !pathPattern.MatchString(value) || len(value) > maxHealthPathBytes {
		return errors.Errorf("%q is not a path of at most %d characters that starts with a slash", value, maxHealthPathBytes)
	}
	s.HealthPath = value
	return nil
}

func getHealthPath(s *ServiceSpec) string {
	if s.HealthPath == "" {
		return noHealthPath
	}
	return s.HealthPath
}
