// Package estimator follows how long work takes where nothing slows it, from
// values of which some met waits and slow spells.
//
// # Usage
//
//	estimate = estimator.Next(estimate, value) // 0 while there is none
package estimator

const (
	// quantile is the share of the values that lie below the estimate: the others
	// hold waits and slow spells.
	quantile = 0.35
	// step is by how much of itself the estimate moves with one value.
	step = 0.08
)

// Next returns the estimate after one more value. It settles where quantile of
// the values lie below it. The first value stands for itself.
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
