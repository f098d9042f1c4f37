package picker

import (
	"testing"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

// limit records a load sample of an idle instance whose upstream advertises a rate limit.
func (f *fleet) limit(id string, left int, wait time.Duration) {
	l := sampler.NewLoad(sampler.LoadSpec{Limit: 6, Latency: time.Microsecond, WarmPercent: 100, Rate: sampler.RateLimit{PerSecond: 2, Left: left, Wait: wait}})
	f.pool.Observe(id, 0, l, f.now)
}

func TestInstanceBeyondItsRateLimitComesLast(t *testing.T) {
	for _, policy := range []string{PolicyLeastExpectedLatency, PolicyLeastExpectedFinish, PolicyRandom} {
		t.Run(policy, func(t *testing.T) {
			f := newFleet(t, registrar.Spec{}, registrar.Spec{State: registrar.StateSuspect})
			f.picker = f.newPicker(t, policy)
			f.limit("0", 0, 400*time.Millisecond)
			f.sample("1", 6, time.Second)
			assertAlwaysPicked(t, f.countPicks(), "1")
			f.now = f.now.Add(400 * time.Millisecond)
			assertAlwaysPicked(t, f.countPicks(), "0") // Its wait is over.
			f.now = f.now.Add(-400 * time.Millisecond)
			assertAlwaysPicked(t, f.countPicks("1"), "0")
		})
	}
}

func TestRequestsLeftByRateLimitAreUsed(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{})
	f.limit("0", 1, 0)
	f.sample("1", 5, 9*time.Millisecond)
	assertAlwaysPicked(t, f.countPicks(), "0")
}
