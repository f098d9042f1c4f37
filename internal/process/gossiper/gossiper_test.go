package gossiper

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	spreadBound = 5 * time.Second  // For an announcement to reach all nodes.
	failBound   = 15 * time.Second // For all nodes to show a crashed node as failed.
)

func TestJoinAndLeave(t *testing.T) {
	runFleet(t, 10, 1, func(fl *fleet) {
		x := fl.add(registrar.StateWarming)
		fl.awaitState(fl.nodes, x, spreadBound, registrar.StateWarming)
		x.Announce(registrar.StateReady)
		fl.awaitState(fl.nodes, x, spreadBound, registrar.StateReady)
		x.Announce(registrar.StateLeaving)
		fl.awaitState(fl.nodes, x, spreadBound, registrar.StateLeaving)
		x.Leave()
		x.kill()
		fl.awaitState(fl.allExcept(x), x, spreadBound, registrar.StateLeft)
		time.Sleep(leftRetention + time.Minute)
		fl.awaitState(fl.allExcept(x), x, 0, 0)
		fl.assertHealthy()
	})
}

func TestSimultaneousStart(t *testing.T) {
	const n = 150
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 17)
		for range n {
			fl.add(registrar.StateReady)
		}
		fl.await("all nodes know each other", 15*time.Second, fl.nodes, func(x *fakeNode) bool { return x.liveCount() == n })
		time.Sleep(probeSuspensionTimeout)
		for _, x := range fl.nodes {
			x.mu.Lock()
			assert.Check(t, !x.exchange.joining, "node-%d", x.index)
			x.mu.Unlock()
		}
		fl.assertHealthy()
	})
}

func TestTwoSimultaneousCrashesAndRestart(t *testing.T) {
	runFleet(t, 10, 2, func(fl *fleet) {
		a, b := fl.nodes[4], fl.nodes[5]
		a.kill()
		b.kill()
		rest := fl.allExcept(a, b)
		fl.awaitState(rest, a, failBound, registrar.StateFailed)
		fl.awaitState(rest, b, failBound, registrar.StateFailed)
		first := a.Self().Incarnation()
		a.start(registrar.StateWarming)
		fl.awaitState(fl.allExcept(b), a, spreadBound, registrar.StateWarming)
		assert.Assert(t, a.Self().Incarnation() > first)
		fl.assertHealthy()
	})
}

func TestQuickRestartIsNotAFailure(t *testing.T) {
	runFleet(t, 10, 3, func(fl *fleet) {
		x := fl.nodes[3]
		x.kill()
		time.Sleep(500 * time.Millisecond)
		x.start(registrar.StateReady)
		for range 20 {
			time.Sleep(time.Second)
			for _, o := range fl.nodes {
				assert.Assert(t, o.state(x) != registrar.StateFailed)
			}
		}
		fl.awaitState(fl.nodes, x, 0, registrar.StateReady)
	})
}

// TestInstanceExceedsHigherIncarnationOfItself covers a fleet that knows a higher
// incarnation of an instance than it announces, as after a restart with the clock set back.
func TestInstanceExceedsHigherIncarnationOfItself(t *testing.T) {
	runFleet(t, 5, 4, func(fl *fleet) {
		x := fl.nodes[3]
		ahead := encodeRecord(x.self)
		ahead.Incarnation += uint64(time.Hour.Milliseconds())
		fl.nodes[1].mu.Lock()
		fl.nodes[1].apply(ahead, time.Now())
		fl.nodes[1].mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, x.Self().Incarnation(), ahead.GetIncarnation()+1)
		fl.awaitState(fl.nodes, x, 0, registrar.StateReady)
	})
}

// TestFrozenNodeSpreadsNoStaleSuspicions freezes a node that suspects another, which
// refutes meanwhile. The frozen node must not make any other node refute afterwards.
func TestFrozenNodeSpreadsNoStaleSuspicions(t *testing.T) {
	runFleet(t, 10, 5, func(fl *fleet) {
		x := fl.nodes[7]
		x.mu.Lock()
		x.suspect(x.table.members["node-2"], "node-3", time.Now()) // Refuted while x is frozen.
		x.queue.retainOnly("")
		x.mu.Unlock()
		x.freeze(60 * time.Second)
		fl.awaitState(fl.nodes, x, spreadBound, registrar.StateReady)
		time.Sleep(30 * time.Second)
		for _, o := range fl.allExcept(x, fl.nodes[2]) {
			assert.Equal(t, o.Self().Sequence(), uint64(1), "node-%d refuted", o.index)
		}
		assert.Equal(t, len(x.falseFailures), 0)
		fl.assertBudget()
	})
}

func TestFrozenNodeSuspectsNobodyBeforeResync(t *testing.T) {
	runFleet(t, 10, 6, func(fl *fleet) {
		x := fl.nodes[7]
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return (from == x) != (to == x) } })
		x.freeze(10 * time.Second)
		time.Sleep(resyncTimeout - time.Second)
		for _, o := range fl.allExcept(x) {
			assert.Equal(t, x.state(o), registrar.StateReady)
		}
	})
}

