package enroller_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/enroller"
)

// TestImplausibleHeartbeatHidesNoLaterOne guards against a heartbeat that poisons the order of those that follow.
func TestImplausibleHeartbeatHidesNoLaterOne(t *testing.T) {
	for name, change := range map[string]func(*enroller.Heartbeat){
		"no id":                  func(h *enroller.Heartbeat) { h.ID = "" },
		"greatest sequence":      func(h *enroller.Heartbeat) { h.Sequence = math.MaxUint64 },
		"starts in two minutes":  func(h *enroller.Heartbeat) { h.StartedAt = time.Now().Add(2 * time.Minute) },
		"started before 1970":    func(h *enroller.Heartbeat) { h.StartedAt = time.UnixMilli(math.MinInt64) },
		"no slots":               func(h *enroller.Heartbeat) { h.Slots = 0 },
		"most slots":             func(h *enroller.Heartbeat) { h.Slots = math.MaxInt },
		"longest cold start":     func(h *enroller.Heartbeat) { h.ColdRemaining = math.MaxInt64 },
		"overflowed cold start":  func(h *enroller.Heartbeat) { h.ColdRemaining = math.MinInt64 },
		"draining and in future": func(h *enroller.Heartbeat) { h.Draining, h.StartedAt = true, time.UnixMilli(math.MaxInt64) },
	} {
		t.Run(name, func(t *testing.T) {
			e, changes := newEnroller()
			assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 1, false)))
			odd := heartbeat("i-1", 1, 2, false)
			change(&odd)
			assert.ErrorIs(t, e.RecordHeartbeat(odd), enroller.ErrImplausible)
			assertCurrent(t, e, "i-1", true)
			assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 2, true)))
			assertCurrent(t, e, "i-1", false)
			assert.NilError(t, e.RecordHeartbeat(heartbeat("i-2", 2, 1, false)))
			assertCurrent(t, e, "i-2", true)
			assert.Equal(t, len(*changes), 3)
		})
	}
}
