package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// refreshTimeout bounds how long a choice waits for load samples, and
	// refreshTimeoutLarge does for a large answer: the link of who is asked may be
	// full of such.
	refreshTimeout      = 8 * time.Millisecond
	refreshTimeoutLarge = 20 * time.Millisecond
	// reusePeriod is how old a sample may be to be used without asking again, and
	// reusePeriodFull that of an instance without a free slot: for that to change
	// work must end, and to ask it again at each attempt costs more than is gained.
	reusePeriod     = 3 * time.Millisecond
	reusePeriodFull = 25 * time.Millisecond
	// homeRounds is how often candidates of the node's own failure domain are
	// drawn before others are.
	homeRounds = 2
	// stayShare and stayShareLarge are the shares of the time until the goal
	// within which an answer must be expected for a request to stay in its failure
	// domain without a look at others.
	stayShare      = 0.5
	stayShareLarge = 0.7
	// awayShare and awayShareLarge are the shares of the goal by which another
	// failure domain must be faster: what crosses is paid for by the byte, and
	// meets what others send.
	awayShare      = 0.05
	awayShareLarge = 0.4
	// assumedGoal is the time within which an answer is to come where the route
	// names none, in multiples of its usual time.
	assumedGoal = 3
	// crowdingShare is the share of the work by which a full instance is slower
	// than an empty one.
	crowdingShare = 0.5
	usualSlowness = 100
	// maxStayFailures is the failure rate from which on others are looked at.
	maxStayFailures = 0.1
)

// Refresher asks instances for their load.
type Refresher interface {
	// Refresh returns when the instances have answered, or after timeout.
	Refresh(spec *compiler.ServiceSpec, instances []*registrar.Instance, timeout time.Duration)
}

// leastExpectedFinish asks a few candidates for their load at the moment of the
// choice, and takes the one that is expected to have the answer ready first.
// It answers load that shifts faster than samples arrive by themselves, on
// services with few requests to each instance. Requests stay in the failure
// domain of their entry node while that serves them in time.
type leastExpectedFinish struct{ p *Picker }

func (c *leastExpectedFinish) usesLoad() bool { return true }

// avoidsOutliers reports false: slowness and failures are part of the expected
// finish, and few instances with noise look like outliers all the time.
func (c *leastExpectedFinish) avoidsOutliers() bool { return false }

func (c *leastExpectedFinish) pick(r *request, choice *Choice) {
	if c.tryOwn(r, choice) {
		return
	}
	for range homeRounds {
		c.consider(r, choice, true)
		if best := c.best(choice, r); best >= 0 && c.stays(&choice.candidates[best], r) {
			choice.chosen = best
			return
		}
	}
	c.consider(r, choice, false)
	choice.chosen = max(c.best(choice, r), 0)
}

// tryOwn takes this node's own instance if that serves the request in time:
// it needs no question and no way.
func (c *leastExpectedFinish) tryOwn(r *request, choice *Choice) bool {
	in := r.eligible.take(c.p.self)
	if in == nil {
		return false
	}
	choice.add(c.candidate(in, r))
	own := &choice.candidates[0]
	c.score(own, r)
	return own.ground == GroundCold && own.reading.Load().SlownessPercent() <= usualSlowness && c.stays(own, r)
}

// consider draws candidates from this node's failure domain or from the others,
// and asks them for their load.
func (c *leastExpectedFinish) consider(r *request, choice *Choice, home bool) {
	first := choice.n
	var stale []*registrar.Instance
	for choice.n < MaxCandidates && choice.n-first < c.p.candidates {
		in := r.eligible.drawDomain(c.p.domain, home, c.p.random)
		if in == nil {
			break
		}
		candidate := c.candidate(in, r)
		if !c.current(&candidate) {
			stale = append(stale, in)
		}
		choice.add(candidate)
	}
	if len(stale) > 0 && c.p.refresher != nil {
		timeout := refreshTimeout
		if r.Large {
			timeout = refreshTimeoutLarge
		}
		c.p.refresher.Refresh(&r.spec, stale, timeout)
		r.Now = time.Now()
	}
	for i := first; i < choice.n; i++ {
		choice.candidates[i] = c.candidate(choice.candidates[i].instance, r)
	}
}

