package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/estimator"
)

const (
	// contentionRatio is how many times longer than at low occupancy work must take
	// at high occupancy for the limit to exclude the latter. It is well above 1
	// because high occupancy runs a third more requests at once.
	contentionRatio = 1.25
	// minRatioResults is the number of results that each side of a comparison needs.
	minRatioResults = 12
	// ratioHalfLife is the half-life of the weight of the results. Old results fade,
	// so that the comparison is repeated with new ones.
	ratioHalfLife = 8 * time.Second
	// comparisonMaxAge is how long the result of a comparison stays valid.
	comparisonMaxAge = 20 * time.Second
)

// contention detects whether an upstream works slower at high occupancy, by
// comparing the ratio of actual to expected work time at low and at high
// occupancy. It addresses load that fills the slots: at lower load the limit has
// no effect.
type contention struct {
	lowOccupancy, highOccupancy workRatio
	// contended is the result of the last comparison, made at comparedAt.
	contended  bool
	comparedAt time.Time
}

// workRatio estimates how many times longer than expected work takes.
type workRatio struct {
	estimate float64
	results  float64
	at       time.Time
}

// observe records how long work took that started with inFlight of the slots in
// use, its own included.
func (c *contention) observe(inFlight, slots int, took, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	side := &c.lowOccupancy
	if inFlight > lowOccupancySlots(slots) {
		side = &c.highOccupancy
	}
	side.observe(float64(took)/float64(expected), now)
	if c.lowOccupancy.sufficient(now) && c.highOccupancy.sufficient(now) {
		c.contended = c.highOccupancy.estimate > contentionRatio*c.lowOccupancy.estimate
		c.comparedAt = now
	}
}

// limit returns how many of the slots may be used. Without a valid comparison it
// lets the occupancy occur for which the next one still lacks results.
func (c *contention) limit(slots int, now time.Time) int {
	compared := !c.comparedAt.IsZero() && now.Sub(c.comparedAt) <= comparisonMaxAge
	if compared && c.contended || !compared && c.highOccupancy.sufficient(now) {
		return lowOccupancySlots(slots)
	}
	return slots
}

// lowOccupancySlots returns how many slots may be in use at low occupancy.
func lowOccupancySlots(slots int) int { return max(int(sampler.LowOccupancyShare*float64(slots)), 1) }

func (r *workRatio) observe(ratio float64, now time.Time) {
	r.results = r.weight(now) + 1
	r.at = now
	r.estimate = estimator.Next(r.estimate, ratio)
}

// weight returns the number of results, weighted by age.
func (r *workRatio) weight(now time.Time) float64 {
	if r.results == 0 {
		return 0
	}
	return r.results * decayFactor(now.Sub(r.at), ratioHalfLife)
}

// sufficient reports whether there are enough results for a comparison.
func (r *workRatio) sufficient(now time.Time) bool { return r.weight(now) >= minRatioResults }
