package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// refreshTimeout bounds each wait for load samples. refreshTimeoutLarge applies to large
	// requests and responses, which may saturate the links of the instances.
	refreshTimeout      = 8 * time.Millisecond
	refreshTimeoutLarge = 20 * time.Millisecond
	// maxReuseAge is the maximum age of a sample that is used without a refresh.
	// maxReuseAgeFull applies to an instance without a free slot: it stays full until
	// work ends there, and a refresh at each attempt would cost more than it gains.
	maxReuseAge     = 3 * time.Millisecond
	maxReuseAgeFull = 25 * time.Millisecond
	// localRounds is how many times candidates are drawn from the node's own failure
	// domain before they are drawn from others.
	localRounds = 2
	// localGoalShare is the share of the latency goal within which a local candidate
	// without spare capacity must be expected to respond. Otherwise other failure
	// domains are considered. localGoalShareLarge applies to a large request or response.
	localGoalShare      = 0.5
	localGoalShareLarge = 0.7
	// crossDomainShare is the share of the latency goal by which a candidate in another
	// failure domain must be faster, and crossDomainShareLarge that for a large request or response:
	// traffic between failure domains is billed by the byte and competes with other
	// traffic for the links between them.
	crossDomainShare      = 0.05
	crossDomainShareLarge = 0.4
	// assumedGoalFactor is the latency goal of a request without one, in multiples of its
	// expected work.
	assumedGoalFactor = 3
	// contentionShare is the share of the work's duration by which work takes longer on
	// a full instance than on an empty one.
	contentionShare = 0.5
	// normalSlownessPercent is the slowness of an instance without a slowdown.
	normalSlownessPercent = 100
	// spareCapacityFailureRate is the failure rate from which an instance does not count as
	// having spare capacity, so that others are considered.
	spareCapacityFailureRate = 0.1
)

// Refresher requests new load samples from instances.
type Refresher interface {
	// Refresh probes the instances, as far as the probe budgets allow, and waits until
	// those probed have responded, but no longer than timeout.
	Refresh(spec *compiler.ServiceSpec, instances []*registrar.Instance, timeout time.Duration)
}

// leastExpectedFinish requests the load of a few candidates at the moment of the choice,
// and chooses the one that is expected to finish first. It is meant for services with few
// requests per instance, whose load changes faster than periodic samples show.
// A request remains in the failure domain of its entry node if it is served in time there.
type leastExpectedFinish struct{ picker *Picker }

func (p *leastExpectedFinish) slowStart() bool { return true }

// avoidsOutliers returns false: the expected finish already includes slowness and
// failures, and among a few instances with frequent slowdowns there is nearly always one
// that looks like an outlier.
func (p *leastExpectedFinish) avoidsOutliers() bool { return false }

func (p *leastExpectedFinish) pick(s *pickState, choice *Choice) {
	if p.tryOwnInstance(s, choice) {
		return
	}
	for range localRounds {
		p.drawAndRefresh(s, choice, true)
		if best := p.best(choice, s); best >= 0 && p.goodEnough(&choice.candidates[best], s) {
			choice.chosen = best
			return
		}
	}
	p.drawAndRefresh(s, choice, false)
	choice.chosen = p.best(choice, s)
	if choice.chosen < 0 {
		choice.chosen = choice.firstNotRateLimited()
	}
}

// tryOwnInstance adds this node's own instance as the first candidate. It reports whether
// that has a free slot, is not slowed and should respond in time. The own instance needs
// neither a refresh nor a network round trip.
func (p *leastExpectedFinish) tryOwnInstance(s *pickState, choice *Choice) bool {
	in := s.eligible.takeByID(p.picker.self)
	if in == nil {
		return false
	}
	choice.add(p.newCandidate(in, s))
	own := &choice.candidates[0]
	p.score(own, s)
	return own.reason == ReasonCold && own.reading.Load().SlownessPercent() <= normalSlownessPercent && p.goodEnough(own, s)
}

// drawAndRefresh draws further candidates from this node's failure domain or, if local is
// false, from the others. It refreshes their samples where necessary.
func (p *leastExpectedFinish) drawAndRefresh(s *pickState, choice *Choice, local bool) {
	first := choice.n
	var stale []*registrar.Instance
	for choice.n < MaxCandidates && choice.n-first < p.picker.candidates {
		in := s.eligible.drawByDomain(p.picker.domain, local, p.picker.random)
		if in == nil {
			break
		}
		candidate := p.newCandidate(in, s)
		if !p.reusable(&candidate) {
			stale = append(stale, in)
		}
		choice.add(candidate)
	}
	if len(stale) > 0 && p.picker.refresher != nil {
		timeout := refreshTimeout
		if s.large() {
			timeout = refreshTimeoutLarge
		}
		p.picker.refresher.Refresh(&s.spec, stale, timeout)
		s.Now = time.Now()
	}
	for i := first; i < choice.n; i++ {
		choice.candidates[i] = p.newCandidate(choice.candidates[i].instance, s)
	}
}

