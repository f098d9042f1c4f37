package admitter

import (
	"container/list"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// minCheckInterval and maxCheckInterval bound how often a waiting request's
	// deadline is looked at.
	minCheckInterval = time.Millisecond
	maxCheckInterval = time.Hour
)

// waiter is a request in the queue. Its element is nil once it left the queue.
type waiter struct {
	work    Work
	element *list.Element
	number  uint64        // In the order of arrival.
	run     run           // Set when it got its permit.
	settled chan *Refusal // Receives nil for a permit.
}

func newWaiter(work Work) *waiter {
	return &waiter{work: work, settled: make(chan *Refusal, 1)}
}

// settle tells the waiting goroutine the decision. It never blocks, since a
// waiter is settled once.
func (w *waiter) settle(refusal *Refusal) { w.settled <- refusal }

// wait returns when w got its permit or a refusal, its caller left, or its
// deadline can no longer be met.
func (a *Admitter) wait(ctx context.Context, w *waiter) (*Permit, error) {
	timer := time.NewTimer(w.nextCheck(time.Now()))
	defer timer.Stop()
	for {
		select {
		case refusal := <-w.settled:
			return a.permit(w, refusal)
		case <-timer.C:
			now := time.Now()
			a.refuseIfUnmeetable(w, now)
			timer.Reset(w.nextCheck(now))
		case <-ctx.Done():
			return nil, a.abandon(w, contextReason(ctx))
		}
	}
}

// nextCheck returns how long to wait until the deadline is looked at again:
// half of the time that is left.
func (w *waiter) nextCheck(now time.Time) time.Duration {
	if w.work.Deadline.IsZero() {
		return maxCheckInterval
	}
	return max(w.work.Deadline.Sub(now)/2, minCheckInterval)
}

// refuseIfUnmeetable refuses w if it would be late even as the next one to run. What
// waits for the upstream to be faster begins, if nobody told that it is.
func (a *Admitter) refuseIfUnmeetable(w *waiter, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatch(now)
	if w.element != nil && a.missesDeadline(w.work, position{}, now) {
		a.refuseWaiter(w, classifier.ReasonDeadline, now)
	}
}

// contextReason returns why a context ended.
func contextReason(ctx context.Context) classifier.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return classifier.ReasonDeadline
	}
	return classifier.ReasonCanceled
}

func (a *Admitter) permit(w *waiter, refusal *Refusal) (*Permit, error) {
	if refusal != nil {
		return nil, refusal
	}
	return newPermit(a, w.run), nil
}

// abandon takes w out of the queue. If it got its permit in the meantime, the
// slot is given back.
func (a *Admitter) abandon(w *waiter, reason classifier.Reason) *Refusal {
	a.mu.Lock()
	if w.element != nil {
		a.refuseWaiter(w, reason, time.Now())
	}
	a.mu.Unlock()
	refusal := <-w.settled
	if refusal != nil {
		return refusal
	}
	a.release(w.run.startedAt)
	return &Refusal{reason: reason}
}
