package launcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

func TestRefusalsAreMeteredWhileAnotherInstanceIsIdle(t *testing.T) {
	for name, tc := range map[string]struct {
		state    registrar.State
		inFlight int
		age      time.Duration
		want     uint64
	}{
		"idle":    {registrar.StateReady, 5, 0, 1},
		"full":    {registrar.StateReady, 6, 0, 0},
		"leaving": {registrar.StateLeaving, 0, 0, 0},
		"stale":   {registrar.StateReady, 0, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "vitrina-1", "vitrina", freeAddress(t))
			other := n.instanceSpec()
			other.ID, other.State, other.Incarnation = "vitrina-2", tc.state, 1
			n.setView(registrar.NewView([]*registrar.Instance{readyInstance(n), registrar.NewInstance(other)}))
			load := sampler.NewLoad(sampler.LoadSpec{InFlight: tc.inFlight, Limit: 6, WarmPercent: 100})
			n.samplePool.Observe("vitrina-2", 1, load, time.Now().Add(-tc.age))
			n.recordCapacityRefusal()
			assert.Equal(t, n.meter.Counters(time.Now())[0].GetRefusedWhileIdle(), tc.want)
		})
	}
}
