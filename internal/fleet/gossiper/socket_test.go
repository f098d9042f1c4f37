package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// socketNode is a gossiper that uses real sockets.
type socketNode struct {
	*Gossiper
	courier *courier.Courier
	views   chan *registrar.View
}

// listenUDPAndTCP returns a UDP courier and a TCP listener at the same free address.
func listenUDPAndTCP(tb testing.TB) (*courier.Courier, net.Listener) {
	tb.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		address := netip.MustParseAddrPort(listener.Addr().String())
		c, err := courier.New(courier.Config{Address: address, Logger: zerolog.Nop(), Scope: tally.NoopScope})
		if err == nil {
			return c, listener
		}
		assert.NilError(tb, listener.Close())
	}
}

func startSocketNode(tb testing.TB, i int, seeds []netip.AddrPort) *socketNode {
	tb.Helper()
	c, listener := listenUDPAndTCP(tb)
	n := &socketNode{courier: c, views: make(chan *registrar.View, 1024)}
	n.Gossiper = New(Config{
		Instance: registrar.Spec{
			ID: fmt.Sprintf("node-%d", i), State: registrar.StateReady, Service: "vitrina", Owner: "oaxaca", HTTP: c.Address(), Peer: c.Address(),
		},
		Seeds: seeds, Transport: c, Client: NewClient(http.DefaultClient),
		OnView: func(v *registrar.View) { n.views <- v },
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(uint64(i), 1)),
	})
	mux := http.NewServeMux()
	mux.Handle(n.Handler())
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(listener) }()
	c.Start()
	n.Start()
	tb.Cleanup(func() {
		assert.Check(tb, n.Stop())
		assert.Check(tb, s.Close())
		assert.Check(tb, c.Stop())
	})
	return n
}

// awaitView waits for a view for which accept returns true.
func (n *socketNode) awaitView(accept func(*registrar.View) bool) {
	for v := range n.views {
		if accept(v) {
			return
		}
	}
}

func TestNodesDiscoverEachOtherOverSockets(t *testing.T) {
	const count = 20
	nodes := []*socketNode{startSocketNode(t, 0, nil)}
	seeds := []netip.AddrPort{nodes[0].courier.Address()}
	for i := 1; i < count; i++ {
		nodes = append(nodes, startSocketNode(t, i, seeds))
	}
	for _, n := range nodes {
		n.awaitView(func(v *registrar.View) bool { return v.Len() == count })
	}
	nodes[3].Leave(context.Background())
	for _, n := range nodes {
		n.awaitView(func(v *registrar.View) bool { return v.Instance("node-3").State() == registrar.StateLeft })
	}
}
