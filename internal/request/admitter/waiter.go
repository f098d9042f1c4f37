package admitter

import (
	"container/list"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// minCheckInterval and maxCheckInterval bound the interval at which the deadline
	// of a waiting request is checked.
	minCheckInterval = time.Millisecond
	maxCheckInterval = time.Hour
	// minGoalCheckInterval bounds the interval at which a plan is made for the goal of a
	// waiting request alone. Arrivals and freed slots make one anyway.
	minGoalCheckInterval = 20 * time.Millisecond
)

// waiter is a request in the queue. Its element is nil once it has left the queue.
type waiter struct {
	req     Request
	element *list.Element
	arrival uint64 // Sequence number of arrival.
	run     run    // Set when the request starts.
	// leastCost means that the request waits by a plan, which is checked for its goal, too.
	leastCost bool
	account   *account      // Of its organisation; nil for none.
	settled   chan *Refusal // Receives the refusal, or nil if the request starts.
}

func newWaiter(req Request) *waiter {
	return &waiter{req: req, settled: make(chan *Refusal, 1)}
}

// settle sends the decision to the waiting goroutine. It never blocks, since a
// waiter is settled only once.
func (w *waiter) settle(refusal *Refusal) { w.settled <- refusal }

// wait blocks until w starts, is refused, can no longer meet its deadline, or its
// context ends.
func (a *Admitter) wait(ctx context.Context, w *waiter) (*Permit, error) {
	timer := time.NewTimer(w.nextCheck(time.Now()))
	defer timer.Stop()
	for {
		select {
		case refusal := <-w.settled:
			return a.permit(w, refusal)
		case <-timer.C:
			now := time.Now()
			a.refuseIfDeadlineMissed(w, now)
			timer.Reset(w.nextCheck(now))
		case <-ctx.Done():
			return nil, a.cancelWait(w, contextReason(ctx))
		}
	}
}

// nextCheck returns the time until the next check of the deadline: half of the
// remaining time. A request that waits by a plan is also checked before its latency goal.
func (w *waiter) nextCheck(now time.Time) time.Duration {
	if goal := w.req.LatencyGoalTime.Sub(now); w.leastCost && goal > 0 {
		return max(goal/2, minGoalCheckInterval)
	}
	if w.req.Deadline.IsZero() {
		return maxCheckInterval
	}
	return max(w.req.Deadline.Sub(now)/2, minCheckInterval)
}

// refuseIfDeadlineMissed refuses w if it would miss its deadline even as the next one to
// start. It dispatches first, in case the end of a slowdown was not reported.
func (a *Admitter) refuseIfDeadlineMissed(w *waiter, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leastCost != nil {
		a.reviewLeastCost(now)
		return
	}
	a.dispatch(now)
	if w.element != nil && a.missesDeadline(w.req, position{}, now) {
		a.refuseWaiter(w, classifier.ReasonDeadline, now)
	}
}

// contextReason returns the refusal reason for an ended context.
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

// cancelWait removes w from the queue. If w has started in the meantime, it frees its
// slot.
func (a *Admitter) cancelWait(w *waiter, reason classifier.Reason) *Refusal {
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
