package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/estimator"
)

const (
	// contentionRatio is by how much longer work must take in a crowded upstream for
	// the limit to stay below that: a third more slots are gained otherwise.
	contentionRatio = 1.25
	// minRatioResults is how many results each side of a comparison needs.
	minRatioResults = 12
	// ratioHalfLife is how long it takes until half of the results are
	// forgotten, so that the comparison is made again.
	ratioHalfLife = 8 * time.Second
	// comparisonMaxAge is how long the result of a comparison holds.
	comparisonMaxAge = 20 * time.Second
)

// contention finds out whether an upstream is slower when it is nearly full, by
// how long work takes in relation to what is expected of it. It answers load
// that fills the slots: below that the limit does not matter.
type contention struct {
	lowOccupancy, highOccupancy workRatio
	// contended is what the last comparison found, at the time of judged.
	contended  bool
	comparedAt time.Time
}

// workRatio is the estimate of how many times longer than expected work takes.
type workRatio struct {
	estimate float64
	results  float64
	at       time.Time
}

// observe takes in the end of work that began when so many requests ran, itself
// included, of so many slots.
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

// limit returns how many of the slots are to be used: by the last comparison,
// or, if that is too old, those that are needed for the next one.
func (c *contention) limit(slots int, now time.Time) int {
	compared := !c.comparedAt.IsZero() && now.Sub(c.comparedAt) <= comparisonMaxAge
	if compared && c.contended || !compared && c.highOccupancy.sufficient(now) {
		return lowOccupancySlots(slots)
	}
	return slots
}

// lowOccupancySlots returns how many of the slots may be in use before an upstream
// counts as crowded.
func lowOccupancySlots(slots int) int { return max(int(sampler.RoomyShare*float64(slots)), 1) }

func (s *workRatio) observe(ratio float64, now time.Time) {
	s.results = s.weight(now) + 1
	s.at = now
	s.estimate = estimator.Next(s.estimate, ratio)
}

// weight returns the number of results that still count.
func (s *workRatio) weight(now time.Time) float64 {
	if s.results == 0 {
		return 0
	}
	return s.results * decayFactor(now.Sub(s.at), ratioHalfLife)
}

func (s *workRatio) sufficient(now time.Time) bool { return s.weight(now) >= minRatioResults }
