package compiler

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// microsPerUnit is how many millionths make one unit of a currency.
const microsPerUnit = 1_000_000

var (
	ratePattern     = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,6})?$`)
	currencyPattern = regexp.MustCompile(`^[A-Z]{3}$`)
)

// Owner is who pays for idle capacity, and at which rate. It is immutable.
type Owner struct {
	name     string
	idleRate string
	micros   int64
	currency string
}

// Name returns the owner's name.
func (o *Owner) Name() string { return o.name }

// IdleRate returns the price of one idle slot for one hour, as the decimal
// number that the operator wrote.
func (o *Owner) IdleRate() string { return o.idleRate }

// IdleRateMicros returns the price of one idle slot for one hour, in
// millionths of the currency's unit.
func (o *Owner) IdleRateMicros() int64 { return o.micros }

// Currency returns the three letters of the currency by ISO 4217.
func (o *Owner) Currency() string { return o.currency }

func parseRate(value string) (int64, error) {
	if !ratePattern.MatchString(value) {
		return 0, errors.Errorf("%q is not an amount of money per slot-hour, such as 0.25", value)
	}
	whole, fraction, _ := strings.Cut(value, ".")
	units, err := strconv.ParseInt(whole, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q: %v", value, err)
	}
	parts, err := strconv.ParseInt((fraction + "000000")[:6], 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q: %v", value, err)
	}
	return units*microsPerUnit + parts, nil
}

func checkCurrency(value string) error {
	if !currencyPattern.MatchString(value) {
		return errors.Errorf("%q is not a currency of three capital letters, such as MXN", value)
	}
	return nil
}
