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

func TestPoolFollowsFromMemory(t *testing.T) {
	assert.Equal(t, HeadBytes(128<<20), 16<<20)
	assert.Equal(t, HeadBytes(0), 64<<20)
}

// TestOrdinaryHeadsTakeNothing checks that heads of usual size are within the allowance of their connections.
func TestOrdinaryHeadsTakeNothing(t *testing.T) {
	assert.Assert(t, headCost(1000, 15) <= allowanceBytes)
}
