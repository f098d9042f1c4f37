package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// margin is how many times the requests before a new one count towards its
	// deadline, since more of a higher priority may come and some take longer.
	margin = 2
	// stragglerRatio is how many times the usual latency a slot is held by an
	// upstream that counts as a straggler. Others have a long queue for their load.
	stragglerRatio = 3
	// firstWaitShare is the inverse of the share of the time until it is due for
	// which the first attempt of a request may wait.
	firstWaitShare = 3
	// lateTurn is longer than any deadline: by that much work that was too late when
	// it came goes after other work of its class.
	lateTurn = 24 * time.Hour
	// lateWaitShare is the inverse of the share of the time until its deadline
	// within which work that can only be late must be done.
	lateWaitShare = 2
	// maxWaitRatio is how many times the usual latency a request may wait at a
	// straggler, since other instances are faster.
	maxWaitRatio = 6
)

// place tells how many waiting requests go before one: those of its own class
// and higher ones, and those of its own class alone.
type place struct{ ahead, own float64 }

// behind returns the place with the requests ahead counted n times.
func (p place) behind(n float64) place { return place{ahead: n * p.ahead, own: p.own} }

// marginOf returns the margin for work. What has a due time goes before later
// work that is due later: what is ahead of it does not grow.
func marginOf(work Work) float64 {
	if !work.Due.IsZero() {
		return 1
	}
	return margin
}

// objection returns why work is not to wait at a place: its answer is expected
// after its deadline, by the place given for that, or its wait is too long.
func (a *Admitter) objection(work Work, p, deadline place, now time.Time) classifier.Reason {
	if a.late(work, deadline, now) {
		return classifier.ReasonDeadline
	}
	if a.overdue(work, p, now) {
		return classifier.ReasonQueueSlow
	}
	usual := a.limiter.baseline
	straggles := !work.Retried && usual > 0 && a.slotTime(now) > stragglerRatio*usual
	if straggles && a.expectedWait(work, p, now) > maxWaitRatio*usual {
		return classifier.ReasonQueueSlow
	}
	return classifier.ReasonNone
}

// overdue reports whether work with a due time is better not to wait here.
// Urgent work waits as long as its deadline can be met: what it holds up costs
// more than its own delay. Of other work a first attempt may wait for a part of
// what is left, since other instances may have room, and what can only be late
// may wait for a part of its deadline.
func (a *Admitter) overdue(work Work, p place, now time.Time) bool {
	if work.Due.IsZero() || work.Priority == compiler.PriorityHigh {
		return false
	}
	wait := a.expectedWait(work, p, now)
	if !work.Retried && !work.Stays && !a.tooLate(work, now) {
		return wait > work.Due.Sub(now)/firstWaitShare
	}
	if wait+a.workTime(work, now) <= work.Due.Sub(now) {
		return false
	}
	return !work.Deadline.IsZero() && wait+a.workTime(work, now) > work.Deadline.Sub(now)/lateWaitShare
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
	case work.late:
		return lateTurn + left
	case a.tooLate(work, now):
		return left
	default:
		return work.Due.Sub(now)
	}
}

// tooLate reports whether work cannot be done any more when it is due, but may
// be before its deadline.
func (a *Admitter) tooLate(work Work, now time.Time) bool {
	if work.Due.IsZero() || work.Deadline.IsZero() {
		return false
	}
	return now.Add(a.leastWork(work, now)).After(work.Due)
}

// late reports whether work at the given place is expected to be answered
// after its deadline.
func (a *Admitter) late(work Work, p place, now time.Time) bool {
	if work.Deadline.IsZero() {
		return false
	}
	return now.Add(a.expectedWait(work, p, now) + a.workTime(work, now)).After(work.Deadline)
}

// expectedWait returns how long work at the given place waits for its turn. Of
// the slots that become free, some go to higher classes that have yet to
// arrive; a few go to lower classes.
func (a *Admitter) expectedWait(work Work, p place, now time.Time) time.Duration {
	hold := a.holdTime(work, now)
	limit := float64(a.limiter.limit(now))
	if float64(a.inFlight)+p.ahead < limit {
		return hold
	}
	turns := min((p.ahead+1)/a.queue.below(work.Priority), (p.own+1)*agedTurn)
	return max(hold, time.Duration(float64(a.slotTime(now))*turns/limit))
}

// workTime returns the expected time until the answer to work begins. The mean
// over all work of the upstream stands for what says nothing of itself.
func (a *Admitter) workTime(work Work, now time.Time) time.Duration {
	if work.Expected <= 0 {
		return a.latency(now)
	}
	spell := a.spellAt(now)
	if a.holdTime(work, now) > 0 {
		return spell.After(work.Expected)
	}
	return sampler.Slowed(work.Expected, spell.SlownessPercent)
}

// holdTime returns for how long work is held back, although a slot may be free,
// since it is done earlier if it begins when the upstream is faster. It answers
// an upstream that is slowed for fractions of a second: what begins then takes
// its slot for several times as long.
func (a *Admitter) holdTime(work Work, now time.Time) time.Duration {
	wait := a.spellAt(now).Wait(work.Expected, now)
	if !work.Deadline.IsZero() && now.Add(wait+work.Expected).After(work.Deadline) {
		return 0
	}
	return wait
}

// spellAt returns how fast the upstream works now.
func (a *Admitter) spellAt(now time.Time) sampler.Spell {
	if a.spell == nil {
		return sampler.Spell{SlownessPercent: fullPercent}
	}
	return a.spell(now)
}

// leastWork returns the time that an answer to work takes if all goes well.
func (a *Admitter) leastWork(work Work, now time.Time) time.Duration {
	if work.Expected > 0 {
		return work.Expected
	}
	return a.limiter.fastestLatency(now)
}

// latency returns the expected time until an answer begins. While all slots
// are taken and nothing ends, it is at least the age of the youngest exchange.
func (a *Admitter) latency(now time.Time) time.Duration {
	return max(a.limiter.expectedLatency(now, a.inFlight == 0), a.standstill(now))
}

// slotTime returns the expected time for which a request holds its slot: at
// least the mean age of those that hold one now.
func (a *Admitter) slotTime(now time.Time) time.Duration {
	return max(a.limiter.slotTime, a.standstill(now), a.meanAge(now))
}

// meanAge returns for how long the requests in flight have run on average.
func (a *Admitter) meanAge(now time.Time) time.Duration {
	if a.inFlight == 0 {
		return 0
	}
	return now.Sub(a.started) - a.begunSum/time.Duration(a.inFlight)
}

// standstill returns for how long all slots were taken and no exchange ended.
func (a *Admitter) standstill(now time.Time) time.Duration {
	if a.inFlight < a.limiter.limit(now) {
		return 0
	}
	return now.Sub(a.changed)
}