func TestMemberIsProbedOnceAtATime(t *testing.T) {
	runFleet(t, 10, 16, func(fl *fleet) {
		isolated := func(x *fakeNode) bool { return x.index >= 6 }
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return isolated(from) != isolated(to) } })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, x := range fl.nodes {
				probed := make(map[string]int)
				x.mu.Lock()
				for _, p := range x.detector.probes {
					probed[p.id]++
				}
				x.mu.Unlock()
				for id, n := range probed {
					assert.Equal(t, n, 1, "pings in flight from node-%d to %s", x.index, id)
				}
			}
		}
	})
}

// TestUpdatesFromFailedSenderAreIgnored blocks all messages to a node, which then
// suspects all others. Once they consider it failed, its suspicions must not make them
// refute.
func TestUpdatesFromFailedSenderAreIgnored(t *testing.T) {
	runFleet(t, 10, 15, func(fl *fleet) {
		x := fl.nodes[7]
		fl.withLock(func() { fl.blocked = func(_, to *fakeNode) bool { return to == x } })
		fl.awaitState(fl.allExcept(x), x, 30*time.Second, registrar.StateFailed)
		time.Sleep(spreadBound)
		before := make(map[*fakeNode]uint64)
		for _, o := range fl.allExcept(x) {
			before[o] = o.Self().Sequence()
		}
		time.Sleep(2 * time.Minute)
		for _, o := range fl.allExcept(x) {
			assert.Equal(t, o.Self().Sequence(), before[o], "node-%d refuted", o.index)
		}
	})
}

func TestPartitionHealsWithinBudget(t *testing.T) {
	runFleet(t, 20, 7, func(fl *fleet) {
		side := func(x *fakeNode) bool { return x.index%2 == 0 }
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return side(from) != side(to) } })
		for _, x := range fl.nodes {
			x.mu.Lock()
			x.cfg.Seeds = nil // Pings to failed members alone must merge the sides.
			x.mu.Unlock()
			for _, o := range fl.nodes {
				if side(x) != side(o) {
					fl.awaitState([]*fakeNode{x}, o, 60*time.Second, registrar.StateFailed)
				}
			}
		}
		time.Sleep(5 * time.Minute)
		fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
		for _, o := range fl.nodes {
			fl.awaitState(fl.nodes, o, time.Minute, registrar.StateReady)
		}
		fl.assertBudget()
	})
}

func TestPartitionLongerThanFailedRetentionHeals(t *testing.T) {
	runFleet(t, 6, 8, func(fl *fleet) {
		side := func(x *fakeNode) bool { return x.index%2 == 0 }
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return side(from) != side(to) } })
		time.Sleep(failedRetention + 5*time.Minute)
		assert.Equal(t, fl.nodes[0].View().Len(), 3)
		fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
		for _, o := range fl.nodes {
			fl.awaitState(fl.nodes, o, 2*time.Minute, registrar.StateReady)
		}
	})
}

func TestNoFalseFailureUnderLossAndDelay(t *testing.T) {
	for name, impair := range map[string]func(*fleet){
		"loss":                 func(fl *fleet) { fl.loss = 0.2 },
		"delay":                func(fl *fleet) { fl.maxDelay = 700 * time.Millisecond },
		"loss and delay":       func(fl *fleet) { fl.loss, fl.maxDelay = 0.1, 500*time.Millisecond },
		"loss and duplication": func(fl *fleet) { fl.loss, fl.duplicate = 0.2, true },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 20, 9, func(fl *fleet) {
				fl.withLock(func() { impair(fl) })
				time.Sleep(10 * time.Minute)
				fl.assertHealthy()
			})
		})
	}
}

func TestStaleUpdateDoesNotRestoreExpiredMember(t *testing.T) {
	runFleet(t, 5, 10, func(fl *fleet) {
		x := fl.nodes[4]
		stale := encodeRecord(x.self)
		x.kill()
		rest := fl.allExcept(x)
		time.Sleep(failedRetention + 2*time.Minute)
		fl.awaitState(rest, x, 0, 0)
		rest[1].mu.Lock()
		rest[1].apply(stale, time.Now())
		rest[1].mu.Unlock()
		time.Sleep(time.Minute)
		fl.awaitState(rest, x, 0, 0)
	})
}

func TestSuspicionDoesNotMakeInstanceRoutable(t *testing.T) {
	for _, state := range []registrar.State{registrar.StateStarting, registrar.StateLeaving, registrar.StateLeft} {
		m := &member{spec: registrar.Spec{State: state}, status: statusSuspect}
		assert.Equal(t, m.state(), state)
	}
	m := &member{spec: registrar.Spec{State: registrar.StateReady}, status: statusSuspect}
	assert.Equal(t, m.state(), registrar.StateSuspect)
}

