package quotakeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// neededShare is the part of what one token bucket would let pass that must not be refused.
const neededShare = 0.95

func (f *fleet) context() context.Context { return context.Background() }

// moving sends all requests to two nodes, which change within each second.
func moving(size int) func(time.Duration, *rand.Rand) int {
	return func(at time.Duration, r *rand.Rand) int {
		return (int(at/(700*time.Millisecond))*7 + r.IntN(2)) % size
	}
}

// bursts has twice the rate for a tenth of each 3 s, on top of half the rate.
func bursts(perSecond float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(3*time.Second) < 300*time.Millisecond {
			return 4 * perSecond
		}
		return perSecond / 2
	}
}

// TestRequestsWithinTheLimitAreNotRefused plays loads at, below and far above the limit, and
// compares what runs with what one token bucket lets pass.
func TestRequestsWithinTheLimitAreNotRefused(t *testing.T) {
	for _, size := range []int{4, 16, 100} {
		small, large := organisation(t, "chica", 2, 4), organisation(t, "grande", 230, 60)
		for name, tc := range map[string]struct {
			share float64
			rate  func(float64) func(time.Duration) float64
			node  func(int) func(time.Duration, *rand.Rand) int
		}{
			"steady, below": {0.8, constant, anywhere},
			"steady, at":    {1, constant, anywhere},
			"steady, 12x":   {12, constant, anywhere},
			"moving, at":    {1, constant, moving},
			"moving, 12x":   {12, constant, moving},
			"bursts, below": {0.8, bursts, anywhere},
			"bursts, 3x":    {3, bursts, moving},
		} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, size), func(t *testing.T) {
				organisations := []*compiler.Organisation{small, large}
				runFleet(t, 1, size, organisations, func(t *testing.T, f *fleet) {
					time.Sleep(warmUp)
					var wg sync.WaitGroup
					sent := make([][]time.Duration, len(organisations))
					for i, o := range organisations {
						l := load{o, tc.rate(o.Rate() * tc.share), tc.node(size)}
						wg.Go(func() { sent[i] = f.play(l, 20*time.Second) })
					}
					wg.Wait()
					for i, o := range organisations {
						f.assertWithinLimit(t, o)
						wanted := bucketCount(o, sent[i])
						t.Logf("%s: %d ran, one bucket %d, share %.3f", o.Name(), f.count(o), wanted, float64(f.count(o))/float64(wanted))
						assert.Check(t, float64(f.count(o)) >= neededShare*float64(wanted), "%s: %d ran, of %d", o.Name(), f.count(o), wanted)
					}
				})
			})
		}
	}
}
