package gossiper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// TestGroupsWithDifferentSeedsMerge starts all nodes at the same time while each half
// reaches only one of the seeds, as after an outage in which the seeds recover one after
// the other. All nodes must know each other shortly after both seeds are reachable.
func TestGroupsWithDifferentSeedsMerge(t *testing.T) {
	// The users' platform considers a process connected 3 s after its start.
	const n, partitionDuration, bound = 14, 1500 * time.Millisecond, 3 * time.Second
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, seed)
			fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return from.index%2 != to.index%2 } })
			for range n {
				fl.add(registrar.StateReady)
			}
			time.Sleep(partitionDuration)
			known := fl.waitCount(0, fl.nodes, func(node *fakeNode) bool { return node.View().Len() == n })
			assert.Equal(t, known, 0, "seed %d: a node knew the other half during the partition", seed)
			fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
			fl.await("all nodes know each other", bound, fl.nodes, func(node *fakeNode) bool { return node.View().Len() == n })
		})
	}
}

// TestWholeFleetStarts starts all nodes of a fleet within 300 ms, as after a loss of
// power. Requests are refused while a node knows no instance of their service, so each
// node must know most of the fleet soon, and all of it within the time in which the
// users' platform considers a process connected.
func TestWholeFleetStarts(t *testing.T) {
	const n, startWindow, bound = 200, 300 * time.Millisecond, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1)
		for range n {
			fl.add(registrar.StateReady)
			time.Sleep(startWindow / n)
		}
		started := time.Now()
		half, all := time.Duration(0), time.Duration(0)
		for all == 0 && time.Since(started) < time.Minute {
			time.Sleep(20 * time.Millisecond)
			least := n
			for _, node := range fl.nodes {
				least = min(least, node.liveCount())
			}
			if half == 0 && least >= n/2 {
				half = time.Since(started)
			}
			if least == n {
				all = time.Since(started)
			}
		}
		t.Logf("each node knows half of %d members after %v and all after %v", n, half, all)
		assert.Assert(t, all <= bound)
		fl.assertBudget()
	})
}

// TestStartWithSeedThatDoesNotRespond starts a node whose first seed is gone. The node must
// join through the other one without waiting for the first.
func TestStartWithSeedThatDoesNotRespond(t *testing.T) {
	const bound = time.Second
	for seed := range uint64(8) {
		runFleet(t, 8, seed, func(fl *fleet) {
			fl.nodes[0].kill()
			started := time.Now()
			node := fl.add(registrar.StateReady)
			fl.await("the node knows another one", bound, []*fakeNode{node}, func(node *fakeNode) bool { return node.liveCount() > 1 })
			t.Logf("seed %d: joined after %v", seed, time.Since(started))
		})
	}
}
