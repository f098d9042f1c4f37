package gossiper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	spreadBound = 5 * time.Second  // For an announcement to reach all nodes.
	failBound   = 15 * time.Second // For all nodes to show a crashed node as failed.
)

func TestJoinAndLeave(t *testing.T) {
	runFleet(t, 10, 1, func(fl *fleet) {
		node := fl.add(registrar.StateWarming)
		fl.awaitState(fl.nodes, node, spreadBound, registrar.StateWarming)
		node.Announce(registrar.StateReady)
		fl.awaitState(fl.nodes, node, spreadBound, registrar.StateReady)
		node.Announce(registrar.StateLeaving)
		fl.awaitState(fl.nodes, node, spreadBound, registrar.StateLeaving)
		node.Leave(context.Background())
		node.kill()
		fl.awaitState(fl.allExcept(node), node, spreadBound, registrar.StateLeft)
		time.Sleep(leftRetention + time.Minute)
		fl.awaitState(fl.allExcept(node), node, 0, 0)
		fl.assertNoViolations()
	})
}

func TestSimultaneousStart(t *testing.T) {
	const n = 150
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 17)
		for range n {
			fl.add(registrar.StateReady)
		}
		fl.await("all nodes know each other", 15*time.Second, fl.nodes, func(node *fakeNode) bool { return node.liveCount() == n })
		time.Sleep(probeSuspensionTimeout)
		for _, node := range fl.nodes {
			node.mu.Lock()
			assert.Check(t, !node.exchange.joining, "node-%d", node.index)
			node.mu.Unlock()
		}
		fl.assertNoViolations()
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
		fl.assertNoViolations()
	})
}

func TestQuickRestartIsNotAFailure(t *testing.T) {
	runFleet(t, 10, 3, func(fl *fleet) {
		node := fl.nodes[3]
		node.kill()
		time.Sleep(500 * time.Millisecond)
		node.start(registrar.StateReady)
		for range 20 {
			time.Sleep(time.Second)
			for _, other := range fl.nodes {
				assert.Assert(t, other.state(node) != registrar.StateFailed)
			}
		}
		fl.awaitState(fl.nodes, node, 0, registrar.StateReady)
	})
}

// TestInstanceExceedsIncarnationKnownToFleet covers a fleet that knows a higher
// incarnation of an instance than the instance announces, as after a restart with the
// clock set back.
func TestInstanceExceedsIncarnationKnownToFleet(t *testing.T) {
	runFleet(t, 5, 4, func(fl *fleet) {
		node := fl.nodes[3]
		higher := encodeRecord(node.self)
		higher.Incarnation += uint64(time.Hour.Milliseconds())
		fl.nodes[1].mu.Lock()
		fl.nodes[1].apply(higher, time.Now())
		fl.nodes[1].mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, node.Self().Incarnation(), higher.GetIncarnation()+1)
		fl.awaitState(fl.nodes, node, 0, registrar.StateReady)
	})
}

// TestFrozenNodeSpreadsNoStaleSuspicions freezes a node that suspects another, which
// refutes meanwhile. The frozen node must not make any other node refute afterwards.
func TestFrozenNodeSpreadsNoStaleSuspicions(t *testing.T) {
	runFleet(t, 10, 5, func(fl *fleet) {
		node := fl.nodes[7]
		node.mu.Lock()
		node.suspect(node.table.members["node-2"], "node-3", time.Now()) // Refuted while the node is frozen.
		node.queue.retainOnly("")
		node.mu.Unlock()
		node.freeze(60 * time.Second)
		fl.awaitState(fl.nodes, node, spreadBound, registrar.StateReady)
		time.Sleep(30 * time.Second)
		for _, other := range fl.allExcept(node, fl.nodes[2]) {
			assert.Equal(t, other.Self().Sequence(), uint64(1), "node-%d refuted", other.index)
		}
		assert.Equal(t, len(node.falseFailures), 0)
		fl.assertBudget()
	})
}

