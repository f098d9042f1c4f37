package admitter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	ms = time.Millisecond
	// noLess is the factor by which equal decisions may differ, since goroutines that wake at
	// the same moment run in any order.
	noLess = 0.99
)

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

// compare plays a load with both decisions, logs what callers got, and checks that least cost
// gives them no less, neither all nor those of high priority.
func (l load) compare(t *testing.T) (before, after *played) {
	t.Helper()
	before, after = l.play(t, compiler.OverloadArrivalOrder), l.play(t, compiler.OverloadLeastCost)
	t.Log(before.table("arrival-order"), after.table("least-cost"))
	assert.Assert(t, after.total().credit() >= noLess*before.total().credit())
	if high := before.byCallers["high"]; high != nil {
		assert.Assert(t, after.byCallers["high"].credit() >= noLess*high.credit())
	}
	return before, after
}

// TestBurstOfOneClass plays a burst of one kind of request, at upstreams whose speed is even and
// at such that others slow for parts of a second.
func TestBurstOfOneClass(t *testing.T) {
	for name, uneven := range map[string]bool{"even": false, "uneven": true} {
		t.Run(name, func(t *testing.T) {
			burst := ordinary(0.45)
			burst.rate = during(burst.rate(0), 2.3, 5*time.Second, 15*time.Second)
			l := load{nodes: 4, slots: 9, length: 20 * time.Second, uneven: uneven, callers: []callers{urgent(0.15), burst, slack(0.15)}}
			l.compare(t)
		})
	}
}

// TestWaves plays a demand that rises above capacity and falls below it every six seconds.
func TestWaves(t *testing.T) {
	wave := ordinary(1)
	mean := wave.rate(0)
	wave.rate = func(at time.Duration) float64 { return mean * (0.7 + 0.6*math.Sin(at.Seconds())) }
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{urgent(0.2), wave, slack(0.2)}}
	l.compare(t)
}

// TestShortAndLongWork plays one and a half times the capacity of one priority, in which most
// requests need little work.
func TestShortAndLongWork(t *testing.T) {
	long := callers{name: "long", priority: compiler.PriorityNormal, work: 680 * ms, goal: 1500 * ms, deadline: 8 * time.Second, rate: constant(0.8 * 36 / 0.68)}
	short := callers{name: "short", priority: compiler.PriorityNormal, work: 70 * ms, goal: 400 * ms, deadline: 3 * time.Second, rate: constant(0.7 * 36 / 0.07)}
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{long, short}}
	l.compare(t)
}

// TestRetryStorm plays callers who repeat refused requests at once and often.
func TestRetryStorm(t *testing.T) {
	storm := ordinary(1.2)
	storm.atOnce = true
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{urgent(0.2), storm, slack(0.2)}}
	l.compare(t)
}

// TestBacklogAfterOutage plays an outage of all upstreams, after which the callers of
// that time come back.
func TestBacklogAfterOutage(t *testing.T) {
	l := load{nodes: 4, slots: 9, length: 20 * time.Second, callers: []callers{urgent(0.3), ordinary(0.4), slack(0.25)}, down: func(at time.Duration) bool {
		return at >= 5*time.Second && at < 8*time.Second
	}}
	l.compare(t)
}

// TestGoodputReturnsAfterTrigger plays three times the usual load for three seconds, with callers
// who repeat at once, and checks that the load does not keep the nodes overloaded once that is
// over: nothing of it is left after the deadline.
func TestGoodputReturnsAfterTrigger(t *testing.T) {
	const triggerEnd = 8 * time.Second
	c := ordinary(0.8)
	c.atOnce = true
	c.rate = during(c.rate(0), 3, 5*time.Second, triggerEnd)
	l := load{nodes: 4, slots: 9, length: 25 * time.Second, callers: []callers{c}}
	before, after := l.compare(t)
	t.Logf("seconds after the trigger until goodput is back: %d in arrival order, %d at least cost",
		before.recovery(triggerEnd), after.recovery(triggerEnd))
	assert.Assert(t, time.Duration(after.recovery(triggerEnd))*time.Second <= c.deadline)
}

// recovery returns how many seconds after the given time less than nine tenths of the requests
// were last answered in time.
func (p *played) recovery(from time.Duration) int {
	last := 0
	for second := int(from / time.Second); second < len(p.bySecond); second++ {
		if n := p.bySecond[second]; 10*n.inTime < 9*n.sent {
			last = second + 1 - int(from/time.Second)
		}
	}
	return last
}
