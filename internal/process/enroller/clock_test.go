package enroller

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestClockSetBackHidesNoHeartbeat guards against an upstream that is given up since its start lies ahead of the clock now.
func TestClockSetBackHidesNoHeartbeat(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.9:8080")
	e := New(Config{Service: "vitrina", Address: address, OnChange: func(Change) {}, Log: zerolog.Nop()})
	startedAt := time.Now().Add(2 * time.Hour)
	e.current = incarnation{id: "i-1", startedAt: startedAt, sequence: 1}
	h := Heartbeat{ID: "i-1", StartedAt: startedAt, Sequence: 2, Service: "vitrina", Address: address, Slots: 9, Draining: true}
	assert.NilError(t, e.RecordHeartbeat(h))
	_, available := e.Current()
	assert.Assert(t, !available)
}