func TestFrozenNodeSuspectsNoMemberBeforeResync(t *testing.T) {
	runFleet(t, 10, 6, func(fl *fleet) {
		node := fl.nodes[7]
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return (from == node) != (to == node) } })
		node.freeze(10 * time.Second)
		time.Sleep(resyncTimeout - time.Second)
		for _, other := range fl.allExcept(node) {
			assert.Equal(t, node.state(other), registrar.StateReady)
		}
	})
}

func TestMemberIsProbedOnceAtATime(t *testing.T) {
	runFleet(t, 10, 16, func(fl *fleet) {
		isolated := func(node *fakeNode) bool { return node.index >= 6 }
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return isolated(from) != isolated(to) } })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, node := range fl.nodes {
				probed := make(map[string]int)
				node.mu.Lock()
				for _, p := range node.detector.probes {
					probed[p.id]++
				}
				node.mu.Unlock()
				for id, n := range probed {
					assert.Equal(t, n, 1, "pings in flight from node-%d to %s", node.index, id)
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
		node := fl.nodes[7]
		fl.withLock(func() { fl.blocked = func(_, to *fakeNode) bool { return to == node } })
		fl.awaitState(fl.allExcept(node), node, 30*time.Second, registrar.StateFailed)
		time.Sleep(spreadBound)
		before := make(map[*fakeNode]uint64)
		for _, other := range fl.allExcept(node) {
			before[other] = other.Self().Sequence()
		}
		time.Sleep(2 * time.Minute)
		for _, other := range fl.allExcept(node) {
			assert.Equal(t, other.Self().Sequence(), before[other], "node-%d refuted", other.index)
		}
	})
}

func TestPartitionHealsWithinBudget(t *testing.T) {
	runFleet(t, 20, 7, func(fl *fleet) {
		even := func(node *fakeNode) bool { return node.index%2 == 0 }
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return even(from) != even(to) } })
		for _, node := range fl.nodes {
			node.mu.Lock()
			node.cfg.Seeds = nil // Pings to failed members alone must merge the sides.
			node.mu.Unlock()
			for _, other := range fl.nodes {
				if even(node) != even(other) {
					fl.awaitState([]*fakeNode{node}, other, 60*time.Second, registrar.StateFailed)
				}
			}
		}
		time.Sleep(5 * time.Minute)
		fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
		for _, other := range fl.nodes {
			fl.awaitState(fl.nodes, other, time.Minute, registrar.StateReady)
		}
		fl.assertBudget()
	})
}

func TestPartitionLongerThanFailedRetentionHeals(t *testing.T) {
	runFleet(t, 6, 8, func(fl *fleet) {
		even := func(node *fakeNode) bool { return node.index%2 == 0 }
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return even(from) != even(to) } })
		time.Sleep(failedRetention + 5*time.Minute)
		assert.Equal(t, fl.nodes[0].View().Len(), 3)
		fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
		for _, other := range fl.nodes {
			fl.awaitState(fl.nodes, other, 2*time.Minute, registrar.StateReady)
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
				fl.assertNoViolations()
			})
		})
	}
}

func TestStaleUpdateDoesNotRestoreExpiredMember(t *testing.T) {
	runFleet(t, 5, 10, func(fl *fleet) {
		node := fl.nodes[4]
		stale := encodeRecord(node.self)
		node.kill()
		rest := fl.allExcept(node)
		time.Sleep(failedRetention + 2*time.Minute)
		fl.awaitState(rest, node, 0, 0)
		rest[1].mu.Lock()
		rest[1].apply(stale, time.Now())
		rest[1].mu.Unlock()
		time.Sleep(time.Minute)
		fl.awaitState(rest, node, 0, 0)
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
		node := fl.nodes[2]
		const nonce = 7
		probing := func() bool {
			node.mu.Lock()
			defer node.mu.Unlock()
			return node.detector.probes[nonce] != nil
		}
		for _, id := range []string{"node-3", "node-at-another-address"} {
			node.mu.Lock()
			p := &probe{id: id, address: fl.nodes[3].peer, sent: time.Now(), deadline: time.Now().Add(time.Second), indirect: true}
			node.detector.probes[nonce] = p
			node.probeOverTCP(nonce, p, time.Now())
			node.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, probing(), id != "node-3")
		}
	})
}

func TestPingIsRetransmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 20)
		node, other := fl.add(registrar.StateReady), fl.add(registrar.StateReady)
		fl.awaitAll(2)
		other.kill()
		node.kill()
		_, messages := fl.traffic(func() {
			start := time.Now()
			node.probe(node.table.members["node-1"], start)
			for time.Since(start) < node.health.ackTimeout()-tickInterval {
				time.Sleep(tickInterval)
				node.advanceProbes(time.Now())
			}
		})
		assert.Equal(t, messages*2*(node.health.ackTimeout()-tickInterval).Seconds(), 2.0)
	})
}

func TestReportedFailureIgnoresHealthScore(t *testing.T) {
	node := newFleet(t, 18).add(registrar.StateReady)
	node.kill()
	node.health.score = maxHealthScore
	shortest := suspicionMultiplier * probePeriod
	assert.Equal(t, node.suspicionTimeout(&suspicion{failureReported: true}), shortest)
	assert.Assert(t, node.suspicionTimeout(&suspicion{}) > maxHealthScore*shortest)
}

func TestReportUnreachableSpeedsUpDetection(t *testing.T) {
	runFleet(t, 30, 11, func(fl *fleet) {
		node := fl.nodes[20]
		node.kill()
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
			for _, node := range fl.nodes[5:35] {
				node.kill()
			}
			time.Sleep(time.Duration(round) * time.Second)
			for _, node := range fl.nodes[5:35] {
				node.start(registrar.StateReady)
			}
			for range 100 {
				for _, node := range fl.nodes {
					node.ReportUnreachable("node-6")
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		fl.assertBudget()
		fl.withLock(func() { fl.loss = 0 })
		fl.await("all nodes restarted", time.Minute, fl.nodes, func(node *fakeNode) bool {
			return node.liveCount() == len(fl.nodes)
		})
	})
}

func TestVersionSpreadsAndNeverReverts(t *testing.T) {
	runFleet(t, 20, 13, func(fl *fleet) {
		fl.withLock(func() { fl.loss = 0.2 })
		for number := uint64(1); number <= 10; number++ {
			fl.nodes[number].SetVersion(&controlwire.VersionDigest{Number: number})
			fl.await("version", spreadBound, fl.nodes, func(node *fakeNode) bool { return node.versionNumber() == number })
			fl.nodes[3].SetVersion(&controlwire.VersionDigest{Number: number - 1})
			assert.Equal(t, fl.nodes[3].versionNumber(), number)
		}
	})
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x01, 0x4a, 0x02, 0x0a, 0x00})
	fl := newFleet(f, 14)
	node := fl.add(registrar.StateReady)
	f.Fuzz(func(t *testing.T, payload []byte) {
		fl.t = t
		node.receive(node.peer, payload)
		req := &gossipwire.CompareRequest{}
		if proto.Unmarshal(payload, req) == nil {
			_, _ = node.ServeCompare(req)
		}
		assert.Assert(t, node.View().Instance("node-0").State() == registrar.StateReady)
	})
}

// TestLeaveEndsWithItsContext checks that a node whose announcement cannot be sent stops
// waiting when its time is over.
func TestLeaveEndsWithItsContext(t *testing.T) {
	const bound = 300 * time.Millisecond
	runFleet(t, 4, 3, func(fl *fleet) {
		node := fl.nodes[3]
		node.mu.Lock()
		node.budget.tokens = -10 * DefaultBytesPerSecond // Nothing can be sent for some seconds.
		node.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		start := time.Now()
		node.Leave(ctx)
		assert.Equal(t, time.Since(start), bound)
	})
}
