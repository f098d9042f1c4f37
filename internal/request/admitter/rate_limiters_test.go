package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// fixedLimit is a RateLimiter that always reports the same wait.
type fixedLimit struct {
	perSecond float64
	left      int
	wait      time.Duration
	taken     int
}

// Wait implements RateLimiter.
func (l *fixedLimit) Wait(int, time.Time) time.Duration { return l.wait }

// Take implements RateLimiter.
func (l *fixedLimit) Take(time.Time) { l.taken++ }

// Report implements RateLimiter.
func (l *fixedLimit) Report(time.Time) sampler.RateLimit {
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
