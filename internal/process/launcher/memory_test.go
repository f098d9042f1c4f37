package launcher

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSoftLimitFollowsFromMemory(t *testing.T) {
	assert.Equal(t, softLimitBytes(0), int64(math.MaxInt64))
	assert.Assert(t, softLimitBytes(100) > 74<<20 && softLimitBytes(100) < 76<<20)
}

func TestScarceMemoryIsCollectedSooner(t *testing.T) {
	assert.Equal(t, collectorPercent(0), usualCollectorPercent)
	assert.Equal(t, collectorPercent(scarceMemoryMB), usualCollectorPercent)
	assert.Equal(t, collectorPercent(scarceMemoryMB-1), scarceCollectorPercent)
}
