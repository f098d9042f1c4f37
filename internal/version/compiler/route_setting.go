package compiler

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// maxWeight is the maximum weight of one service of a route.
const maxWeight = 1_000_000

// Keys of a route, some of which the checks of routes refer to.
const (
	keyHost        = "host"
	keyPathPrefix  = "path-prefix"
	keyServices    = "services"
	keyTimeout     = "timeout"
	keyKind        = "kind"
	keyMaxAttempts = "max-attempts"
	keyPublic      = "public"
)

// routeSettings lists the keys of a route's section, in the order of RouteSpec.
var routeSettings = []setting[RouteSpec]{
	{key: keyHost, set: setRouteHost, get: getRouteHost},
	pathPrefixSetting(func(s *RouteSpec) *string { return &s.PathPrefix }),
	{key: keyServices, set: setRouteServices, get: func(s *RouteSpec) string { return FormatWeights(s.Services) }},
	{key: keyKind, set: setRouteKind, get: func(s *RouteSpec) string { return string(s.Kind) }},
	durationSetting(keyTimeout, time.Millisecond, time.Hour, func(s *RouteSpec) *time.Duration { return &s.Timeout }),
	durationSetting("latency-goal", time.Millisecond, time.Hour, func(s *RouteSpec) *time.Duration { return &s.LatencyGoal }),
	intSetting("rank", 0, MaxRank, func(s *RouteSpec) *int { return &s.Rank }),
	intSetting(keyMaxAttempts, 1, 10, func(s *RouteSpec) *int { return &s.MaxAttempts }),
	yesNoSetting(keyPublic, func(s *RouteSpec) *bool { return &s.Public }),
}

var routeSettingsByKey = byKey(routeSettings)

// defaultRouteSpec returns the defaults for the keys that a route does not set.
func defaultRouteSpec(name string) RouteSpec {
	serviceDefaults := DefaultServiceSpec("")
	return RouteSpec{
		Name:        name,
		PathPrefix:  "/",
		Kind:        RouteNonIdempotent,
		Timeout:     serviceDefaults.MaxTimeout,
		Rank:        2,
		MaxAttempts: serviceDefaults.MaxAttempts,
	}
}

func setRouteHost(s *RouteSpec, value string) error {
	s.Host = ""
	if value == anyHost {
		return nil
	}
	if err := CheckHost(value); err != nil {
		return err
	}
	s.Host = value
	return nil
}

func getRouteHost(s *RouteSpec) string {
	if s.Host == "" {
		return anyHost
	}
	return s.Host
}

func setRouteKind(s *RouteSpec, value string) error {
	name, err := parser.OneOf(value, []string{string(RouteIdempotent), string(RouteNonIdempotent), string(RouteDownload), string(RouteUpload)})
	s.Kind = RouteKind(name)
	return err
}

// setRouteServices parses services with weights, such as "almacen:90, vitrina:10".
func setRouteServices(s *RouteSpec, value string) error {
	items, err := parser.List(value)
	if err != nil {
		return err
	}
	services := make([]WeightedService, len(items))
	total := 0
	seen := make(map[string]bool)
	for i, item := range items {
		services[i], err = parseWeight(item)
		if err != nil {
			return err
		}
		if seen[services[i].Name] {
			return errors.Errorf("%q contains %q more than once", value, services[i].Name)
		}
		seen[services[i].Name] = true
		total += services[i].Weight
	}
	if total == 0 {
		return errors.Errorf("the weights of %q add up to 0", value)
	}
	s.Services = services
	return nil
}

// parseWeight parses a service with an optional weight, which defaults to 1.
func parseWeight(item string) (WeightedService, error) {
	name, weight, weighted := strings.Cut(item, ":")
	if _, err := parser.Name(name); err != nil {
		return WeightedService{}, err
	}
	if !weighted {
		return WeightedService{Name: name, Weight: 1}, nil
	}
	n, err := parser.Int(weight, 0, maxWeight)
	return WeightedService{Name: name, Weight: n}, err
}

// FormatWeights formats services with weights as the value of a route's key services.
func FormatWeights(services []WeightedService) string {
	items := make([]string, len(services))
	for i, s := range services {
		items[i] = s.Name + ":" + strconv.Itoa(s.Weight)
	}
	return strings.Join(items, ", ")
}
