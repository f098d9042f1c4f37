package enroller_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/enroller"
)

var address = netip.MustParseAddrPort("10.0.0.9:8080")

// startTime returns the start time of incarnation n.
func startTime(n int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(n)*1000) }

// heartbeat returns a heartbeat of incarnation n with the given id.
func heartbeat(id string, n int, sequence uint64, draining bool) enroller.Heartbeat {
	return enroller.Heartbeat{ID: id, StartedAt: startTime(n), Sequence: sequence, Service: "vitrina", Address: address, Slots: 6, Draining: draining}
}

func newEnroller() (*enroller.Enroller, *[]enroller.Change) {
	var changes []enroller.Change
	e := enroller.New(enroller.Config{
		Service: "vitrina", Address: address, Log: zerolog.Nop(),
		OnChange: func(c enroller.Change) { changes = append(changes, c) },
	})
	return e, &changes
}

func assertCurrent(t *testing.T, e *enroller.Enroller, id string, available bool) {
	t.Helper()
	gotID, gotAvailable := e.Current()
	assert.Equal(t, gotID, id)
	assert.Equal(t, gotAvailable, available)
}

func TestStaleHeartbeatsChangeNothing(t *testing.T) {
	e, _ := newEnroller()
	assertCurrent(t, e, "", false)
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-2", 2, 5, false)))
	for name, late := range map[string]enroller.Heartbeat{
		"of an earlier incarnation":   heartbeat("i-1", 1, 900, false),
		"lower sequence number":       heartbeat("i-2", 2, 4, true),
		"repeated sequence number":    heartbeat("i-2", 2, 5, true),
		"same start time, another id": heartbeat("i-3", 2, 6, false),
		"earlier start time, same id": heartbeat("i-2", 1, 9, true),
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, e.RecordHeartbeat(late), enroller.ErrStale)
			assertCurrent(t, e, "i-2", true)
		})
	}
}

func TestDrainingIsFinalForAnIncarnation(t *testing.T) {
	e, changes := newEnroller()
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 1, false)))
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 2, true)))
	assertCurrent(t, e, "i-1", false)
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 3, false)), "an incarnation that drained stays unavailable")
	assertCurrent(t, e, "i-1", false)
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 2, 1, false)), "a later incarnation with the same id")
	assertCurrent(t, e, "i-1", true)
	assert.Equal(t, len(*changes), 3)
}

func TestDeregisteredIncarnationStaysUnavailable(t *testing.T) {
	e, _ := newEnroller()
	e.Deregister("i-1", startTime(1)) // Before any heartbeat, after a restart of the node.
	assertCurrent(t, e, "i-1", false)
	assert.ErrorIs(t, e.RecordHeartbeat(heartbeat("i-1", 1, 7, false)), enroller.ErrStale)
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-2", 2, 1, false)))
	e.Deregister("i-1", startTime(1))
	assertCurrent(t, e, "i-2", true)
	e.Deregister("i-2", startTime(2))
	assertCurrent(t, e, "i-2", false)
}

func TestIdentifyAppliesOnlyToAnUnknownUpstream(t *testing.T) {
	e, changes := newEnroller()
	e.Identify("i-1")
	assertCurrent(t, e, "i-1", true)
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 30, false)))
	assertCurrent(t, e, "i-1", true)
	e.Deregister("i-1", startTime(1))
	e.Identify("i-1")
	assertCurrent(t, e, "i-1", false)
	assert.Equal(t, (*changes)[1].Slots, 6)
}

func TestHeartbeatsOfAnotherUpstreamAreRejected(t *testing.T) {
	e, changes := newEnroller()
	h := heartbeat("i-1", 1, 1, false)
	h.Service = "almacen"
	assert.ErrorIs(t, e.RecordHeartbeat(h), enroller.ErrOtherUpstream)
	h = heartbeat("i-1", 1, 1, false)
	h.Address = netip.MustParseAddrPort("10.0.0.8:8080")
	assert.ErrorIs(t, e.RecordHeartbeat(h), enroller.ErrOtherUpstream)
	assert.Equal(t, len(*changes), 0)
}

// TestLateDeregistrationDoesNotEndALaterStart guards against a deregistration that arrives late and ends the upstream that has started again under the same id.
func TestLateDeregistrationDoesNotEndALaterStart(t *testing.T) {
	e, _ := newEnroller()
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 2, 1, false)))
	e.Deregister("i-1", startTime(1))
	assertCurrent(t, e, "i-1", true)
	assert.Assert(t, e.Ended("i-1", startTime(1)))
	assert.Assert(t, !e.Ended("i-1", startTime(2)))
	e.Deregister("i-1", time.Time{})
	assertCurrent(t, e, "i-1", false)
	assert.Assert(t, e.Ended("i-1", startTime(2)))
}

func TestHeldUpstreamIsUnavailable(t *testing.T) {
	e, changes := newEnroller()
	e.Hold()
	assert.NilError(t, e.RecordHeartbeat(heartbeat("i-1", 1, 1, false)))
	assertCurrent(t, e, "i-1", false)
	e.Release()
	assertCurrent(t, e, "i-1", true)
	assert.Equal(t, len(*changes), 2)
	assert.Assert(t, !(*changes)[0].Available && (*changes)[1].Available)
	e.Hold()
	e.Deregister("i-1", startTime(1))
	e.Release()
	assertCurrent(t, e, "i-1", false)
}
