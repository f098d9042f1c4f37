package launcher

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/limiter"
)

// testLimiter returns a limiter with the limits of a process whose settings name none.
func testLimiter() *limiter.Limiter {
	return newClientLimits(0, 0, tally.NoopScope, requestClients).limiter(requestClients, limiter.DefaultLimits)
}

func TestSetDescriptorsGoBeforeThoseOfTheSystem(t *testing.T) {
	assert.Equal(t, descriptors(350), 350)
	assert.Assert(t, descriptors(0) > 0)
}

func TestHeadOfAHopMayBeLarger(t *testing.T) {
	n := newTestNode(t, "vitrina-1", "vitrina", startUpstream(t, "vitrina-1"))
	assert.Assert(t, n.hopHeadLimits().Bytes > n.headLimits().Bytes)
	assert.Assert(t, n.hopHeadLimits().Lines > n.headLimits().Lines)
	assert.Equal(t, n.hopHeadLimits().Timeout, n.headLimits().Timeout)
}
