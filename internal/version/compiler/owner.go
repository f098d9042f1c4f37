package compiler

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// microsPerUnit is the number of millionths in one unit of a currency.
const microsPerUnit = 1_000_000

var (
	ratePattern     = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,6})?$`)
	currencyPattern = regexp.MustCompile(`^[A-Z]{3}$`)
)

// Owner pays for the idle capacity of services, at a rate per idle slot and hour. It
// is immutable.
type Owner struct {
	name     string
	idleRate string
	micros   int64
	currency string
}

// Name returns the owner's name.
func (o *Owner) Name() string { return o.name }

// IdleRate returns the price of one idle slot for one hour, as the decimal number in
// the configuration file.
func (o *Owner) IdleRate() string { return o.idleRate }

// IdleRateMicros returns the price of one idle slot for one hour, in
// millionths of the currency's unit.
func (o *Owner) IdleRateMicros() int64 { return o.micros }

// Currency returns the ISO 4217 code of the currency.
func (o *Owner) Currency() string { return o.currency }

// parseRate parses a decimal amount with at most six decimal places, and returns it
// in millionths.
func parseRate(value string) (int64, error) {
	if !ratePattern.MatchString(value) {
		return 0, errors.Errorf("%q is not an amount of money per slot-hour, such as 0.25", value)
	}
	whole, fraction, _ := strings.Cut(value, ".")
	units, err := strconv.ParseInt(whole, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q: %v", value, err)
	}
	micros, err := strconv.ParseInt((fraction + "000000")[:6], 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q: %v", value, err)
	}
	return units*microsPerUnit + micros, nil
}

func checkCurrency(value string) error {
	if !currencyPattern.MatchString(value) {
		return errors.Errorf("%q is not a currency code of three capital letters, such as MXN", value)
	}
	return nil
}
