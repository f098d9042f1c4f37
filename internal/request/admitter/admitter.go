// Package admitter is the admission control of one upstream: it decides which
// requests run, which wait in a queue, and which are refused.
//
// # Usage
//
//	a := admitter.New(admitter.Config{Slots: 6, Connections: 240, QueueLength: 32, ColdStart: 5 * time.Second})
//	permit, err := a.Admit(ctx, admitter.Request{Priority: compiler.PriorityHigh, Deadline: deadline})
//	var refusal *admitter.Refusal
//	if errors.As(err, &refusal) {
//		// Not run: respond with 503, refusal.Reason() and refusal.RetryAfterSeconds().
//	}
//	// Run the request.
//	permit.Done(admitter.Result{Latency: latency})
//
// The requests in flight are bounded by an adaptive concurrency limit, which lies
// between a third of the upstream's slots and all of them. Further requests wait
// in a bounded queue. Higher priorities are dispatched first, except for a few
// turns that go to a lower one. A request is refused if it is expected to miss its
// deadline or to wait too long, either on arrival or later in the queue. If the queue
// is full, a request of higher priority preempts a waiting one of lower priority,
// never a running one.
//
// One mutex guards all state, since an upstream has only a handful of slots; it
// is held for well under a microsecond.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Admitter is the admission control of one upstream. It is safe for concurrent use.
type Admitter struct {
	observer   Observer
	rateLimits rateLimiters
	slowdown   func(now time.Time) sampler.Slowdown
	linkWait   func() time.Duration

	mu           sync.Mutex // Guards all below.
	limiter      *limiter
	queue        queue
	leastCost    *leastCost // Nil unless it decides.
	healthReport healthReport
	rateReserve  rateReserve
	rateHeld     bool // Waiting requests stay for a cold rate until the next review.
	inFlight     int
	// startOffsetSum is the sum of the start times of the requests in flight, each
	// as an offset from created. The mean age of these requests is computed from it.
	startOffsetSum time.Duration
	created        time.Time
	leaving        bool
	lastChange     time.Time // When a request last started or finished.
}

// New returns an admitter whose cold start begins now.
func New(cfg Config) *Admitter {
	now := time.Now()
	a := &Admitter{
		observer:   cfg.Observer,
		rateLimits: newRateLimiters(cfg.RateLimiter, cfg.ColdLimiter),
		slowdown:   cfg.Slowdown,
		linkWait:   cfg.LinkWait,
		limiter:    newLimiter(cfg.Slots, cfg.Connections, cfg.ColdStart, now),
		queue:      queue{capacity: cfg.QueueLength},
		lastChange: now,
		created:    now,
	}
	a.limiter.ignoresLatency = cfg.LimitIgnoresLatency
	a.limiter.slowdown = cfg.Slowdown
	a.SetOverload(cfg.Overload)
	return a
}

// Admit waits until the request may run and returns a permit, on which the
// caller must call Done. It returns a *Refusal if the request must not run, on
// arrival or as soon as that becomes clear while the request waits. The deadline
// of ctx applies if it is earlier than that of the request.
func (a *Admitter) Admit(ctx context.Context, req Request) (*Permit, error) {
	if deadline, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || deadline.Before(req.Deadline)) {
		req.Deadline = deadline
	}
	if ctx.Err() != nil {
		return nil, &Refusal{reason: contextReason(ctx)}
	}
	now := time.Now()
	w, run, refusal := a.admitOrQueue(req, now)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return newPermit(a, run), nil
	}
	return a.wait(ctx, w)
}

// ObserveHealth records a reading of the upstream's health endpoint. While the
// endpoint reports unhealthy, Load reports a failure rate of 100 percent, unless a
// request has succeeded recently or the report has expired. A healthy reading ends
// the report and has no other effect.
func (a *Admitter) ObserveHealth(healthy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.healthReport.record(healthy, time.Now())
}

// InFlight returns the number of requests in flight.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// Leave refuses all waiting and all later requests. Requests in flight are not
// affected.
func (a *Admitter) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	for w := a.queue.first(); w != nil; w = a.queue.first() {
		a.refuseWaiter(w, classifier.ReasonLeaving, time.Now())
	}
}

