package sampler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

// TestWorkWaitsForTheEndOfASlowdown checks when work is delayed to the end of a
// slowdown, since work that begins during it is slowed until it is done.
func TestWorkWaitsForTheEndOfASlowdown(t *testing.T) {
	const ms = time.Millisecond
	now := time.Now()
	slowdownFor := func(left time.Duration) sampler.Slowdown {
		return sampler.Slowdown{SlownessPercent: 500, End: now.Add(left)}
	}
	for name, tc := range map[string]struct {
		slowdown     sampler.Slowdown
		work         time.Duration
		wait, finish time.Duration
	}{
		"not slowed":                      {sampler.Slowdown{SlownessPercent: 100, End: now.Add(50 * ms)}, 90 * ms, 0, 90 * ms},
		"cold start continues afterwards": {sampler.Slowdown{SlownessPercent: 1000, SlownessAfterPercent: 200, End: now.Add(50 * ms)}, 90 * ms, 50 * ms, 230 * ms},
		"nearly as slow afterwards":       {sampler.Slowdown{SlownessPercent: 500, SlownessAfterPercent: 400, End: now.Add(100 * ms)}, 90 * ms, 0, 450 * ms},
		"near end":                        {slowdownFor(50 * ms), 90 * ms, 50 * ms, 140 * ms},
		"short work, distant end":         {slowdownFor(140 * ms), 20 * ms, 0, 100 * ms},
		"unknown end":                     {sampler.Slowdown{SlownessPercent: 500}, 90 * ms, 0, 450 * ms},
		"end in the past":                 {slowdownFor(-ms), 90 * ms, 0, 450 * ms},
		"unknown duration of work":        {slowdownFor(50 * ms), 0, 0, 0},
		"slightly slowed":                 {sampler.Slowdown{SlownessPercent: 120, End: now.Add(100 * ms)}, 90 * ms, 0, 108 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.slowdown.StartDelay(tc.work, now), tc.wait)
			assert.Equal(t, tc.slowdown.TimeToFinish(tc.work, now), tc.finish)
		})
	}
}
