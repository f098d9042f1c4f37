package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/estimator"
)

const (
	// crowdedRatio is by how much longer work must take in a crowded upstream for
	// the limit to stay below that: a third more slots are gained otherwise.
	crowdedRatio = 1.25
	// crowdingResults is how many results each side of a comparison needs.
	crowdingResults = 12
	// crowdingHalfLife is how long it takes until half of the results are
	// forgotten, so that the comparison is made again.
	crowdingHalfLife = 8 * time.Second
	// crowdingMemory is how long the result of a comparison holds.
	crowdingMemory = 20 * time.Second
)

// crowding finds out whether an upstream is slower when it is nearly full, by
// how long work takes in relation to what is expected of it. It answers load
// that fills the slots: below that the limit does not matter.
type crowding struct {
	roomy, crowded slowdown
	// slows is what the last comparison found, at the time of judged.
	slows  bool
	judged time.Time
}

// slowdown is the estimate of how many times longer than expected work takes.
type slowdown struct {
	ratio   float64
	results float64
	at      time.Time
}

// observe takes in the end of work that began when so many requests ran, itself
// included, of so many slots.
func (c *crowding) observe(running, slots int, latency, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	side := &c.roomy
	if running > roomySlots(slots) {
		side = &c.crowded
	}
	side.observe(float64(latency)/float64(expected), now)
	if c.roomy.known(now) && c.crowded.known(now) {
		c.slows = c.crowded.ratio > crowdedRatio*c.roomy.ratio
		c.judged = now
	}
}

// limit returns how many of the slots are to be used: by the last comparison,
// or, if that is too old, those that are needed for the next one.
func (c *crowding) limit(slots int, now time.Time) int {
	compared := !c.judged.IsZero() && now.Sub(c.judged) <= crowdingMemory
	if compared && c.slows || !compared && c.crowded.known(now) {
		return roomySlots(slots)
	}
	return slots
}

// roomySlots returns how many of the slots may be in use before an upstream
// counts as crowded.
func roomySlots(slots int) int { return max(int(sampler.RoomyShare*float64(slots)), 1) }

func (s *slowdown) observe(ratio float64, now time.Time) {
	s.results = s.remembered(now) + 1
	s.at = now
	s.ratio = estimator.Next(s.ratio, ratio)
}

// remembered returns the number of results that still count.
func (s *slowdown) remembered(now time.Time) float64 {
	if s.results == 0 {
		return 0
	}
	return s.results * halved(now.Sub(s.at), crowdingHalfLife)
}

func (s *slowdown) known(now time.Time) bool { return s.remembered(now) >= crowdingResults }
