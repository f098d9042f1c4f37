package limiter

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPoolIsShared(t *testing.T) {
	p := NewPool(100)
	assert.Assert(t, p.resize(0, 60))
	assert.Assert(t, !p.resize(0, 50), "more than is left")
	assert.Assert(t, p.resize(0, 40))
	assert.Assert(t, p.resize(60, 20))
	assert.Assert(t, p.resize(0, 40))
	assert.Assert(t, p.resize(20, 0) && p.resize(40, 0) && p.resize(40, 0))
	assert.Equal(t, p.used, 0)
}

// TestSingleHeadMayExceedThePool checks that a process with little memory serves a large head in calm.
func TestSingleHeadMayExceedThePool(t *testing.T) {
	p := NewPool(100)
	assert.Assert(t, p.resize(0, 90))
	assert.Assert(t, p.resize(90, 300))
	assert.Assert(t, !p.resize(0, 1))
	assert.Assert(t, p.resize(300, 250), "what is held may shrink")
}

func TestBudgetFollowsFromMemoryAndDescriptors(t *testing.T) {
	for name, tc := range map[string]struct{ memory, descriptors, connections int }{
		"memory":         {128 << 20, 1 << 20, 1024},
		"descriptors":    {1 << 30, 350, 175},
		"unknown memory": {0, 1 << 20, 4096},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(tc.memory, tc.descriptors)
			assert.Equal(t, b.Connections(1, 1), tc.connections)
			assert.Equal(t, b.Connections(1, 5), tc.connections/5)
		})
	}
	assert.Equal(t, NewBudget(1<<20, 10).Connections(1, 10), minConnections)
}

// TestOrdinaryHeadsTakeNothing checks that heads of usual size are within the allowance of their connections.
func TestOrdinaryHeadsTakeNothing(t *testing.T) {
	assert.Assert(t, headCost(1000, 15) <= allowanceBytes)
}
