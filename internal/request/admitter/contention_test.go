package admitter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

// TestContendedUpstreamUsesFewerSlots simulates load above the capacity of an upstream
// that works 1.7 times slower with more than 4 of its 6 slots in use, and of one that
// does not. It checks the limit after a load that rises, and after an overload from the
// start.
func TestContendedUpstreamUsesFewerSlots(t *testing.T) {
	const work, slots = 90 * time.Millisecond, 6
	for name, tc := range map[string]struct {
		contentionFactor float64
		initialLoad      float64 // As a share of the slots.
		wantLimit        int
	}{
		"contended":                                {1.7, 0.4, 4},
		"not contended":                            {1, 0.4, 6},
		"contended, overloaded from the start":     {1.7, 1.5, 4},
		"not contended, overloaded from the start": {1, 1.5, 6},
	} {
		t.Run(name, func(t *testing.T) {
			limit := 0
			synctest.Test(t, func(*testing.T) {
				a := New(Config{Slots: slots, Connections: 100, QueueLength: 8, LimitIgnoresLatency: true})
				r := rand.New(rand.NewPCG(7, 8))
				for begin := time.Now(); time.Since(begin) < 10*time.Second; {
					load := max(tc.initialLoad, 0.4+0.8*time.Since(begin).Seconds()/10) // Rises to 1.2.
					time.Sleep(time.Duration(r.ExpFloat64() / (load * slots) * float64(work)))
					took := float64(work) * (0.7 + 0.6*r.Float64())
					go func() {
						p, err := a.Admit(context.Background(), Request{ExpectedWork: work, Deadline: time.Now().Add(time.Second)})
						if err != nil {
							return
						}
						if a.InFlight() > 4 {
							took *= tc.contentionFactor
						}
						time.Sleep(time.Duration(took))
						p.Done(Result{Latency: time.Duration(took)})
					}()
				}
				limit = a.Load().Limit()
				time.Sleep(time.Minute)
			})
			assert.Equal(t, limit, tc.wantLimit)
		})
	}
}

// TestColdUpstreamIsNotSlowedFurther plays the seconds after the start of an upstream that
// is twice as slow meanwhile, and 1.7 times slower still with more than 3 of its 4 slots in
// use, under a fifth more load than it bears with 3. It must serve nearly as many requests
// as it bears.
func TestColdUpstreamIsNotSlowedFurther(t *testing.T) {
	const work, slots, length, goal = 100 * time.Millisecond, 4, 3 * time.Second, 600 * time.Millisecond
	const coldPercent, coldWork = 200, 2 * work
	const bearable = 3 * int(length/coldWork)
	var served atomic.Int64
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 32, LimitIgnoresLatency: true, Slowdown: func(time.Time) sampler.Slowdown {
			return sampler.Slowdown{SlownessPercent: coldPercent, SlownessAfterPercent: coldPercent}
		}})
		r := rand.New(rand.NewPCG(3, 4))
		for begin := time.Now(); time.Since(begin) < length; {
			time.Sleep(time.Duration(r.ExpFloat64() / (1.2 * 3) * float64(coldWork)))
			took := float64(coldWork) * (0.7 + 0.6*r.Float64())
			now := time.Now()
			req := Request{ExpectedWork: work, LatencyGoalTime: now.Add(goal), Deadline: now.Add(4 * time.Second), Retried: true}
			go func() {
				p, err := a.Admit(context.Background(), req)
				if err != nil {
					return
				}
				if a.InFlight() > 3 {
					took *= 1.7
				}
				time.Sleep(time.Duration(took))
				p.Done(Result{Latency: time.Duration(took)})
				if time.Since(begin) <= length {
					served.Add(1)
				}
			}()
		}
		time.Sleep(time.Minute)
	})
	t.Logf("served %d of %d that the upstream bears", served.Load(), bearable)
	assert.Assert(t, int(served.Load())*10 >= bearable*9)
}