// Load returns the current load of the upstream as measured by the admitter.
func (a *Admitter) Load() sampler.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	slowdown := a.slowdownAt(now)
	linkWait := time.Duration(0)
	if a.linkWait != nil {
		linkWait = a.linkWait()
	}
	return sampler.NewLoad(sampler.LoadSpec{
		SlownessPercent: slowdown.SlownessPercent,
		SlowdownLeft:    slowdown.End.Sub(now),
		LinkWait:        linkWait,
		InFlight:        a.inFlight,
		Queued:          a.queue.len(),
		Limit:           a.limiter.limit(now),
		Latency:         a.latency(now),
		WarmPercent:     a.limiter.warmPercent(now),
		FailurePercent:  a.failurePercent(now),
		Rate:            a.rateLimits.report(now),
	})
}

// failurePercent returns the expected failure rate of the upstream in percent.
func (a *Admitter) failurePercent(now time.Time) int {
	if a.healthReport.indicatesFailure(now) {
		return fullPercent
	}
	return int(a.limiter.failureRate(now) * fullPercent)
}

// SlowdownChanged dispatches requests whose start was delayed until the end of a
// slowdown.
// It must be called when the value of Config.Slowdown changes.
func (a *Admitter) SlowdownChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.review(now)
	a.notify(now)
}

// Update applies the settings of a new configuration. If the queue exceeds its new
// length, the requests at its end are refused.
func (a *Admitter) Update(slots, connections, queueLength int, coldStart time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.limiter.update(slots, connections, coldStart)
	a.queue.capacity = queueLength
	for a.queue.len() > queueLength {
		a.refuseWaiter(a.queue.last(), classifier.ReasonQueueFull, now)
	}
	a.review(now)
	a.notify(now)
}

// review starts and refuses waiting requests after a change.
func (a *Admitter) review(now time.Time) {
	if a.leastCost != nil {
		a.reviewLeastCost(now)
		return
	}
	a.dispatch(now)
	a.prune(now)
}

// admitOrQueue starts, queues or refuses a request. The waiter and the refusal
// are both nil if it was started.
func (a *Admitter) admitOrQueue(req Request, now time.Time) (*waiter, run, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, run{}, a.newRefusal(classifier.ReasonLeaving, now)
	}
	if a.leastCost != nil {
		req = a.arrive(req, now)
	}
	if refusal := a.arrivalRateRefusal(req.Priority, now); refusal != nil {
		return nil, run{}, refusal
	}
	if a.inFlight < a.limiter.limit(now) && a.queue.len() == 0 && a.startDelay(req, now) == 0 {
		if !req.Deadline.IsZero() && now.Add(a.minWorkTime(req, now)).After(req.Deadline) {
			return nil, run{}, a.newRefusal(classifier.ReasonDeadline, now)
		}
		return nil, a.start(req, now), nil
	}
	req.arrivedLate = a.missesGoal(req, now)
	if a.leastCost != nil {
		w, refusal := a.queueLeastCost(req, now)
		return w, run{}, refusal
	}
	pos := a.queue.position(req)
	if reason := a.refusalReason(req, pos, pos.scaled(marginFor(req)), now); reason != classifier.ReasonNone {
		a.prune(now)
		return nil, run{}, a.newRefusal(reason, now)
	}
	if a.queue.len() >= a.queue.capacity {
		victim := a.queue.victim(req.Priority)
		if victim == nil {
			return nil, run{}, a.newRefusal(a.capacityReason(), now)
		}
		a.refuseWaiter(victim, classifier.ReasonPreempted, now)
	}
	w := newWaiter(req)
	a.queue.push(w)
	a.prune(now)
	a.dispatch(now)
	return w, run{}, nil
}

// capacityReason returns the reason of a refusal for lack of capacity: the
// connection limit if it is below the slots, otherwise the full queue.
func (a *Admitter) capacityReason() classifier.Reason {
	if a.limiter.connections < a.limiter.slots {
		return classifier.ReasonConnections
	}
	return classifier.ReasonQueueFull
}

// start records that a request starts to run.
func (a *Admitter) start(req Request, now time.Time) run {
	a.rateLimits.take(now)
	a.rateReserve.starts++
	a.inFlight++
	a.startOffsetSum += now.Sub(a.created)
	a.queue.recordStart(req.Priority)
	if a.leastCost != nil {
		a.recordLeastCostStart(req, now)
	}
	a.lastChange = now
	a.notify(now)
	return run{
		startedAt:       now,
		expectedWork:    req.ExpectedWork,
		inFlight:        a.inFlight,
		slownessPercent: a.slowdownAt(now).SlownessPercent,
	}
}

