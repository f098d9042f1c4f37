package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// deadlineMargin multiplies the number of requests ahead of a new one when its
	// deadline is checked, since more of higher priority may arrive and some may
	// take longer than expected.
	deadlineMargin = 2
	// stragglerRatio bounds the slot time of an upstream as a multiple of its baseline
	// latency. Beyond it, the upstream is a straggler. At other upstreams load alone
	// explains a long queue, which is then no reason for a refusal.
	stragglerRatio = 3
	// firstAttemptWaitDivisor divides the time until the latency goal to yield the
	// longest wait of a first attempt.
	firstAttemptWaitDivisor = 3
	// lateOrderOffset orders requests that arrived too late for their latency goal
	// after all others of their class. It is longer than the time until any deadline.
	lateOrderOffset = 24 * time.Hour
	// lateResponseDivisor divides the time until the deadline to yield the longest time
	// to the response of a request that misses its latency goal.
	lateResponseDivisor = 2
	// maxWaitRatio bounds the wait at a straggler as a multiple of its baseline
	// latency, since other instances are faster.
	maxWaitRatio = 6
)

// position is the position of a request in the queue: the number of requests ahead
// of it in its own and higher classes, and in its own class alone.
type position struct{ ahead, sameClass float64 }

// scaled returns the position with the number of requests ahead multiplied by n.
func (p position) scaled(n float64) position {
	return position{ahead: n * p.ahead, sameClass: p.sameClass}
}

// marginFor returns the factor for the requests ahead of req. It is 1 for a request
// with a latency goal, since later requests with a later goal do not overtake it.
func marginFor(req Request) float64 {
	if !req.LatencyGoalTime.IsZero() {
		return 1
	}
	return deadlineMargin
}

// refusalReason returns why a request must not wait at pos, or ReasonNone. Its
// deadline is checked at deadlinePos, which may include a margin.
func (a *Admitter) refusalReason(req Request, pos, deadlinePos position, now time.Time) classifier.Reason {
	if a.missesDeadline(req, deadlinePos, now) {
		return classifier.ReasonDeadline
	}
	if a.waitsTooLong(req, pos, now) {
		return classifier.ReasonQueueSlow
	}
	baseline := a.limiter.baseline
	straggler := !req.Retried && baseline > 0 && a.slotTime(now) > stragglerRatio*baseline
	if straggler && a.expectedWait(req, pos, now) > maxWaitRatio*baseline {
		return classifier.ReasonQueueSlow
	}
	return classifier.ReasonNone
}

// waitsTooLong reports whether a request with a latency goal would wait too long
// here. A request of high priority may wait as long as it can meet its deadline,
// since the delay of the requests that depend on it costs more than its own. A first
// attempt of lower priority may wait for a share of the time until its goal, since
// other instances may have free slots. If a request misses its goal, its response
// must be expected within a share of the time until its deadline.
func (a *Admitter) waitsTooLong(req Request, pos position, now time.Time) bool {
	if req.LatencyGoalTime.IsZero() || req.Priority == compiler.PriorityHigh {
		return false
	}
	wait := a.expectedWait(req, pos, now)
	if !req.Retried && !req.PreferLocal && !a.missesGoal(req, now) {
		return wait > req.LatencyGoalTime.Sub(now)/firstAttemptWaitDivisor
	}
	if wait+a.workTime(req, now) <= req.LatencyGoalTime.Sub(now) {
		return false
	}
	return !req.Deadline.IsZero() && wait+a.workTime(req, now) > req.Deadline.Sub(now)/lateResponseDivisor
}

// orderKey returns the key by which the waiting requests of a class are dispatched,
// the least first: the time until the latency goal or, if that can no longer be
// met, until the deadline. Requests that arrived too late for their goal come last.
// The key is 0 for requests without a goal, which keep their order of arrival.
func (a *Admitter) orderKey(req Request, now time.Time) time.Duration {
	if req.LatencyGoalTime.IsZero() {
		return 0
	}
	switch left := req.Deadline.Sub(now); {
	case req.arrivedLate:
		return lateOrderOffset + left
	case a.missesGoal(req, now):
		return left
	default:
		return req.LatencyGoalTime.Sub(now)
	}
}

// missesGoal reports whether a request with a deadline would miss its latency goal
// even if it started now.
func (a *Admitter) missesGoal(req Request, now time.Time) bool {
	if req.LatencyGoalTime.IsZero() || req.Deadline.IsZero() {
		return false
	}
	return now.Add(a.minWorkTime(req, now)).After(req.LatencyGoalTime)
}

