// Package admitter decides which requests an upstream works on, which wait,
// and which are refused at once.
//
// # Usage
//
//	a := admitter.New(admitter.Config{Slots: 6, Connections: 240, QueueLength: 32, ColdStart: 5 * time.Second})
//	permit, err := a.Admit(ctx, admitter.Work{Priority: compiler.PriorityHigh, Deadline: deadline})
//	var refusal *admitter.Refusal
//	if errors.As(err, &refusal) {
//		// Not run: answer 503 with refusal.Reason() and refusal.RetryAfterSeconds().
//	}
//	// Work.
//	permit.Done(admitter.Result{Latency: latency})
//
// An upstream works on at most as many requests as its adaptive limit, which
// lies between a third of its slots and all of them. Others wait in a bounded
// queue, the higher priority first, but for a few turns that go to a lower
// one. A request whose deadline cannot be met, or whose wait would be
// many times the usual latency, is refused when it arrives, or as soon as that
// becomes clear. A higher priority takes the place of a lower one that waits,
// never of one that runs.
//
// All of it is the state of one upstream with a handful of slots, so one mutex
// guards it; it is held for well under a microsecond.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Observer is told of each change of the upstream's work, in order. Its method
// is called with the admitter locked: it must be quick and must not call back.
type Observer interface {
	InFlightChanged(now time.Time, inFlight, limit int)
}

// Config lists the settings of an Admitter.
type Config struct {
	// Slots is how many requests the upstream works on at once, at least 1.
	Slots int
	// Connections is how many connections the upstream accepts, at least 1.
	Connections int
	// QueueLength bounds how many requests wait; 0 for none.
	QueueLength int
	// ColdStart is how long after New the limit takes to reach its full value.
	ColdStart time.Duration
	// FixedLimit keeps the limit at the slots, for an upstream that is slowed by
	// others rather than by its own work.
	FixedLimit bool
	// Spell returns how fast the upstream works at this moment; nil if that is
	// not known.
	Spell func(now time.Time) sampler.Spell
	// LinkWait returns how long a large answer waits until it is sent; nil if
	// that is not known.
	LinkWait func() time.Duration
	// Observer is told of each change of the work in flight; nil for none.
	Observer Observer
}

// Work describes a request that asks for admission.
type Work struct {
	// Priority is the request's class.
	Priority compiler.Priority
	// Deadline is when the answer must be there; the zero time for none.
	Deadline time.Time
	// Due is when the answer is worth most; the zero time for the deadline.
	Due time.Time
	// Expected is how long the upstream works on it where nothing slows it; 0 if
	// that is not known.
	Expected time.Duration
	// Retried tells that another attempt went before: what was refused elsewhere
	// is refused for its deadline only.
	Retried bool
	// Stays tells that to wait here is better than to go elsewhere, as long as it
	// can be in time.
	Stays bool
	// arrivedLate tells that it could not be in time any more when it came.
	arrivedLate bool
}

// Admitter admits work to one upstream.
type Admitter struct {
	observer Observer
	slowdown func(now time.Time) sampler.Spell
	linkWait func() time.Duration

	mu       sync.Mutex // Guards all below.
	limiter  *limiter
	queue    queue
	hint     hint
	inFlight int
	// startOffsetSum is the sum of the times at which the requests in flight began,
	// each as the time since started.
	startOffsetSum time.Duration
	created        time.Time
	leaving        bool
	lastChange     time.Time // When a request last began or ended.
}

// New returns an admitter whose cold start begins now.
func New(cfg Config) *Admitter {
	now := time.Now()
	a := &Admitter{
		observer:   cfg.Observer,
		slowdown:   cfg.Spell,
		linkWait:   cfg.LinkWait,
		limiter:    newLimiter(cfg.Slots, cfg.Connections, cfg.ColdStart, now),
		queue:      queue{capacity: cfg.QueueLength},
		lastChange: now,
		created:    now,
	}
	a.limiter.fixed = cfg.FixedLimit
	return a
}

// Admit returns a permit as soon as the upstream may work on the request. It
// returns a *Refusal if the request is not to run: at once, or as soon as that
// becomes clear while it waits. A caller with a permit must call Done.
func (a *Admitter) Admit(ctx context.Context, work Work) (*Permit, error) {
	if deadline, ok := ctx.Deadline(); ok && (work.Deadline.IsZero() || deadline.Before(work.Deadline)) {
		work.Deadline = deadline
	}
	if ctx.Err() != nil {
		return nil, &Refusal{reason: contextReason(ctx)}
	}
	now := time.Now()
	w, run, refusal := a.admitOrQueue(work, now)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return newPermit(a, run), nil
	}
	return a.wait(ctx, w)
}

// Hint takes in what the upstream's own health endpoint says. An upstream that
// says it is unhealthy is told to fail everything, unless a request to it has
// succeeded lately; one that says it is healthy gains nothing by that.
func (a *Admitter) Hint(healthy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hint.record(healthy, time.Now())
}

// InFlight returns how many requests the upstream works on.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// Leave makes Admit refuse everything from now on and refuses all that wait.
// Requests in flight are not touched.
func (a *Admitter) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	for w := a.queue.first(); w != nil; w = a.queue.first() {
		a.refuseWaiter(w, classifier.ReasonLeaving, time.Now())
	}
}

