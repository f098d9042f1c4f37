package launcher

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
)

// datagramLatency is the time that a datagram takes.
const datagramLatency = 2 * time.Millisecond

// datagramNetwork connects the datagram transports of nodes. It may lose datagrams.
type datagramNetwork struct {
	mu       sync.Mutex
	random   *rand.Rand
	handlers map[netip.AddrPort]courier.Handler
	// loss is the share of datagrams that are lost.
	loss float64
	// cutOff holds the addresses that cannot reach others, nor be reached.
	cutOff map[netip.AddrPort]bool
	// sentBytes counts the bytes by sender.
	sentBytes map[netip.AddrPort]int
}

func newDatagramNetwork() *datagramNetwork {
	return &datagramNetwork{
		random:    rand.New(rand.NewPCG(1, 2)),
		handlers:  make(map[netip.AddrPort]courier.Handler),
		cutOff:    make(map[netip.AddrPort]bool),
		sentBytes: make(map[netip.AddrPort]int),
	}
}

// setCutOff cuts an address off, or ends that.
func (n *datagramNetwork) setCutOff(address netip.AddrPort, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[address] = cutOff
}

// setLoss sets the share of datagrams that are lost.
func (n *datagramNetwork) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// deliver passes a datagram on after its latency, unless it is lost.
func (n *datagramNetwork) deliver(from, to netip.AddrPort, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes[from] += len(payload) + courier.Overhead
	if n.cutOff[from] || n.cutOff[to] || n.random.Float64() < n.loss {
		return
	}
	payload = slices.Clone(payload)
	time.AfterFunc(datagramLatency, func() {
		n.mu.Lock()
		handler := n.handlers[to]
		n.mu.Unlock()
		if handler != nil {
			handler(from, payload)
		}
	})
}

// endpoint returns the transport of an address.
func (n *datagramNetwork) endpoint(address netip.AddrPort) datagramEndpoint {
	return datagramEndpoint{network: n, address: address}
}

// datagramEndpoint implements disseminator.Transport.
type datagramEndpoint struct {
	network *datagramNetwork
	address netip.AddrPort
}

// Handle implements disseminator.Transport.
func (e datagramEndpoint) Handle(_ courier.Kind, h courier.Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.address] = h
}

// Send implements disseminator.Transport.
func (e datagramEndpoint) Send(_ courier.Kind, to netip.AddrPort, payload []byte) error {
	e.network.deliver(e.address, to, payload)
	return nil
}
