package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

// Reasons for a candidate's score.
const (
	// ReasonCold means that the candidate has a free slot.
	ReasonCold = "cold"
	// ReasonHot means that all slots of the candidate are in use.
	ReasonHot = "hot"
	// ReasonNoSample means that the candidate has no recent load sample of its current
	// incarnation.
	ReasonNoSample = "no-fresh-sample"
	// ReasonRateLimited means that the candidate refuses requests now because of the rate
	// limit of its upstream.
	ReasonRateLimited = "rate-limited"
	// ReasonPolicy means that a baseline policy chose without scores.
	ReasonPolicy = "policy"
)

// Candidate is an instance that was considered for a choice, with its load and score.
type Candidate struct {
	instance *registrar.Instance
	reading  sampler.Reading
	expected time.Duration
	reason   string
}

// ID returns the instance's id.
func (c Candidate) ID() string { return c.instance.ID() }

// Expected returns the candidate's score: the expected time until the response, with
// penalties for failures and distance. It is 0 if the candidate was not scored.
func (c Candidate) Expected() time.Duration { return c.expected }

// Load returns the newest sample of the instance's load, fresh or not.
func (c Candidate) Load() sampler.Load { return c.reading.Load() }

// Occupancy returns the estimated number of requests in flight or queued at the
// instance.
func (c Candidate) Occupancy() int { return c.reading.Occupancy() }

// Reason returns the reason for the score, in kebab case.
func (c Candidate) Reason() string { return c.reason }

// SampleAge returns the age of the load sample.
func (c Candidate) SampleAge() time.Duration { return c.reading.Age() }

// Choice is the result of Pick: the candidates and which of them is chosen.
type Choice struct {
	chosen     int // Index of the chosen candidate.
	n          int // Number of candidates.
	candidates [MaxCandidates]Candidate
}

// Candidates returns the candidates in the order in which they were considered.
func (c *Choice) Candidates() []Candidate { return c.candidates[:c.n] }

// Instance returns the chosen instance, or nil if there is none.
func (c *Choice) Instance() *registrar.Instance { return c.candidates[c.chosen].instance }

// HasSpareCapacity reports whether the chosen instance has spare capacity: low occupancy,
// no slowdown and few failures. It is false if the instance was not scored.
func (c *Choice) HasSpareCapacity() bool { return c.candidates[c.chosen].hasSpareCapacity() }

// hasSpareCapacity reports whether the candidate can run one more request, even an
// optional one such as a hedge, without slowing others there.
func (c *Candidate) hasSpareCapacity() bool {
	if c.reason != ReasonCold || c.reading.FailureRate() >= spareCapacityFailureRate {
		return false
	}
	load := c.reading.Load()
	occupancy := load.InFlight() + load.Queued() + c.reading.SentSinceSample() + 1 // With this request.
	return float64(occupancy) <= sampler.LowOccupancyShare*float64(load.Limit()) && load.SlownessPercent() <= normalSlownessPercent
}

// Chosen returns the chosen candidate.
func (c *Choice) Chosen() Candidate { return c.candidates[c.chosen] }

// firstNotRateLimited returns the index of the first candidate that is not known to refuse
// requests because of a rate limit, or 0 if all do.
func (c *Choice) firstNotRateLimited() int {
	for i := range c.n {
		if c.candidates[i].reason != ReasonRateLimited {
			return i
		}
	}
	return 0
}

func (c *Choice) add(candidate Candidate) {
	c.candidates[c.n] = candidate
	c.n++
}
