package admitter

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// fixedLimit is a RateLimiter that always reports the same wait.
type fixedLimit struct {
	perSecond float64
	left      int
	taken     int

	mu    sync.Mutex // Guards the fields below.
	wait  time.Duration
	asked int // Of the last Wait.
}

func (l *fixedLimit) setWait(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wait = wait
}

// Wait implements RateLimiter.
func (l *fixedLimit) Wait(n int, _ time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = n
	return l.wait
}

// Take implements RateLimiter.
func (l *fixedLimit) Take(time.Time) { l.taken++ }

// Report implements RateLimiter.
func (l *fixedLimit) Report(time.Time) sampler.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sampler.RateLimit{PerSecond: l.perSecond, Left: l.left, Wait: l.wait}
}

func TestLongerWaitOfTwoLimitsCounts(t *testing.T) {
	const short, long = time.Second, 2 * time.Second
	for name, tc := range map[string]struct {
		advertised, cold *fixedLimit
		reason           classifier.Reason
		reported         float64
	}{
		"cold":           {&fixedLimit{perSecond: 4, wait: short}, &fixedLimit{perSecond: 11, wait: long}, classifier.ReasonCold, 11},
		"advertised":     {&fixedLimit{perSecond: 4, wait: long}, &fixedLimit{perSecond: 11, wait: short}, classifier.ReasonRateLimit, 4},
		"cold alone":     {&fixedLimit{}, &fixedLimit{perSecond: 11, wait: short}, classifier.ReasonCold, 11},
		"neither waits":  {&fixedLimit{perSecond: 4, left: 3}, &fixedLimit{perSecond: 11, left: 2}, classifier.ReasonNone, 11},
		"more left cold": {&fixedLimit{perSecond: 4, left: 1}, &fixedLimit{perSecond: 11, left: 2}, classifier.ReasonNone, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Config{Slots: 2, Connections: 100, QueueLength: 100, RateLimiter: tc.advertised, ColdLimiter: tc.cold})
				assert.Equal(t, a.Load().Rate().PerSecond, tc.reported)
				permit, err := a.Admit(context.Background(), Request{})
				if tc.reason == classifier.ReasonNone {
					assert.NilError(t, err)
					permit.Done(Result{})
					assert.Equal(t, tc.advertised.taken, 1)
					assert.Equal(t, tc.cold.taken, 1)
					return
				}
				var refusal *Refusal
				assert.Assert(t, errors.As(err, &refusal), "%v", err)
				assert.Equal(t, refusal.Reason(), tc.reason)
				assert.Equal(t, refusal.RetryAfter(), max(tc.advertised.wait, tc.cold.wait))
			})
		})
	}
}

// waitingRetry returns a request that waits for long and cannot go elsewhere.
func waitingRetry(priority compiler.Priority) Request {
	return Request{
		Priority: priority, ExpectedWork: 20 * time.Millisecond, Retried: true,
		LatencyGoalTime: time.Now().Add(8 * time.Second), Deadline: time.Now().Add(10 * time.Second),
	}
}

// TestWaitingRequestsOutlastAShortDoubt guards against a doubt of a few milliseconds, in which a slot
// becomes free and all that wait are refused.
func TestWaitingRequestsOutlastAShortDoubt(t *testing.T) {
	const waiting, work = 20, 20 * time.Millisecond
	for _, overload := range []compiler.Overload{compiler.OverloadArrivalOrder, compiler.OverloadLeastCost} {
		t.Run(overload.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cold := &fixedLimit{perSecond: 11}
				a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true, ColdLimiter: cold, Overload: overload})
				first, err := a.Admit(context.Background(), waitingRetry(compiler.PriorityNormal))
				assert.NilError(t, err)
				var ran, refused atomic.Int64
				for range waiting {
					go func() {
						permit, err := a.Admit(context.Background(), waitingRetry(compiler.PriorityNormal))
						if err != nil {
							refused.Add(1)
							return
						}
						ran.Add(1)
						time.Sleep(work)
						permit.Done(Result{Latency: work})
					}()
				}
				time.Sleep(work)
				cold.setWait(maxHeldRateWait)
				first.Done(Result{Latency: work})
				synctest.Wait()
				cold.setWait(0)
				time.Sleep(maxHeldRateWait + waiting*work)
				assert.Equal(t, refused.Load(), int64(0))
				assert.Equal(t, ran.Load(), int64(waiting))
			})
		})
	}
}

// TestWaitingRequestsAreRefusedByAColdRate checks that requests which wait for a slot are sent elsewhere at once
// if the rate makes them wait for longer.
func TestWaitingRequestsAreRefusedByAColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := &fixedLimit{perSecond: 11}
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, ColdLimiter: cold})
		first, err := a.Admit(context.Background(), waitingRetry(compiler.PriorityNormal))
		assert.NilError(t, err)
		go func() {
			time.Sleep(time.Millisecond)
			cold.setWait(maxHeldRateWait + time.Millisecond)
			first.Done(Result{Latency: time.Millisecond})
		}()
		start := time.Now()
		_, err = a.Admit(context.Background(), waitingRetry(compiler.PriorityNormal))
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Reason(), classifier.ReasonCold)
		assert.Equal(t, time.Since(start), time.Millisecond)
	})
}

// TestLowerClassesTakeNoColdRate guards against urgent requests that are refused by a cold rate since less urgent
// ones wait for a slot.
func TestLowerClassesTakeNoColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold, advertised := &fixedLimit{perSecond: 11}, &fixedLimit{}
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, RateLimiter: advertised, ColdLimiter: cold})
		first, err := a.Admit(context.Background(), waitingRetry(compiler.PriorityNormal))
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		admit := func(priority compiler.Priority) {
			go func() { _, _ = a.Admit(ctx, waitingRetry(priority)) }() // Canceled at the end.
			synctest.Wait()
		}
		for range 3 {
			admit(compiler.PriorityLow)
		}
		admit(compiler.PriorityHigh)
		assert.Equal(t, cold.asked, 1)
		admit(compiler.PriorityHigh)
		assert.Equal(t, cold.asked, 2)
		assert.Equal(t, advertised.asked, 5)
		cancel()
		synctest.Wait()
		first.Done(Result{})
	})
}
