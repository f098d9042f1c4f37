package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// margin is how many times the requests before a new one count towards its
	// deadline, since more of a higher priority may come and some take longer.
	margin = 2
	// maxWaitRatio is how many times the usual latency a request may wait. A
	// longer wait is that of a straggler, and other instances are faster.
	maxWaitRatio = 6
)

// objection returns why work is not to wait behind the given number of
// requests: its answer is expected after its deadline, for which they count
// the given number of times, or its wait is too long.
func (a *Admitter) objection(work Work, ahead, times int, now time.Time) classifier.Reason {
	if a.late(work, times*ahead, now) {
		return classifier.ReasonDeadline
	}
	if usual := a.limiter.baseline; usual > 0 && a.expectedWait(work, ahead, now) > maxWaitRatio*usual {
		return classifier.ReasonQueueSlow
	}
	return classifier.ReasonNone
}

// late reports whether work that has the given number of waiting requests
// before it is expected to be answered after its deadline.
func (a *Admitter) late(work Work, ahead int, now time.Time) bool {
	if work.Deadline.IsZero() {
		return false
	}
	return now.Add(a.expectedWait(work, ahead, now) + a.latency(now)).After(work.Deadline)
}

// expectedWait returns how long work that has the given number of waiting
// requests before it waits for its turn. Of the slots that become free, some go
// to higher classes that have yet to arrive.
func (a *Admitter) expectedWait(work Work, ahead int, now time.Time) time.Duration {
	slots := float64(a.limiter.limit(now)) * a.queue.below(work.Priority)
	return time.Duration(float64(a.slotTime(now)) * float64(ahead+1) / slots)
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
