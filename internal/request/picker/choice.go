package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
)

// Grounds of a candidate's score.
const (
	// GroundCold means that the candidate has a free slot.
	GroundCold = "cold"
	// GroundHot means that all slots of the candidate are taken.
	GroundHot = "hot"
	// GroundNoSample means that no fresh sample of the candidate is known.
	GroundNoSample = "no-fresh-sample"
	// GroundPolicy means that a baseline policy chose without a score.
	GroundPolicy = "policy"
)

// Candidate is one instance that was drawn for a choice.
type Candidate struct {
	instance *registrar.Instance
	reading  sampler.Reading
	expected time.Duration
	ground   string
}

// ID returns the instance's id.
func (c Candidate) ID() string { return c.instance.ID() }

// Expected returns the expected time until the answer, or 0 if it is not known.
func (c Candidate) Expected() time.Duration { return c.expected }

// Load returns the newest sample of the instance's load, fresh or not.
func (c Candidate) Load() sampler.Load { return c.reading.Load() }

// Occupancy returns the estimated number of requests at the instance.
func (c Candidate) Occupancy() int { return c.reading.Occupancy() }

// Reason returns the ground of the score, in kebab case.
func (c Candidate) Reason() string { return c.ground }

// SampleAge returns the age of the sample.
func (c Candidate) SampleAge() time.Duration { return c.reading.Age() }

// Choice is the outcome of one Pick.
type Choice struct {
	chosen     int
	n          int
	candidates [MaxCandidates]Candidate
}

// Candidates returns the instances that were drawn, in the order of drawing.
func (c *Choice) Candidates() []Candidate { return c.candidates[:c.n] }

// Instance returns the chosen instance, or nil if there is none.
func (c *Choice) Instance() *registrar.Instance { return c.candidates[c.chosen].instance }

// Spare reports whether the chosen instance has room, nothing slows it, and it
// fails nothing.
func (c *Choice) Spare() bool { return c.candidates[c.chosen].spare() }

// spare reports whether the candidate can take work that could do without it.
func (c *Candidate) spare() bool {
	if c.ground != GroundCold || c.reading.FailureRate() >= maxStayFailures {
		return false
	}
	load := c.reading.Load()
	running := load.InFlight() + load.Queued() + c.reading.SentSince() + 1
	return float64(running) <= sampler.RoomyShare*float64(load.Limit()) && load.SlownessPercent() <= usualSlowness
}

// Chosen returns the chosen candidate.
func (c *Choice) Chosen() Candidate { return c.candidates[c.chosen] }

func (c *Choice) add(candidate Candidate) {
	c.candidates[c.n] = candidate
	c.n++
}
