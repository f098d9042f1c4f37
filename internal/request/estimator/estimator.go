// Package estimator estimates how long work takes when nothing slows it, from
// measured values of which some include waits and slowdowns.
//
// # Usage
//
//	estimate = estimator.Next(estimate, value) // The estimate is 0 at first.
package estimator

const (
	// quantile is the share of the values below the estimate. The values above it
	// are assumed to include waits and slowdowns.
	quantile = 0.35
	// step bounds the change by one value: the estimate rises by at most step*quantile
	// of itself and falls by at most step*(1-quantile).
	step = 0.08
)

// Next returns the estimate after one more value. The estimate converges to the
// quantile of the values. The first value is the initial estimate.
func Next(estimate, value float64) float64 {
	switch {
	case estimate == 0:
		return value
	case value < estimate:
		return max(estimate-step*estimate*(1-quantile), value)
	default:
		return min(estimate+step*estimate*quantile, value)
	}
}
