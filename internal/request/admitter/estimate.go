package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// deadlineMargin is how many times the requests before a new one count towards its
	// deadline, since more of a higher priority may come and some take longer.
	deadlineMargin = 2
	// stragglerRatio is how many times the usual latency a slot is held by an
	// upstream that counts as a straggler. Others have a long queue for their load.
	stragglerRatio = 3
	// firstWaitDivisor is the inverse of the share of the time until it is due for
	// which the first attempt of a request may wait.
	firstWaitDivisor = 3
	// lateOrderOffset is longer than any deadline: by that much work that was too late when
	// it came goes after other work of its class.
	lateOrderOffset = 24 * time.Hour
	// lateWaitDivisor is the inverse of the share of the time until its deadline
	// within which work that can only be late must be done.
	lateWaitDivisor = 2
	// maxWaitRatio is how many times the usual latency a request may wait at a
	// straggler, since other instances are faster.
	maxWaitRatio = 6
)

// position tells how many waiting requests go before one: those of its own class
// and higher ones, and those of its own class alone.
type position struct{ ahead, sameClass float64 }

// scaled returns the place with the requests ahead counted n times.
func (p position) scaled(n float64) position {
	return position{ahead: n * p.ahead, sameClass: p.sameClass}
}

// marginFor returns the margin for work. What has a due time goes before later
// work that is due later: what is ahead of it does not grow.
func marginFor(work Work) float64 {
	if !work.Due.IsZero() {
		return 1
	}
	return deadlineMargin
}

// refusalReason returns why work is not to wait at a place: its answer is expected
// after its deadline, by the place given for that, or its wait is too long.
func (a *Admitter) refusalReason(work Work, pos, deadlinePos position, now time.Time) classifier.Reason {
	if a.missesDeadline(work, deadlinePos, now) {
		return classifier.ReasonDeadline
	}
	if a.waitsTooLong(work, pos, now) {
		return classifier.ReasonQueueSlow
	}
	baseline := a.limiter.baseline
	straggler := !work.Retried && baseline > 0 && a.slotTime(now) > stragglerRatio*baseline
	if straggler && a.expectedWait(work, pos, now) > maxWaitRatio*baseline {
		return classifier.ReasonQueueSlow
	}
	return classifier.ReasonNone
}

// waitsTooLong reports whether work with a due time is better not to wait here.
// Urgent work waits as long as its deadline can be met: what it holds up costs
// more than its own delay. Of other work a first attempt may wait for a part of
// what is left, since other instances may have room, and what can only be late
// may wait for a part of its deadline.
func (a *Admitter) waitsTooLong(work Work, pos position, now time.Time) bool {
	if work.Due.IsZero() || work.Priority == compiler.PriorityHigh {
		return false
	}
	wait := a.expectedWait(work, pos, now)
	if !work.Retried && !work.Stays && !a.missesGoal(work, now) {
		return wait > work.Due.Sub(now)/firstWaitDivisor
	}
	if wait+a.workTime(work, now) <= work.Due.Sub(now) {
		return false
	}
	return !work.Deadline.IsZero() && wait+a.workTime(work, now) > work.Deadline.Sub(now)/lateWaitDivisor
}

// timeLeft returns how much time waiting work has left until it is worth less: until
// it is due, or, if it cannot be in time for that any more, until its deadline.
// What was too late when it came has its turn after all else. Work that does not
// say when it is due is taken as it came.
func (a *Admitter) timeLeft(work Work, now time.Time) time.Duration {
	if work.Due.IsZero() {
		return 0
	}
	switch left := work.Deadline.Sub(now); {
	case work.arrivedLate:
		return lateOrderOffset + left
	case a.missesGoal(work, now):
		return left
	default:
		return work.Due.Sub(now)
	}
}

// missesGoal reports whether work cannot be done any more when it is due, but may
// be before its deadline.
func (a *Admitter) missesGoal(work Work, now time.Time) bool {
	if work.Due.IsZero() || work.Deadline.IsZero() {
		return false
	}
	return now.Add(a.minWorkTime(work, now)).After(work.Due)
}

// missesDeadline reports whether work at the given place is expected to be answered
// after its deadline.
func (a *Admitter) missesDeadline(work Work, pos position, now time.Time) bool {
	if work.Deadline.IsZero() {
		return false
	}
	return now.Add(a.expectedWait(work, pos, now) + a.workTime(work, now)).After(work.Deadline)
}

// expectedWait returns how long work at the given place waits for its turn. Of
// the slots that become free, some go to higher classes that have yet to
// arrive; a few go to lower classes.
func (a *Admitter) expectedWait(work Work, pos position, now time.Time) time.Duration {
	hold := a.holdTime(work, now)
	limit := float64(a.limiter.limit(now))
	if float64(a.inFlight)+pos.ahead < limit {
		return hold
	}
	turns := min((pos.ahead+1)/a.queue.shareUpTo(work.Priority), (pos.sameClass+1)*agingInterval)
	return max(hold, time.Duration(float64(a.slotTime(now))*turns/limit))
}

// workTime returns the expected time until the answer to work begins. The mean
// over all work of the upstream stands for what says nothing of itself.
func (a *Admitter) workTime(work Work, now time.Time) time.Duration {
	if work.Expected <= 0 {
		return a.latency(now)
	}
	slowdown := a.slowdownAt(now)
	if a.holdTime(work, now) > 0 {
		return slowdown.After(work.Expected)
	}
	return sampler.Slowed(work.Expected, slowdown.SlownessPercent)
}

// holdTime returns for how long work is held back, although a slot may be free,
// since it is done earlier if it begins when the upstream is faster. It answers
// an upstream that is slowed for fractions of a second: what begins then takes
// its slot for several times as long.
func (a *Admitter) holdTime(work Work, now time.Time) time.Duration {
	wait := a.slowdownAt(now).Wait(work.Expected, now)
	if !work.Deadline.IsZero() && now.Add(wait+work.Expected).After(work.Deadline) {
		return 0
	}
	return wait
}

// slowdownAt returns how fast the upstream works now.
func (a *Admitter) slowdownAt(now time.Time) sampler.Spell {
	if a.slowdown == nil {
		return sampler.Spell{SlownessPercent: fullPercent}
	}
	return a.slowdown(now)
}

// minWorkTime returns the time that an answer to work takes if all goes well.
func (a *Admitter) minWorkTime(work Work, now time.Time) time.Duration {
	if work.Expected > 0 {
		return work.Expected
	}
	return a.limiter.recentMinLatency(now)
}

// latency returns the expected time until an answer begins. While all slots
// are taken and nothing ends, it is at least the age of the youngest exchange.
func (a *Admitter) latency(now time.Time) time.Duration {
	return max(a.limiter.expectedLatency(now, a.inFlight == 0), a.stallTime(now))
}

// slotTime returns the expected time for which a request holds its slot: at
// least the mean age of those that hold one now.
func (a *Admitter) slotTime(now time.Time) time.Duration {
	return max(a.limiter.slotTime, a.stallTime(now), a.meanAge(now))
}

// meanAge returns for how long the requests in flight have run on average.
func (a *Admitter) meanAge(now time.Time) time.Duration {
	if a.inFlight == 0 {
		return 0
	}
	return now.Sub(a.created) - a.startOffsetSum/time.Duration(a.inFlight)
}

// stallTime returns for how long all slots were taken and no exchange ended.
func (a *Admitter) stallTime(now time.Time) time.Duration {
	if a.inFlight < a.limiter.limit(now) {
		return 0
	}
	return now.Sub(a.lastChange)
}