// Load returns the upstream's load as counted here.
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
		SpellLeft:       slowdown.Ends.Sub(now),
		LinkWait:        linkWait,
		InFlight:        a.inFlight,
		Queued:          a.queue.len(),
		Limit:           a.limiter.limit(now),
		Latency:         a.latency(now),
		WarmPercent:     a.limiter.warmPercent(now),
		FailurePercent:  a.failurePercent(now),
	})
}

// failurePercent returns the share of requests that the upstream is expected
// to fail.
func (a *Admitter) failurePercent(now time.Time) int {
	if a.hint.applies(now) {
		return fullPercent
	}
	return int(a.limiter.failureRate(now) * fullPercent)
}

// SpellChanged lets work begin that waited for the upstream to be faster.
func (a *Admitter) SpellChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.dispatch(now)
	a.prune(now)
	a.notify(now)
}

// Update replaces the settings by those of a new configuration.
func (a *Admitter) Update(slots, connections, queueLength int, coldStart time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.limiter.update(slots, connections, coldStart)
	a.queue.capacity = queueLength
	for a.queue.len() > queueLength {
		a.refuseWaiter(a.queue.last(), classifier.ReasonQueueFull, now)
	}
	a.dispatch(now)
	a.prune(now)
	a.notify(now)
}

// admitOrQueue admits, queues or refuses a request. The waiter and the refusal are nil
// if it was admitted.
func (a *Admitter) admitOrQueue(work Work, now time.Time) (*waiter, run, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, run{}, a.newRefusal(classifier.ReasonLeaving, now)
	}
	if a.inFlight < a.limiter.limit(now) && a.queue.len() == 0 && a.holdTime(work, now) == 0 {
		if !work.Deadline.IsZero() && now.Add(a.minWorkTime(work, now)).After(work.Deadline) {
			return nil, run{}, a.newRefusal(classifier.ReasonDeadline, now)
		}
		return nil, a.start(work, now), nil
	}
	work.arrivedLate = a.missesGoal(work, now)
	pos := a.queue.position(work)
	if reason := a.refusalReason(work, pos, pos.scaled(marginFor(work)), now); reason != classifier.ReasonNone {
		a.prune(now)
		return nil, run{}, a.newRefusal(reason, now)
	}
	if a.queue.len() >= a.queue.capacity {
		victim := a.queue.victim(work.Priority)
		if victim == nil {
			return nil, run{}, a.newRefusal(a.capacityReason(), now)
		}
		a.refuseWaiter(victim, classifier.ReasonPreempted, now)
	}
	w := newWaiter(work)
	a.queue.push(w)
	a.prune(now)
	a.dispatch(now)
	return w, run{}, nil
}

// capacityReason returns why there is no place: the connections, if they are fewer
// than the slots, or the slots and the queue.
func (a *Admitter) capacityReason() classifier.Reason {
	if a.limiter.connections < a.limiter.slots {
		return classifier.ReasonConnections
	}
	return classifier.ReasonQueueFull
}

// start counts a request that starts to run.
func (a *Admitter) start(work Work, now time.Time) run {
	a.inFlight++
	a.startOffsetSum += now.Sub(a.created)
	a.queue.recordStart(work.Priority)
	a.lastChange = now
	a.notify(now)
	return run{startedAt: now, expected: work.Expected, inFlight: a.inFlight, slownessPercent: a.slowdownAt(now).SlownessPercent}
}

// finish counts a request that ran, and starts those whose turn it is.
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
		if normalized, ok := r.normalizedLatency(result.Latency); ok {
			a.limiter.contention.observe(r.inFlight, a.limiter.maxLimit(), normalized, r.expected, now)
		}
		a.hint.lastSuccess = now
	}
	a.dispatch(now)
	a.prune(now)
	a.notify(now)
}

// release gives back the slot of a request that was admitted but never ran.
func (a *Admitter) release(startedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.removeInFlight(startedAt)
	a.dispatch(now)
	a.notify(now)
}

// removeInFlight counts out a request that began at the given time.
func (a *Admitter) removeInFlight(startedAt time.Time) {
	a.inFlight--
	a.startOffsetSum -= startedAt.Sub(a.created)
}

// dispatch starts waiting requests while there are free slots.
func (a *Admitter) dispatch(now time.Time) {
	for a.inFlight < a.limiter.limit(now) {
		w := a.queue.next(
			func(work Work) time.Duration { return a.timeLeft(work, now) },
			func(work Work) bool { return a.holdTime(work, now) == 0 },
		)
		if w == nil {
			return
		}
		if !w.work.Deadline.IsZero() && !w.work.Deadline.After(now) {
			a.refuseWaiter(w, classifier.ReasonDeadline, now)
			continue
		}
		a.queue.remove(w)
		a.queue.dispatched++
		w.run = a.start(w.work, now)
		w.settle(nil)
	}
}

// prune refuses the waiting requests at the end of each class that are no
// longer expected to be answered in time.
func (a *Admitter) prune(now time.Time) {
	for priority := range a.queue.classes {
		for {
			w := a.queue.lastOf(compiler.Priority(priority))
			if w == nil {
				break
			}
			pos := a.queue.position(w.work)
			pos.ahead--
			pos.sameClass--
			reason := a.refusalReason(w.work, pos, pos, now)
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

// newRefusal returns a refusal that tells when what is here now will be done.
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
