package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration reads a duration with its unit, such as "250ms", between low and
// high inclusive.
func Duration(value string, low, high time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || value == "0" {
		return 0, errors.Errorf("%q is not a duration with its unit, such as 250ms", value)
	}
	if d < low || d > high {
		return 0, errors.Errorf("%s is out of range: %s to %s", value, FormatDuration(low), FormatDuration(high))
	}
	return d, nil
}

// FormatDuration writes a duration without units that are zero, so that
// Duration reads it again.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Int reads a whole number without a unit, between low and high inclusive.
func Int(value string, low, high int) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || value[0] == '+' {
		return 0, errors.Errorf("%q is not a whole number without a unit", value)
	}
	if n < low || n > high {
		return 0, errors.Errorf("%d is out of range: %d to %d", n, low, high)
	}
	return n, nil
}

// Percent reads a whole percentage with its sign, such as "10%", between low
// and high inclusive.
func Percent(value string, low, high int) (int, error) {
	digits, found := strings.CutSuffix(value, "%")
	n, err := strconv.ParseUint(digits, 10, 31)
	if !found || err != nil {
		return 0, errors.Errorf("%q is not a whole percentage, such as 10%%", value)
	}
	if int(n) < low || int(n) > high {
		return 0, errors.Errorf("%d%% is out of range: %d%% to %d%%", n, low, high)
	}
	return int(n), nil
}

// List reads names that are separated by commas. Empty and doubled names are
// errors.
func List(value string) ([]string, error) {
	var names []string
	seen := make(map[string]bool)
	for _, name := range strings.Split(value, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			return nil, errors.Errorf("%q has an empty item", value)
		}
		if seen[name] {
			return nil, errors.Errorf("%q has %q twice", value, name)
		}
		seen[name] = true
		names = append(names, name)
	}
	return names, nil
}

// Address reads an IP number with a port, such as "10.0.0.7:7001".
func Address(value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP number with a port, such as 10.0.0.7:7001", value)
	}
	if addr.Port() == 0 || addr.Addr().IsMulticast() || addr.Addr().IsUnspecified() {
		return netip.AddrPort{}, errors.Errorf("%q is not an address that a process can be reached at", value)
	}
	return addr, nil
}

// Addresses reads addresses that are separated by commas.
func Addresses(value string) ([]netip.AddrPort, error) {
	names, err := List(value)
	if err != nil {
		return nil, err
	}
	list := make([]netip.AddrPort, len(names))
	seen := make(map[netip.AddrPort]bool)
	for i, name := range names {
		if list[i], err = Address(name); err != nil {
			return nil, err
		}
		if seen[list[i]] {
			return nil, errors.Errorf("%q has %s twice", value, list[i])
		}
		seen[list[i]] = true
	}
	return list, nil
}

// Name reads a name in kebab case.
func Name(value string) (string, error) {
	if !keyPattern.MatchString(value) {
		return "", errors.Errorf("%q is not a name in kebab case", value)
	}
	return value, nil
}

// YesNo reads "yes" or "no".
func YesNo(value string) (bool, error) {
	name, err := OneOf(value, []string{"yes", "no"})
	return name == "yes", err
}

// OneOf reads a name that must be among the valid ones.
func OneOf(value string, valid []string) (string, error) {
	for _, name := range valid {
		if value == name {
			return name, nil
		}
	}
	return "", fmt.Errorf("%q: %w", value, errors.New(Unknown("value", value, valid)))
}

// CheckValue reports why value could not stand behind a key in a file, or nil.
func CheckValue(value string) error {
	switch {
	case value == "":
		return errors.New("the value is missing")
	case strings.TrimSpace(value) != value || !printable(value):
		return errors.New("the value is not plain UTF-8 text")
	case strings.ContainsAny(value[:1], "\"'`"):
		return errors.New("values are written without quotes")
	}
	return nil
}
