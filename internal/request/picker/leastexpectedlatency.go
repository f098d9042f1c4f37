package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const (
	// failurePenalty is the cost of one expected failure in a score.
	failurePenalty = 250 * time.Millisecond
	// assumedLatency is used where no latency is known.
	assumedLatency = time.Millisecond
	// maxFailureRate bounds the failure rate, to keep the cost finite.
	maxFailureRate = 0.95
)

// leastExpectedLatency chooses, among a few random candidates with fresh samples, the one
// with the least expected latency. Within a region it prefers candidates with a free slot.
type leastExpectedLatency struct{ picker *Picker }

func (p *leastExpectedLatency) pick(s *pickState, choice *Choice) {
	p.drawCandidates(s, choice)
	meanLatency := choice.meanLatency()
	best := -1
	for i := range choice.n {
		candidate := &choice.candidates[i]
		p.score(candidate, meanLatency)
		if candidate.reason == ReasonNoSample {
			continue
		}
		if best < 0 || candidate.betterThan(&choice.candidates[best]) {
			best = i
		}
	}
	choice.chosen = max(best, 0)
}

func (p *leastExpectedLatency) slowStart() bool { return true }

func (p *leastExpectedLatency) avoidsOutliers() bool { return true }

// drawCandidates draws the candidates from this node's region, and one from the other
// regions in case those have no free slot.
func (p *leastExpectedLatency) drawCandidates(s *pickState, choice *Choice) {
	for choice.n < p.picker.candidates {
		in := s.eligible.drawByRegion(true, p.picker.random)
		if in == nil {
			break
		}
		choice.add(p.newCandidate(in, s))
	}
	if choice.n == MaxCandidates {
		return
	}
	if in := s.eligible.drawByRegion(false, p.picker.random); in != nil {
		choice.add(p.newCandidate(in, s))
	}
}

func (p *leastExpectedLatency) newCandidate(in *registrar.Instance, s *pickState) Candidate {
	return Candidate{
		instance: in,
		reading:  p.picker.read(in, s),
	}
}

// score sets the candidate's score and the reason for it. A candidate whose latency is
// not known is assumed to have meanLatency, the mean of the others.
func (p *leastExpectedLatency) score(candidate *Candidate, meanLatency time.Duration) {
	reading := candidate.reading
	in := candidate.instance
	if !reading.Fresh() || reading.Incarnation() != in.Incarnation() {
		candidate.reason = ReasonNoSample
		return
	}
	latency := reading.Latency()
	if latency == 0 {
		latency = meanLatency
	}
	limit := max(reading.Load().Limit(), 1)
	occupancy := reading.Occupancy()
	candidate.reason = ReasonCold
	candidate.expected = latency + p.picker.roundTrip(in) + failureCost(reading.FailureRate())
	if occupancy >= limit {
		candidate.reason = ReasonHot
		candidate.expected += latency * time.Duration(occupancy-limit+1) / time.Duration(limit)
	}
}

// failureCost returns the cost of the failures that are expected before a success.
func failureCost(rate float64) time.Duration {
	rate = min(rate, maxFailureRate)
	return time.Duration(rate / (1 - rate) * float64(failurePenalty))
}

// meanLatency returns the mean of the candidates' known latencies, or assumedLatency.
func (c *Choice) meanLatency() time.Duration {
	var total time.Duration
	n := 0
	for i := range c.n {
		if latency := c.candidates[i].reading.Latency(); latency > 0 {
			total += latency
			n++
		}
	}
	if n == 0 {
		return assumedLatency
	}
	return total / time.Duration(n)
}

// betterThan reports whether c is better than another scored candidate. Within a region a
// candidate with a free slot is better than one without. Across regions only the scores
// decide, as a short wait for a slot costs less than the round trip to another region.
func (c *Candidate) betterThan(other *Candidate) bool {
	if c.reason != other.reason && c.instance.Region() == other.instance.Region() {
		return c.reason == ReasonCold
	}
	return c.expected < other.expected
}
