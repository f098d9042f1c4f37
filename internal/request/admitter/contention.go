package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/request/estimator"
)

const (
	// contentionRatio is how many times longer work must take at high occupancy than
	// at low occupancy before the limit is lowered to low occupancy. It is well above
	// 1 because high occupancy runs a third more requests at once.
	contentionRatio = 1.25
	// minRatioResults is the weight of the results that a comparison needs at each
	// occupancy, where a new result has the weight 1.
	minRatioResults = 12
	// ratioHalfLife is the half-life of the weight of the results. Old results fade,
	// so that the comparison is repeated with new ones.
	ratioHalfLife = 8 * time.Second
	// minCautiousSlots is the number of slots below which low occupancy leaves out more
	// than a quarter of them, so that it is used only if a comparison shows contention.
	minCautiousSlots = 4
	// comparisonMaxAge is how long the result of a comparison stays valid.
	comparisonMaxAge = 20 * time.Second
)

// contention detects whether an upstream works slower at high occupancy, by
// comparing the ratio of actual to expected work time at low and at high
// occupancy. It matters only under a load that fills the slots, since the limit has
// no effect under a lower one.
type contention struct {
	lowOccupancy, highOccupancy workRatio
	// contended is the result of the last comparison, made at comparedAt.
	contended  bool
	comparedAt time.Time
}

// workRatio estimates how many times longer than expected work takes.
type workRatio struct {
	estimate     float64
	resultWeight float64 // Weight of the results at updatedAt.
	updatedAt    time.Time
}

// observe records the actual and the expected work time of a request. inFlight is the
// number of requests in flight at its start, itself included.
func (c *contention) observe(inFlight, slots int, took, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	ratio := &c.lowOccupancy
	if inFlight > lowOccupancySlots(slots) {
		ratio = &c.highOccupancy
	}
	ratio.observe(float64(took)/float64(expected), now)
	if c.lowOccupancy.sufficient(now) && c.highOccupancy.sufficient(now) {
		c.contended = c.highOccupancy.estimate > contentionRatio*c.lowOccupancy.estimate
		c.comparedAt = now
	}
}

// limit returns how many of the slots may be used. Without a valid comparison it selects
// the occupancy that still lacks results for the next one. While the upstream is cold it
// selects low occupancy instead: full slots could slow it further when the requests that
// were not served before its start arrive all at once.
func (c *contention) limit(slots int, cold bool, now time.Time) int {
	full := !c.highOccupancy.sufficient(now) && (!cold || slots < minCautiousSlots)
	if !c.comparedAt.IsZero() && now.Sub(c.comparedAt) <= comparisonMaxAge {
		full = !c.contended
	}
	if full {
		return slots
	}
	return lowOccupancySlots(slots)
}

// lowOccupancySlots returns how many slots may be in use at low occupancy.
func lowOccupancySlots(slots int) int { return max(int(sampler.LowOccupancyShare*float64(slots)), 1) }

func (r *workRatio) observe(ratio float64, now time.Time) {
	r.resultWeight = r.weight(now) + 1
	r.updatedAt = now
	r.estimate = estimator.Next(r.estimate, ratio)
}

// weight returns the number of results, each weighted by its age.
func (r *workRatio) weight(now time.Time) float64 {
	if r.resultWeight == 0 {
		return 0
	}
	return r.resultWeight * decayFactor(now.Sub(r.updatedAt), ratioHalfLife)
}

// sufficient reports whether there are enough results for a comparison.
func (r *workRatio) sufficient(now time.Time) bool { return r.weight(now) >= minRatioResults }