// finish records the result of a request that ran, frees its slot and dispatches
// waiting requests.
func (a *Admitter) finish(result Result, r run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	saturated := a.inFlight >= a.limiter.limit(now)
	a.removeInFlight(r.startedAt)
	a.lastChange = now
	a.limiter.observeSlotTime(now.Sub(r.startedAt))
	if !result.Abandoned {
		a.limiter.observeResult(result.Failed, now)
	}
	if !result.Abandoned && !result.Failed {
		a.limiter.observeLatency(result.Latency, saturated, now)
		if unslowed, ok := r.unslowedLatency(result.Latency); ok {
			a.limiter.contention.observe(r.inFlight, a.limiter.maxLimit(), unslowed, r.expectedWork, now)
		}
		if a.leastCost != nil {
			a.leastCost.occupancy.observe(now.Sub(r.startedAt), sampler.SlowedDuration(r.expectedWork, r.slownessPercent))
		}
		a.healthReport.lastSuccess = now
	}
	a.review(now)
	a.notify(now)
}

// release frees the slot of a request that was admitted but did not run.
func (a *Admitter) release(startedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.removeInFlight(startedAt)
	if a.leastCost != nil {
		a.reviewLeastCost(now)
	} else {
		a.dispatch(now)
	}
	a.notify(now)
}

// removeInFlight removes a request with the given start time from the counts.
func (a *Admitter) removeInFlight(startedAt time.Time) {
	a.inFlight--
	a.startOffsetSum -= startedAt.Sub(a.created)
	if a.leastCost != nil {
		a.leastCost.occupancy.end(startedAt)
	}
}

// dispatch starts waiting requests while slots are free.
func (a *Admitter) dispatch(now time.Time) {
	for a.inFlight < a.limiter.limit(now) {
		w := a.queue.next(
			func(req Request) time.Duration { return a.orderKey(req, now) },
			func(req Request) bool { return a.startDelay(req, now) == 0 },
		)
		if w == nil {
			return
		}
		if !a.canFinish(w.req, now) {
			a.refuseWaiter(w, classifier.ReasonDeadline, now)
			continue
		}
		if !a.startWaiter(w, now) {
			return
		}
	}
}

// startWaiter starts a waiting request, or refuses it by a rate limit. It returns false if the request
// stays for the limit, as others then do.
func (a *Admitter) startWaiter(w *waiter, now time.Time) bool {
	refusal := a.rateRefusal(1, 1, now)
	if refusal != nil && a.holdForRate(refusal) {
		return false
	}
	a.queue.remove(w)
	if refusal != nil {
		w.settle(refusal)
		return true
	}
	a.queue.dispatched++
	w.run = a.start(w.req, now)
	w.settle(nil)
	return true
}

// prune refuses requests from the end of each class until the last one is
// expected to meet its deadline after an acceptable wait.
func (a *Admitter) prune(now time.Time) {
	for priority := range a.queue.classes {
		for {
			w := a.queue.lastOf(compiler.Priority(priority))
			if w == nil {
				break
			}
			pos := a.queue.position(w.req)
			pos.ahead--
			pos.sameClass--
			reason := a.refusalReason(w.req, pos, pos, now)
			if reason == classifier.ReasonNone {
				break
			}
			a.refuseWaiter(w, reason, now)
		}
	}
}

func (a *Admitter) notify(now time.Time) {
	if a.observer != nil {
		a.observer.InFlightChanged(now, a.inFlight, a.limiter.limit(now))
	}
}

// newRefusal returns a refusal. Its RetryAfter is the expected time until all requests
// that are in flight or queued now have finished.
func (a *Admitter) newRefusal(reason classifier.Reason, now time.Time) *Refusal {
	requests := time.Duration(a.inFlight + a.queue.len())
	return &Refusal{
		reason:     reason,
		retryAfter: a.slotTime(now) * requests / time.Duration(a.limiter.limit(now)),
	}
}

func (a *Admitter) refuseWaiter(w *waiter, reason classifier.Reason, now time.Time) {
	refusal := a.newRefusal(reason, now)
	a.queue.remove(w)
	w.settle(refusal)
}
