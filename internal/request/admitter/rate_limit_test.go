package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	tallyscope "github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// burst is the number of requests that may start at once after a while without any, if the
// upstream advertises 4 requests a second.
const burst = 3

// runLimited runs a test in fake time with an admitter of two slots, whose upstream advertises 4
// requests a second and has not been sent any for a while.
func runLimited(t *testing.T, test func(t *testing.T, a *Admitter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := ratelimiter.New(ratelimiter.Config{Scope: tallyscope.NoopScope, Log: zerolog.Nop()})
		l.Observe(ratelimiter.Response{Limit: "4", SentAt: time.Now()})
		time.Sleep(time.Second)
		test(t, New(Config{Slots: 2, Connections: 100, QueueLength: 100, RateLimiter: l}))
	})
}

func assertRateLimited(t *testing.T, err error) *Refusal {
	t.Helper()
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Reason(), classifier.ReasonRateLimit)
	return refusal
}

func TestRequestBeyondRateLimitIsRefusedAtOnce(t *testing.T) {
	runLimited(t, func(t *testing.T, a *Admitter) {
		start := time.Now()
		for range burst {
			permit, err := a.Admit(context.Background(), Request{})
			assert.NilError(t, err)
			permit.Done(Result{Latency: time.Millisecond})
		}
		_, err := a.Admit(context.Background(), Request{})
		refusal := assertRateLimited(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.Sleep(refusal.RetryAfter())
		permit, err := a.Admit(context.Background(), Request{})
		assert.NilError(t, err)
		permit.Done(Result{})
	})
}

// TestWaitingRequestsHeedRateLimitAdvertisedMeanwhile guards against requests that are sent at once after a stall, although the upstream has advertised a rate limit since they arrived.
func TestWaitingRequestsHeedRateLimitAdvertisedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := ratelimiter.New(ratelimiter.Config{Scope: tallyscope.NoopScope, Log: zerolog.Nop()})
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, RateLimiter: l})
		stalled, err := a.Admit(context.Background(), Request{})
		assert.NilError(t, err)
		var started, refused atomic.Int64
		for range 20 {
			go func() {
				permit, err := a.Admit(context.Background(), Request{})
				if err != nil {
					refused.Add(1)
					return
				}
				started.Add(1)
				permit.Done(Result{})
			}()
		}
		synctest.Wait()
		l.Observe(ratelimiter.Response{Limit: "4", SentAt: time.Now()})
		time.Sleep(time.Second)
		stalled.Done(Result{})
		synctest.Wait()
		assert.Equal(t, started.Load(), int64(burst))
		assert.Equal(t, refused.Load(), int64(20-burst))
	})
}

// classCounts counts the requests of a class that were sent and served, the latter also when
// they came back.
type classCounts struct{ sent, served int }

func (c classCounts) share() float64 { return float64(c.served) / float64(c.sent) }

// sendClass sends requests of a class at random intervals for five minutes. Each comes back
// once after Retry-After if it was refused.
func sendClass(a *Admitter, priority compiler.Priority, perSecond float64) classCounts {
	var served atomic.Int64
	var counts classCounts
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(1, uint64(priority)))
	for start := time.Now(); time.Since(start) < 5*time.Minute; counts.sent++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
		wg.Go(func() {
			if admitAndReturn(a, priority) {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	counts.served = int(served.Load())
	return counts
}

// admitAndReturn admits a request, which comes back once if it is refused. It reports whether
// it was served.
func admitAndReturn(a *Admitter, priority compiler.Priority) bool {
	permit, err := a.Admit(context.Background(), Request{Priority: priority})
	var refusal *Refusal
	if errors.As(err, &refusal) {
		time.Sleep(refusal.RetryAfter())
		permit, err = a.Admit(context.Background(), Request{Priority: priority})
	}
	if err != nil {
		return false
	}
	permit.Done(Result{})
	return true
}

// TestUrgentRequestsGetRateLimitFirst plays payments and checks at an upstream that advertises a limit of 4 requests a second.
func TestUrgentRequestsGetRateLimitFirst(t *testing.T) {
	const goal = 0.8 // Of what each class gets if nothing is lost between them.
	for name, tc := range map[string]struct {
		payments, checks           float64 // Sent a second.
		paymentsShare, checksShare float64 // Of these, what the limit leaves to the class.
	}{
		"more payments than the limit":     {6, 20, 4.0 / 6, 0},
		"payments that leave half of it":   {2, 20, 1, 2.0 / 20},
		"a payment now and then":           {0.1, 20, 1, 3.9 / 20},
		"checks within what is left of it": {2, 1, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runLimited(t, func(t *testing.T, a *Admitter) {
				var payments classCounts
				var wg sync.WaitGroup
				wg.Go(func() { payments = sendClass(a, compiler.PriorityHigh, tc.payments) })
				checks := sendClass(a, compiler.PriorityLow, tc.checks)
				wg.Wait()
				t.Logf("payments: %+v, checks: %+v", payments, checks)
				assert.Assert(t, payments.share() >= goal*tc.paymentsShare)
				assert.Assert(t, checks.share() >= goal*tc.checksShare)
				assert.Assert(t, checks.served > 0)
			})
		})
	}
}