func (c *leastExpectedFinish) candidate(in *registrar.Instance, r *request) Candidate {
	return Candidate{instance: in, reading: c.p.read(in, r)}
}

// current reports whether a candidate's sample needs no refresh.
func (c *leastExpectedFinish) current(candidate *Candidate) bool {
	reading := candidate.reading
	if !reading.Sampled() || reading.Incarnation() != candidate.instance.Incarnation() {
		return false
	}
	if load := reading.Load(); load.InFlight() >= load.Limit() && reading.Age() <= reusePeriodFull {
		return true
	}
	return reading.Fresh() && reading.Age() <= reusePeriod
}

// best scores all candidates and returns the best one with a sample, or -1.
func (c *leastExpectedFinish) best(choice *Choice, r *request) int {
	best := -1
	for i := range choice.n {
		candidate := &choice.candidates[i]
		c.score(candidate, r)
		if candidate.ground == GroundNoSample {
			continue
		}
		if best < 0 || candidate.expected < choice.candidates[best].expected {
			best = i
		}
	}
	return best
}

// stays reports whether the candidate is good enough to look no further: it
// has room and nothing slows it, or the answer is expected early enough.
func (c *leastExpectedFinish) stays(candidate *Candidate, r *request) bool {
	goal := c.goal(candidate.reading, r)
	if candidate.spare() {
		return candidate.expected <= goal
	}
	share := stayShare
	if r.Large {
		share = stayShareLarge
	}
	return candidate.expected <= time.Duration(share*float64(goal))
}

// goal returns the time within which the answer is to come.
func (c *leastExpectedFinish) goal(reading sampler.Reading, r *request) time.Duration {
	if r.Goal > 0 {
		return r.Goal
	}
	return assumedGoal * c.work(reading, r)
}

// wayCost returns what it costs to send the request to the candidate.
func (c *leastExpectedFinish) wayCost(candidate *Candidate, r *request) time.Duration {
	way := c.p.distance(candidate.instance)
	if candidate.instance.FailureDomain() == c.p.domain {
		return way
	}
	share := awayShare
	if r.Large {
		share = awayShareLarge
	}
	return way + time.Duration(share*float64(c.goal(candidate.reading, r)))
}

// work returns how long the request takes at an instance that nothing slows.
func (c *leastExpectedFinish) work(reading sampler.Reading, r *request) time.Duration {
	if r.Work > 0 {
		return r.Work
	}
	return max(reading.Load().Latency(), unknownLatency)
}

// score sets the candidate's ground and expected time until the answer.
func (c *leastExpectedFinish) score(candidate *Candidate, r *request) {
	reading := candidate.reading
	if !reading.Sampled() || reading.Incarnation() != candidate.instance.Incarnation() || reading.Age() > r.sampleMaxAge {
		candidate.ground = GroundNoSample
		return
	}
	load := reading.Load()
	limit := max(load.Limit(), 1)
	occupancy := load.InFlight() + load.Queued() + reading.SentSince()
	work := c.work(reading, r)
	crowding := crowdingShare * min(float64(occupancy+1)/float64(limit), 1)
	candidate.ground = GroundCold
	candidate.expected = reading.Spell(r.Now).Finish(work, r.Now) + time.Duration(crowding*float64(work)) +
		c.wayCost(candidate, r) + failureCost(reading.FailureRate())
	if r.Large && candidate.instance.ID() != c.p.self {
		candidate.expected += load.LinkWait()
	}
	if occupancy >= limit {
		candidate.ground = GroundHot
		candidate.expected += max(load.Latency(), work) * time.Duration(occupancy-limit+1) / time.Duration(limit)
	}
}
