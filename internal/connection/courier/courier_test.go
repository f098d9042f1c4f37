package courier

import (
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func startCourier(t *testing.T) *Courier {
	t.Helper()
	c, err := New(Config{Address: loopback, Logger: zerolog.Nop(), Scope: tally.NoopScope})
	assert.NilError(t, err)
	c.Start()
	t.Cleanup(func() { assert.NilError(t, c.Stop()) })
	return c
}

func TestSendReachesHandlerOfKind(t *testing.T) {
	a, b := startCourier(t), startCourier(t)
	probes := make(chan string, 1)
	responses := make(chan string, 1)
	b.Handle(KindProbe, func(from netip.AddrPort, payload []byte) {
		probes <- string(payload)
		assert.Check(t, b.Send(KindProbeResponse, from, []byte("load")))
	})
	a.Handle(KindProbeResponse, func(_ netip.AddrPort, payload []byte) { responses <- string(payload) })
	assert.NilError(t, a.Send(KindGossip, b.Address(), []byte("without a handler")))
	assert.NilError(t, a.Send(KindProbe, b.Address(), []byte("load request")))
	assert.Equal(t, <-probes, "load request")
	assert.Equal(t, <-responses, "load")
}

func TestSendRejectsOversizePayload(t *testing.T) {
	a := startCourier(t)
	assert.ErrorIs(t, a.Send(KindGossip, a.Address(), make([]byte, MaxPayload+1)), ErrTooLarge)
}

// TestPanickingHandlerDoesNotEndProcess guards against one datagram that ends each process that receives it.
func TestPanickingHandlerDoesNotEndProcess(t *testing.T) {
	a, b := startCourier(t), startCourier(t)
	received := make(chan string, 2)
	b.Handle(KindGossip, func(_ netip.AddrPort, payload []byte) {
		received <- string(payload)
		if string(payload) == "panic" {
			panic("cannot handle this")
		}
	})
	for _, payload := range []string{"panic", "gossip"} {
		assert.NilError(t, a.Send(KindGossip, b.Address(), []byte(payload)))
		assert.Equal(t, <-received, payload)
	}
}

// FuzzDispatch checks that no datagram makes dispatch panic, and that a handler receives
// the payload without the kind.
func FuzzDispatch(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{byte(KindGossip), 1, 2})
	f.Add([]byte{255})
	f.Add(make([]byte, MaxPayload+2))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		c := &Courier{unknown: tally.NoopScope.Counter(""), oversize: tally.NoopScope.Counter("")}
		c.Handle(KindGossip, func(_ netip.AddrPort, payload []byte) { assert.Equal(t, len(payload), len(datagram)-1) })
		c.dispatch(loopback, datagram)
	})
}
