package launcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limitPeriod is a time in which an upstream advertised the same limit.
type limitPeriod struct {
	perSecond float64
	from, to  time.Time
}

// randomEvents changes an upstream and its node at random, between random times of load.
type randomEvents struct {
	random  *rand.Rand
	node    *Node
	u       *limitedUpstream
	started int64 // Start time of the current upstream in seconds.
	periods []limitPeriod
}

// next applies one event.
func (e *randomEvents) next(t *testing.T) {
	t.Helper()
	switch e.random.IntN(6) {
	case 0, 1:
		e.advertise(0.2 * float64(1+e.random.IntN(100)))
	case 2:
		e.advertise(0)
	case 3, 4:
		enrollAs(t, e.node, e.u, e.started)
	case 5:
		e.advertise(0)
		e.started++
		e.replace(t)
	}
}

// advertise makes the upstream advertise another limit, or none if it is 0.
func (e *randomEvents) advertise(perSecond float64) {
	now := time.Now()
	if n := len(e.periods); n > 0 {
		e.periods[n-1].to = now
	}
	e.periods = append(e.periods, limitPeriod{perSecond: perSecond, from: now})
	e.u.advertiseLimit(perSecond)
}

// replace replaces the upstream by one that has just started.
func (e *randomEvents) replace(t *testing.T) {
	t.Helper()
	if err := e.node.enroller.RecordHeartbeat(heartbeat(e.node, upstreamID(e.started), e.started, 1)); err != nil {
		t.Fatal(err)
	}
}

// assertLimitsHeld checks each period from when its limit had reached all nodes.
func (e *randomEvents) assertLimitsHeld(t *testing.T) {
	t.Helper()
	for _, p := range e.periods {
		if from, to := p.from.Add(limitSpread), p.to.Add(-limitWindow); p.perSecond > 0 && from.Before(to) {
			e.u.assertLimitHeld(t, p.perSecond, from, to)
		}
	}
}

// TestRateLimitHoldsUnderRandomEvents guards against an upstream that gets more than its limit after some series of restarts, replacements and changes.
func TestRateLimitHoldsUnderRandomEvents(t *testing.T) {
	const seeds, events = 50, 30
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
				e := &randomEvents{random: rand.New(rand.NewPCG(1, uint64(seed))), node: n, u: u, started: 1}
				entryNodes := make([]*entryNode, 1+e.random.IntN(24))
				for i := range entryNodes {
					entryNodes[i] = newEntryNode()
				}
				e.advertise(0)
				for range events {
					e.next(t)
					sendAll(t, n, entryNodes, time.Duration(1+e.random.IntN(6000))*time.Millisecond)
				}
				e.advertise(0)
				e.assertLimitsHeld(t)
			})
		})
	}
}