func TestResponseOverTCPCountsAsAck(t *testing.T) {
	runFleet(t, 5, 19, func(fl *fleet) {
		x := fl.nodes[2]
		const nonce = 7
		probing := func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.detector.probes[nonce] != nil
		}
		for _, id := range []string{"node-3", "node-of-another-address"} {
			x.mu.Lock()
			p := &probe{id: id, address: fl.nodes[3].peer, sent: time.Now(), deadline: time.Now().Add(time.Second), indirect: true}
			x.detector.probes[nonce] = p
			x.probeOverTCP(nonce, p, time.Now())
			x.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, probing(), id != "node-3")
		}
	})
}

func TestPingIsRetransmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 20)
		x, o := fl.add(registrar.StateReady), fl.add(registrar.StateReady)
		fl.awaitAll(2)
		o.kill()
		x.kill()
		_, messages := fl.traffic(func() {
			start := time.Now()
			x.probe(x.table.members["node-1"], start)
			for time.Since(start) < x.health.ackTimeout()-tickInterval {
				time.Sleep(tickInterval)
				x.expireProbes(time.Now())
			}
		})
		assert.Equal(t, messages*2*(x.health.ackTimeout()-tickInterval).Seconds(), 2.0)
	})
}

func TestReportedFailureIgnoresHealthScore(t *testing.T) {
	x := newFleet(t, 18).add(registrar.StateReady)
	x.kill()
	x.health.score = maxHealthScore
	shortest := suspicionMultiplier * probePeriod
	assert.Equal(t, x.suspicionTimeout(&suspicion{failureReported: true}), shortest)
	assert.Assert(t, x.suspicionTimeout(&suspicion{}) > maxHealthScore*shortest)
}

func TestReportUnreachableSpeedsUpDetection(t *testing.T) {
	runFleet(t, 30, 11, func(fl *fleet) {
		x := fl.nodes[20]
		x.kill()
		time.Sleep(time.Millisecond)
		fl.nodes[0].ReportUnreachable("node-20")
		time.Sleep(2500 * time.Millisecond)
		fl.nodes[0].mu.Lock()
		defer fl.nodes[0].mu.Unlock()
		s := fl.nodes[0].table.members["node-20"].suspicion
		assert.Assert(t, s != nil && s.accusers["node-0"], "%+v", s)
	})
}

func TestAckTimeoutFollowsRoundTripTime(t *testing.T) {
	h := &health{}
	assert.Equal(t, h.ackTimeout(), minAckTimeout)
	for range 50 {
		h.observeRTT(900 * time.Millisecond)
	}
	assert.Assert(t, h.ackTimeout() > 900*time.Millisecond && h.ackTimeout() <= maxAckTimeout)
	before := h.ackTimeout()
	h.worsen()
	assert.Assert(t, h.ackTimeout() > 1800*time.Millisecond)
	assert.Equal(t, h.relayTimeout(), before, "relayTimeout depends on the health score")
}

func TestBudgetHoldsUnderMassRestarts(t *testing.T) {
	runFleet(t, 40, 12, func(fl *fleet) {
		fl.withLock(func() { fl.loss = 0.3 })
		for round := range 10 {
			for _, x := range fl.nodes[5:35] {
				x.kill()
			}
			time.Sleep(time.Duration(round) * time.Second)
			for _, x := range fl.nodes[5:35] {
				x.start(registrar.StateReady)
			}
			for range 100 {
				for _, x := range fl.nodes {
					x.ReportUnreachable("node-6")
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		fl.assertBudget()
		fl.withLock(func() { fl.loss = 0 })
		fl.await("all nodes restarted", time.Minute, fl.nodes, func(x *fakeNode) bool {
			return x.liveCount() == len(fl.nodes)
		})
	})
}

func TestVersionSpreadsAndNeverReverts(t *testing.T) {
	runFleet(t, 20, 13, func(fl *fleet) {
		fl.withLock(func() { fl.loss = 0.2 })
		for number := uint64(1); number <= 10; number++ {
			fl.nodes[number].SetVersion(&controlwire.VersionDigest{Number: number})
			fl.await("version", spreadBound, fl.nodes, func(x *fakeNode) bool { return x.versionNumber() == number })
			fl.nodes[3].SetVersion(&controlwire.VersionDigest{Number: number - 1})
			assert.Equal(t, fl.nodes[3].versionNumber(), number)
		}
	})
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x01, 0x4a, 0x02, 0x0a, 0x00})
	fl := newFleet(f, 14)
	x := fl.add(registrar.StateReady)
	f.Fuzz(func(t *testing.T, payload []byte) {
		fl.t = t
		x.receive(x.peer, payload)
		req := &gossipwire.CompareRequest{}
		if proto.Unmarshal(payload, req) == nil {
			_, _ = x.ServeCompare(req)
		}
		assert.Assert(t, x.View().Instance("node-0").State() == registrar.StateReady)
	})
}
