package parser

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration parses a duration with its unit, such as "250ms", between low and high
// inclusive.
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

// FormatDuration formats a duration without trailing zero units. Duration parses
// the result.
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

// Int parses an integer without a unit, between low and high inclusive.
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

// Number parses a finite decimal number without a unit, between low and high inclusive.
func Number(value string, low, high float64) (float64, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, errors.Errorf("%q is not a number without a unit", value)
	}
	if n < low || n > high {
		return 0, errors.Errorf("%s is out of range: %s to %s", FormatNumber(n), FormatNumber(low), FormatNumber(high))
	}
	return n, nil
}

// FormatNumber formats a number so that Number parses the result as the same number.
func FormatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// Percent parses an integer percentage with its percent sign, such as "10%",
// between low and high inclusive.
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

// List parses a comma-separated list. Empty and duplicate items are errors.
func List(value string) ([]string, error) {
	var items []string
	seen := make(map[string]bool)
	for _, item := range strings.Split(value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return nil, errors.Errorf("%q contains an empty item", value)
		}
		if seen[item] {
			return nil, errors.Errorf("%q contains %q more than once", value, item)
		}
		seen[item] = true
		items = append(items, item)
	}
	return items, nil
}

// Address parses an IP address with a port, such as "10.0.0.7:7001". The address
// must be unicast and specified, and the port must not be 0.
func Address(value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP address with a port, such as 10.0.0.7:7001", value)
	}
	if addr.Port() == 0 || addr.Addr().IsMulticast() || addr.Addr().IsUnspecified() {
		return netip.AddrPort{}, errors.Errorf("%q is not an address that other processes can connect to", value)
	}
	return addr, nil
}

// Addresses parses a comma-separated list of addresses. Duplicates are errors.
func Addresses(value string) ([]netip.AddrPort, error) {
	items, err := List(value)
	if err != nil {
		return nil, err
	}
	list := make([]netip.AddrPort, len(items))
	seen := make(map[netip.AddrPort]bool)
	for i, item := range items {
		if list[i], err = Address(item); err != nil {
			return nil, err
		}
		if seen[list[i]] {
			return nil, errors.Errorf("%q contains %s more than once", value, list[i])
		}
		seen[list[i]] = true
	}
	return list, nil
}

// Name parses a name in kebab case.
func Name(value string) (string, error) {
	if !keyPattern.MatchString(value) {
		return "", errors.Errorf("%q is not a name in kebab case", value)
	}
	return value, nil
}

// YesNo parses "yes" or "no".
func YesNo(value string) (bool, error) {
	name, err := OneOf(value, []string{"yes", "no"})
	return name == "yes", err
}

// OneOf parses a name that must be among the valid ones.
func OneOf(value string, valid []string) (string, error) {
	for _, name := range valid {
		if value == name {
			return name, nil
		}
	}
	return "", fmt.Errorf("%q: %w", value, errors.New(UnknownMessage("value", value, valid)))
}

// CheckValue returns an error if value cannot be written as the value of a key in a
// file.
func CheckValue(value string) error {
	switch {
	case value == "":
		return errors.New("the value is missing")
	case strings.TrimSpace(value) != value || !isPrintable(value):
		return errors.New("the value is not printable UTF-8 text without surrounding spaces")
	case strings.ContainsAny(value[:1], "\"'`"):
		return errors.New("values must not be quoted")
	}
	return nil
}
