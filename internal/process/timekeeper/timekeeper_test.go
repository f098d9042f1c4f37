package timekeeper_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/timekeeper"
)

func TestTimeNeverGoesBack(t *testing.T) {
	last := timekeeper.Now()
	assert.Assert(t, last > 0)
	for range 1000 {
		now := timekeeper.Now()
		assert.Assert(t, now >= last)
		last = now
	}
}
