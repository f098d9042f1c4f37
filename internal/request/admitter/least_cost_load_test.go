package admitter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const ms = time.Millisecond

// constant returns a rate that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// during returns a rate that is multiplied by factor in a period.
func during(rate, factor float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor * rate
		}
		return rate
	}
}

// The kinds of requests that the loads are made of. The rates are those that 36 slots bear if
// the class uses share of them.
func urgent(share float64) callers {
	return callers{name: "high", priority: compiler.PriorityHigh, work: 200 * ms, goal: 800 * ms, deadline: 5 * time.Second, rate: constant(share * 36 / 0.2)}
}

func ordinary(share float64) callers {
	return callers{name: "normal", priority: compiler.PriorityNormal, work: 270 * ms, goal: 800 * ms, deadline: 5 * time.Second, rate: constant(share * 36 / 0.27)}
}

func slack(share float64) callers {
	return callers{name: "low", priority: compiler.PriorityLow, work: 680 * ms, goal: 3 * time.Second, deadline: 12 * time.Second, rate: constant(share * 36 / 0.68)}
}

// compare plays a load with both decisions and logs what callers got.
func (l load) compare(t *testing.T) (before, after *played) {
	t.Helper()
	before, after = l.play(t, compiler.OverloadArrivalOrder), l.play(t, compiler.OverloadLeastCost)
	t.Log(before.table("arrival-order"), after.table("least-cost"))
	return before, after
}

func TestBurstOfOneClass(t *testing.T) {
	for name, uneven := range map[string]bool{"even": false, "uneven": true} {
		t.Run(name, func(t *testing.T) {
			share := 0.25
			burst := ordinary(share)
			burst.rate = during(burst.rate(0), 2.3*1.5, 5*time.Second, 15*time.Second)
			l := load{nodes: 4, slots: 9, length: 20 * time.Second, uneven: uneven, callers: []callers{urgent(0.15), burst, slack(0.15)}}
			before, after := l.compare(t)
			assert.Assert(t, after.total().credit() >= before.total().credit())
		})
	}
}

func TestWaves(t *testing.T) {
	wave := ordinary(1)
	mean := wave.rate(0)
	wave.rate = func(at time.Duration) float64 { return mean * (0.7 + 0.6*math.Sin(at.Seconds())) }
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{urgent(0.2), wave, slack(0.2)}}
	before, after := l.compare(t)
	assert.Assert(t, after.total().credit() >= before.total().credit())
}

func TestShortAndLongWork(t *testing.T) {
	long := callers{name: "long", priority: compiler.PriorityNormal, work: 680 * ms, goal: 1500 * ms, deadline: 8 * time.Second, rate: constant(0.8 * 36 / 0.68)}
	short := callers{name: "short", priority: compiler.PriorityNormal, work: 70 * ms, goal: 400 * ms, deadline: 3 * time.Second, rate: constant(0.7 * 36 / 0.07)}
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{long, short}}
	before, after := l.compare(t)
	assert.Assert(t, after.total().credit() >= before.total().credit())
}

func TestRetryStorm(t *testing.T) {
	storm := ordinary(1.2)
	storm.atOnce = true
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{urgent(0.2), storm, slack(0.2)}}
	before, after := l.compare(t)
	assert.Assert(t, after.total().credit() >= before.total().credit())
}

func TestBacklogAfterOutage(t *testing.T) {
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{urgent(0.25), ordinary(0.35), slack(0.2)}, down: func(at time.Duration) bool {
		return at >= 5*time.Second && at < 8*time.Second
	}}
	before, after := l.compare(t)
	assert.Assert(t, after.total().credit() >= before.total().credit())
}
