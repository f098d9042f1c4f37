package launcher

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestScarceMemoryIsCollectedSooner(t *testing.T) {
	assert.Equal(t, collectorPercent(0), usualCollectorPercent)
	assert.Equal(t, collectorPercent(scarceMemoryMB), usualCollectorPercent)
	assert.Equal(t, collectorPercent(scarceMemoryMB-1), scarceCollectorPercent)
}