func (p *leastExpectedFinish) newCandidate(in *registrar.Instance, s *pickState) Candidate {
	return Candidate{instance: in, reading: p.picker.read(in, s)}
}

// reusable reports whether a candidate's sample needs no refresh.
func (p *leastExpectedFinish) reusable(candidate *Candidate) bool {
	reading := candidate.reading
	if !reading.Sampled() || reading.Incarnation() != candidate.instance.Incarnation() {
		return false
	}
	if load := reading.Load(); load.InFlight() >= load.Limit() && reading.Age() <= maxReuseAgeFull {
		return true
	}
	if reading.RateWait() > 0 {
		return true
	}
	return reading.Fresh() && reading.Age() <= maxReuseAge
}

// best scores all candidates and returns the index of the one with the lowest score, or
// -1 if none that is not rate limited has a usable sample.
func (p *leastExpectedFinish) best(choice *Choice, s *pickState) int {
	best := -1
	for i := range choice.n {
		candidate := &choice.candidates[i]
		p.score(candidate, s)
		if candidate.reason == ReasonNoSample || candidate.reason == ReasonRateLimited {
			continue
		}
		if best < 0 || candidate.expected < choice.candidates[best].expected {
			best = i
		}
	}
	return best
}

// goodEnough reports whether the candidate can be chosen without considering others: its
// response is expected within the latency goal or, if it has no spare capacity, within a
// share of that.
func (p *leastExpectedFinish) goodEnough(candidate *Candidate, s *pickState) bool {
	goal := p.timeToGoal(candidate.reading, s)
	if candidate.hasSpareCapacity() {
		return candidate.expected <= goal
	}
	share := localGoalShare
	if s.large() {
		share = localGoalShareLarge
	}
	return candidate.expected <= time.Duration(share*float64(goal))
}

// timeToGoal returns the time left until the latency goal of the request, or until an
// assumed one.
func (p *leastExpectedFinish) timeToGoal(reading sampler.Reading, s *pickState) time.Duration {
	if s.TimeToGoal > 0 {
		return s.TimeToGoal
	}
	return assumedGoalFactor * p.work(reading, s)
}

// networkCost returns the round-trip time to the candidate, with a penalty if it is in
// another failure domain.
func (p *leastExpectedFinish) networkCost(candidate *Candidate, s *pickState) time.Duration {
	roundTrip := p.picker.roundTrip(candidate.instance)
	if candidate.instance.FailureDomain() == p.picker.domain {
		return roundTrip
	}
	share := crossDomainShare
	if s.large() {
		share = crossDomainShareLarge
	}
	return roundTrip + time.Duration(share*float64(p.timeToGoal(candidate.reading, s)))
}

// work returns the expected duration of the request on an instance without a slowdown. If
// that is unknown, it returns the latency that the instance reports.
func (p *leastExpectedFinish) work(reading sampler.Reading, s *pickState) time.Duration {
	if s.ExpectedWork > 0 {
		return s.ExpectedWork
	}
	return max(reading.Load().Latency(), assumedLatency)
}

// linkTime returns how long large bodies take or wait on the links of this node and of another one
// with the given load.
func (p *leastExpectedFinish) linkTime(load sampler.Load, s *pickState) time.Duration {
	total := time.Duration(0)
	if s.LargeRequest {
		total += s.SendTime
	}
	if s.LargeResponse {
		total += load.LinkWait()
	}
	return total
}

// score sets the candidate's score and the reason for it.
func (p *leastExpectedFinish) score(candidate *Candidate, s *pickState) {
	reading := candidate.reading
	if !reading.Sampled() || reading.Incarnation() != candidate.instance.Incarnation() || reading.Age() > s.sampleMaxAge {
		candidate.reason = ReasonNoSample
		return
	}
	if reading.RateWait() > 0 {
		candidate.reason = ReasonRateLimited
		return
	}
	load := reading.Load()
	limit := max(load.Limit(), 1)
	occupancy := load.InFlight() + load.Queued() + reading.SentSinceSample()
	work := p.work(reading, s)
	contention := contentionShare * min(float64(occupancy+1)/float64(limit), 1)
	candidate.reason = ReasonCold
	candidate.expected = reading.Slowdown(s.Now).TimeToFinish(work, s.Now) + time.Duration(contention*float64(work)) +
		p.networkCost(candidate, s) + failureCost(reading.FailureRate())
	if candidate.instance.ID() != p.picker.self {
		candidate.expected += p.linkTime(load, s)
	}
	if occupancy >= limit {
		candidate.reason = ReasonHot
		candidate.expected += max(load.Latency(), work) * time.Duration(occupancy-limit+1) / time.Duration(limit)
	}
}
