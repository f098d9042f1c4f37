package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

const (
	// failurePenalty is what one expected failure costs in a score.
	failurePenalty = 250 * time.Millisecond
	// unknownLatency stands for the latency of instances of which none is known.
	unknownLatency = time.Millisecond
	// maxFailureRate bounds the failure rate, so that the cost stays finite.
	maxFailureRate = 0.95
)

// leastExpectedLatency takes, of a few random candidates with fresh samples, a
// cold one before a hot one and then the one with the least expected latency.
type leastExpectedLatency struct{ p *Picker }

func (c *leastExpectedLatency) pick(r *request, choice *Choice) {
	c.draw(r, choice)
	known := choice.knownLatency()
	best := -1
	for i := range choice.n {
		candidate := &choice.candidates[i]
		c.score(candidate, known)
		if candidate.ground == GroundNoSample {
			continue
		}
		if best < 0 || candidate.before(&choice.candidates[best]) {
			best = i
		}
	}
	choice.chosen = max(best, 0)
}

func (c *leastExpectedLatency) usesLoad() bool { return true }

func (c *leastExpectedLatency) avoidsOutliers() bool { return true }

// draw draws the candidates from this node's region, and one of another region
// for when those have no slot left.
func (c *leastExpectedLatency) draw(r *request, choice *Choice) {
	for choice.n < c.p.candidates {
		in := r.eligible.draw(true, c.p.random)
		if in == nil {
			break
		}
		choice.add(c.candidate(in, r))
	}
	if choice.n == MaxCandidates {
		return
	}
	if in := r.eligible.draw(false, c.p.random); in != nil {
		choice.add(c.candidate(in, r))
	}
}

func (c *leastExpectedLatency) candidate(in *registrar.Instance, r *request) Candidate {
	return Candidate{
		instance: in,
		reading:  c.p.read(in, r),
	}
}

// score sets the candidate's ground and expected latency. The latency of a
// candidate that has not measured any is taken to be the others'.
func (c *leastExpectedLatency) score(candidate *Candidate, known time.Duration) {
	reading := candidate.reading
	in := candidate.instance
	if !reading.Fresh() || reading.Incarnation() != in.Incarnation() {
		candidate.ground = GroundNoSample
		return
	}
	latency := reading.Latency()
	if latency == 0 {
		latency = known
	}
	limit := max(reading.Load().Limit(), 1)
	occupancy := reading.Occupancy()
	candidate.ground = GroundCold
	candidate.expected = latency + c.p.distance(in) + failureCost(reading.FailureRate())
	if occupancy >= limit {
		candidate.ground = GroundHot
		candidate.expected += latency * time.Duration(occupancy-limit+1) / time.Duration(limit)
	}
}

// failureCost returns the expected cost of failures before a success.
func failureCost(rate float64) time.Duration {
	rate = min(rate, maxFailureRate)
	return time.Duration(rate / (1 - rate) * float64(failurePenalty))
}

// knownLatency returns the mean of the latencies known of the candidates.
func (c *Choice) knownLatency() time.Duration {
	var total time.Duration
	n := 0
	for i := range c.n {
		if latency := c.candidates[i].reading.Latency(); latency > 0 {
			total += latency
			n++
		}
	}
	if n == 0 {
		return unknownLatency
	}
	return total / time.Duration(n)
}

// before reports whether c is the better one of two scored candidates. Within
// a region a cold one goes before a hot one; a short wait for a slot is
// better than the way to another region.
func (c *Candidate) before(other *Candidate) bool {
	if c.ground != other.ground && c.instance.Region() == other.instance.Region() {
		return c.ground == GroundCold
	}
	return c.expected < other.expected
}
