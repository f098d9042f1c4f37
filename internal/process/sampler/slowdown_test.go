package sampler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
)

// TestWorkWaitsForTheEndOfASlowdown checks when work is delayed to the end of a
// slowdown, since work that begins during it is slowed until it is done.
func TestWorkWaitsForTheEndOfASlowdown(t *testing.T) {
	const ms = time.Millisecond
	now := time.Now()
	slowdownFor := func(left time.Duration) sampler.Spell {
		return sampler.Spell{SlownessPercent: 500, Ends: now.Add(left)}
	}
	for name, tc := range map[string]struct {
		slowdown     sampler.Spell
		work         time.Duration
		wait, finish time.Duration
	}{
		"not slowed":                      {sampler.Spell{SlownessPercent: 100, Ends: now.Add(50 * ms)}, 90 * ms, 0, 90 * ms},
		"cold start continues afterwards": {sampler.Spell{SlownessPercent: 1000, AfterPercent: 200, Ends: now.Add(50 * ms)}, 90 * ms, 50 * ms, 230 * ms},
		"nearly as slow afterwards":       {sampler.Spell{SlownessPercent: 500, AfterPercent: 400, Ends: now.Add(100 * ms)}, 90 * ms, 0, 450 * ms},
		"near end":                        {slowdownFor(50 * ms), 90 * ms, 50 * ms, 140 * ms},
		"short work, distant end":         {slowdownFor(140 * ms), 20 * ms, 0, 100 * ms},
		"unknown end":                     {sampler.Spell{SlownessPercent: 500}, 90 * ms, 0, 450 * ms},
		"past end":                        {slowdownFor(-ms), 90 * ms, 0, 450 * ms},
		"unknown work":                    {slowdownFor(50 * ms), 0, 0, 0},
		"slightly slowed":                 {sampler.Spell{SlownessPercent: 120, Ends: now.Add(100 * ms)}, 90 * ms, 0, 108 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.slowdown.Wait(tc.work, now), tc.wait)
			assert.Equal(t, tc.slowdown.Finish(tc.work, now), tc.finish)
		})
	}
}
