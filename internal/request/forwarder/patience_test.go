package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaited checks what is taken for the time that a caller has waited already,
// by the time that it gives to its request.
func TestWaited(t *testing.T) {
	const ms = time.Millisecond
	now := time.Now()
	same := func(n int, left time.Duration) []time.Duration {
		given := make([]time.Duration, n)
		for i := range given {
			given[i] = left
		}
		return given
	}
	for name, tc := range map[string]struct {
		before []time.Duration
		left   time.Duration
		want   time.Duration
	}{
		"nothing is known":                 {nil, 2000 * ms, 0},
		"the first attempt":                {same(50, 2000*ms), 1995 * ms, 0},
		"a later attempt":                  {same(50, 2000*ms), 1400 * ms, 600 * ms},
		"callers wait longer than before":  {same(50, 1000*ms), 2000 * ms, 0},
		"callers that differ tell nothing": {append(same(1, 3000*ms), same(50, 2000*ms)...), 1400 * ms, 0},
		"few requests came, all in full":   {same(2, 2000*ms), 1400 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := &patience{}
			for _, left := range tc.before {
				p.waited(left, now)
			}
			assert.Equal(t, p.waited(tc.left, now), tc.want)
		})
	}
	t.Run("what was given long ago is forgotten", func(t *testing.T) {
		p := &patience{}
		for range 50 {
			p.waited(2000*ms, now)
		}
		assert.Equal(t, p.waited(1400*ms, now.Add(2*patiencePeriod)), time.Duration(0))
	})
}