// missesDeadline reports whether the response to a request at the given position is
// expected after its deadline.
func (a *Admitter) missesDeadline(req Request, pos position, now time.Time) bool {
	if req.Deadline.IsZero() {
		return false
	}
	return now.Add(a.expectedWait(req, pos, now) + a.workTime(req, now)).After(req.Deadline)
}

// canFinish reports whether a request that starts now is expected to meet its deadline.
// Work that starts in a slowdown is slowed until it is done, and would only hold a slot
// that others need.
func (a *Admitter) canFinish(req Request, now time.Time) bool {
	if req.Deadline.IsZero() {
		return true
	}
	work := a.minWorkTime(req, now)
	if req.ExpectedWork > 0 {
		work = sampler.SlowedDuration(work, a.slowdownAt(now).SlownessPercent)
	}
	return !now.Add(work).After(req.Deadline)
}

// expectedWait returns the expected wait of a request at the given position. Some
// of the slots that become free go to requests of higher classes that have yet to
// arrive, and a few to lower classes.
func (a *Admitter) expectedWait(req Request, pos position, now time.Time) time.Duration {
	delay := a.startDelay(req, now)
	limit := float64(a.limiter.limit(now))
	if float64(a.inFlight)+pos.ahead < limit {
		return delay
	}
	turns := min((pos.ahead+1)/a.queue.shareUpTo(req.Priority), (pos.sameClass+1)*agingInterval)
	return max(delay, time.Duration(float64(a.slotTime(now))*turns/limit))
}

// workTime returns the expected time from the start of a request until its response
// begins. It is the mean latency of the upstream if the request has no estimate.
func (a *Admitter) workTime(req Request, now time.Time) time.Duration {
	if req.ExpectedWork <= 0 {
		return a.latency(now)
	}
	slowdown := a.slowdownAt(now)
	if a.startDelay(req, now) > 0 {
		return slowdown.DurationAfter(req.ExpectedWork)
	}
	return sampler.SlowedDuration(req.ExpectedWork, slowdown.SlownessPercent)
}

// startDelay returns how long the start of a request is delayed, even if a slot is
// free, because it finishes earlier if it starts after the current slowdown. This
// helps at upstreams that are slowed for fractions of a second, where a request that
// starts during a slowdown holds its slot several times as long.
func (a *Admitter) startDelay(req Request, now time.Time) time.Duration {
	wait := a.slowdownAt(now).StartDelay(req.ExpectedWork, now)
	if !req.Deadline.IsZero() && now.Add(wait+req.ExpectedWork).After(req.Deadline) {
		return 0
	}
	return wait
}

// slowdownAt returns the slowdown of the upstream at now, none if it is unknown.
func (a *Admitter) slowdownAt(now time.Time) sampler.Slowdown {
	if a.slowdown == nil {
		return sampler.Slowdown{SlownessPercent: fullPercent}
	}
	return a.slowdown(now)
}

// minWorkTime returns the shortest time within which a response can begin.
func (a *Admitter) minWorkTime(req Request, now time.Time) time.Duration {
	if req.ExpectedWork > 0 {
		return req.ExpectedWork
	}
	return a.limiter.recentMinLatency(now)
}

// latency returns the expected time until a response begins. While all slots are
// in use, it is at least the time since a request last started or finished.
func (a *Admitter) latency(now time.Time) time.Duration {
	return max(a.limiter.expectedLatency(now, a.inFlight == 0), a.stallTime(now))
}

// slotTime returns the expected time for which a request holds its slot. It is at
// least the mean age of the requests in flight.
func (a *Admitter) slotTime(now time.Time) time.Duration {
	return max(a.limiter.slotTime, a.stallTime(now), a.meanAge(now))
}

// meanAge returns the mean age of the requests in flight.
func (a *Admitter) meanAge(now time.Time) time.Duration {
	if a.inFlight == 0 {
		return 0
	}
	return now.Sub(a.created) - a.startOffsetSum/time.Duration(a.inFlight)
}

// stallTime returns how long no request has started or finished while all slots are
// in use, or 0 if one is free.
func (a *Admitter) stallTime(now time.Time) time.Duration {
	if a.inFlight < a.limiter.limit(now) {
		return 0
	}
	return now.Sub(a.lastChange)
}
