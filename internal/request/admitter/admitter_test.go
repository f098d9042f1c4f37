package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const serviceTime = 10 * time.Millisecond

// admitCall is one call of Admit in a goroutine of its own.
type admitCall struct {
	ended  chan struct{}
	permit *Permit
	err    error
	took   time.Duration
}

func admit(ctx context.Context, a *Admitter, req Request) *admitCall {
	call := &admitCall{ended: make(chan struct{})}
	begin := time.Now()
	go func() {
		call.permit, call.err = a.Admit(ctx, req)
		call.took = time.Since(begin)
		close(call.ended)
	}()
	synctest.Wait()
	return call
}

// hasEnded reports whether Admit has returned. Only then may the other fields be read.
func (call *admitCall) hasEnded() bool {
	select {
	case <-call.ended:
		return true
	default:
		return false
	}
}

func admitLow(a *Admitter) *admitCall { return admit(context.Background(), a, Request{}) }
func admitHigh(a *Admitter) *admitCall {
	return admit(context.Background(), a, Request{Priority: compiler.PriorityHigh})
}

// newAdmitterWithLatency returns an admitter that has measured serviceTime as its latency.
func newAdmitterWithLatency(t *testing.T, slots, queueLength int) *Admitter {
	a := New(Config{Slots: slots, Connections: 240, QueueLength: queueLength})
	t.Cleanup(a.Leave) // Ends the waiting goroutines.
	for range minWindowResults {
		p, _ := a.Admit(context.Background(), Request{})
		time.Sleep(serviceTime)
		p.Done(Result{Latency: serviceTime})
	}
	return a
}

func TestSlotLimitAndQueueCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 1, 1)
		first, second, third := admitLow(a), admitLow(a), admitLow(a)
		assertAdmitted(t, first)
		assertWaiting(t, second)
		assertRefused(t, third, classifier.ReasonQueueFull)
		assert.Equal(t, a.Load().Queued(), 1)
		first.permit.Done(Result{Latency: serviceTime})
		first.permit.Done(Result{Latency: serviceTime}) // Has no effect.
		synctest.Wait()
		assertAdmitted(t, second)
		assert.Equal(t, a.InFlight(), 1)
	})
}

func TestHigherPriorityPreemptsOnlyWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 1, 2)
		running, older, newer, high := admitLow(a), admitLow(a), admitLow(a), admitHigh(a)
		assertRefused(t, newer, classifier.ReasonPreempted)
		assertWaiting(t, older)
		assert.Equal(t, a.InFlight(), 1)
		running.permit.Done(Result{Latency: serviceTime})
		synctest.Wait()
		assertAdmitted(t, high)
		assertWaiting(t, older)
	})
}

func TestRequestThatWouldMissDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 2, 32)
		within := func(d time.Duration) *admitCall {
			return admit(context.Background(), a, Request{Deadline: time.Now().Add(d)})
		}
		assertRefused(t, within(serviceTime-1), classifier.ReasonDeadline)
		admitLow(a)
		admitLow(a)
		assertRefused(t, within(serviceTime+serviceTime/2-1), classifier.ReasonDeadline)
		assertWaiting(t, within(serviceTime+serviceTime/2))
		assertRefused(t, within(2*serviceTime+serviceTime/2-1), classifier.ReasonDeadline)
		waiter := within(2*serviceTime + serviceTime/2) // The margin counts the waiter ahead twice.
		assertWaiting(t, waiter)
		admitHigh(a)
		admitHigh(a) // They precede the waiter and make it miss its deadline.
		assertRefused(t, waiter, classifier.ReasonDeadline)
	})
}

// TestStragglerRefusesLongWaits checks that an upstream with a long queue that becomes
// slower refuses requests that would wait too long, both new and waiting ones, long
// before their deadline.
func TestStragglerRefusesLongWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 3, 32)
		for range minWindowLength / serviceTime {
			p, _ := a.Admit(context.Background(), Request{})
			time.Sleep(serviceTime)
			p.Done(Result{Latency: serviceTime})
		}
		req := Request{Deadline: time.Now().Add(10 * time.Second)}
		for range 3 {
			_, _ = a.Admit(context.Background(), req)
		}
		waiting := make([]*admitCall, 30)
		for i := range waiting {
			waiting[i] = admit(context.Background(), a, req)
			assertWaiting(t, waiting[i]) // The upstream is not slow yet.
		}
		time.Sleep(5 * serviceTime)
		assertRefused(t, admit(context.Background(), a, req), classifier.ReasonQueueSlow)
		assert.Equal(t, a.Load().Queued(), 3)
		assertWaiting(t, admit(context.Background(), a, Request{Deadline: req.Deadline, Retried: true}))
		for _, call := range waiting[3:] {
			assertRefusal(t, call, classifier.ReasonQueueSlow)
		}
	})
}

func TestStalledUpstreamRefusesWaiterBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 1, 32)
		admitLow(a) // Never finishes.
		waiter := admit(context.Background(), a, Request{Deadline: time.Now().Add(time.Second)})
		assertWaiting(t, waiter)
		time.Sleep(time.Second)
		synctest.Wait()
		assertRefusal(t, waiter, classifier.ReasonDeadline)
		assert.Assert(t, waiter.took <= 600*time.Millisecond, "%v", waiter.took)
		assert.Equal(t, a.newRefusal(classifier.ReasonLeaving, time.Now()).RetryAfter(), time.Second)
	})
}

func TestCanceledCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 1, 1)
		running := admitLow(a)
		ctx, cancel := context.WithCancel(context.Background())
		waiter := admit(ctx, a, Request{})
		assertWaiting(t, waiter)
		cancel()
		synctest.Wait()
		assertRefusal(t, waiter, classifier.ReasonCanceled)
		assert.Equal(t, a.Load().Queued(), 0)
		assertWaiting(t, admitLow(a))
		running.permit.Done(Result{Latency: serviceTime})
		assertRefusal(t, admit(ctx, a, Request{}), classifier.ReasonCanceled)
	})
}

func TestCancelDuringAdmissionReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 1, 1)
		admitLow(a)
		ctx, cancel := context.WithCancel(context.Background())
		waiter := admit(ctx, a, Request{})
		a.mu.Lock()
		cancel()
		a.inFlight--
		a.dispatch(time.Now()) // Starts the waiter before it observes the cancellation.
		a.mu.Unlock()
		synctest.Wait()
		assertRefusal(t, waiter, classifier.ReasonCanceled)
		assert.Equal(t, a.InFlight(), 0)
	})
}

func TestLeaveRefusesWaitingAndNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 1, 1)
		running, waiter := admitLow(a), admitLow(a)
		a.Leave()
		synctest.Wait()
		assertRefusal(t, waiter, classifier.ReasonLeaving)
		assertRefused(t, admitLow(a), classifier.ReasonLeaving)
		assert.Equal(t, a.InFlight(), 1)
		running.permit.Done(Result{Latency: serviceTime})
		assert.Equal(t, a.InFlight(), 0)
	})
}

func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 6, Connections: 240, ColdStart: 4 * time.Second})
		assert.Equal(t, a.Load().Limit(), 2)
		assert.Assert(t, a.Load().Warming())
		time.Sleep(2 * time.Second)
		assert.Equal(t, a.Load().Limit(), 4)
		time.Sleep(2 * time.Second)
		assert.Equal(t, a.Load().Limit(), 6)
		assert.Assert(t, !a.Load().Warming())
	})
}

func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, 2, 0)
		admitLow(a)
		admitLow(a)
		var refusal *Refusal
		assert.Assert(t, errors.As(admitLow(a).err, &refusal))
		assert.Equal(t, refusal.RetryAfter(), serviceTime)
		assert.Equal(t, refusal.RetryAfterSeconds(), 1)
		assert.Equal(t, (&Refusal{retryAfter: 1001 * time.Millisecond}).RetryAfterSeconds(), 2)
	})
}

func assertAdmitted(t *testing.T, call *admitCall) {
	t.Helper()
	assert.Assert(t, call.hasEnded())
	assert.NilError(t, call.err)
	assert.Assert(t, call.permit != nil)
}

func assertWaiting(t *testing.T, call *admitCall) {
	t.Helper()
	assert.Assert(t, !call.hasEnded())
}

func assertRefusal(t *testing.T, call *admitCall, reason classifier.Reason) {
	t.Helper()
	assert.Assert(t, call.hasEnded())
	var refusal *Refusal
	assert.Assert(t, errors.As(call.err, &refusal))
	assert.Equal(t, refusal.Reason(), reason)
}

func assertRefused(t *testing.T, call *admitCall, reason classifier.Reason) {
	t.Helper()
	assertRefusal(t, call, reason)
	assert.Equal(t, call.took, time.Duration(0))
}
