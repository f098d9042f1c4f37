// Package switcher is a network of datagrams for tests in fake time. It delays, loses and doubles
// them, cuts links, and holds back what reaches a frozen process.
//
// # Usage
//
//	s := switcher.New(seed)
//	p := thing.New(thing.Config{Transport: s.Endpoint(address), ...})
//	s.SetLoss(0.1)
//	s.Isolate(address)
package switcher

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
)

const (
	// minLatency is the least time that a datagram takes, and meanJitter the mean of what comes
	// on top.
	minLatency = time.Millisecond
	meanJitter = 500 * time.Microsecond
)

// Switcher connects endpoints. All must be used in one synctest bubble.
type Switcher struct {
	mu        sync.Mutex // Guards the fields below.
	random    *rand.Rand
	loss      float64
	endpoints map[netip.AddrPort]*Endpoint
}

// Endpoint is the transport of one process.
type Endpoint struct {
	switcher *Switcher
	address  netip.AddrPort
	// The switcher's mutex guards the fields below.
	handlers  map[courier.Kind]courier.Handler
	side      int // Endpoints on different sides don't reach each other.
	frozen    bool
	held      []datagram // Reached the endpoint while it was frozen.
	sentBytes int
	received  int
}

type datagram struct {
	kind    courier.Kind
	from    netip.AddrPort
	payload []byte
}

// New returns a network without loss.
func New(seed uint64) *Switcher {
	return &Switcher{random: rand.New(rand.NewPCG(3, seed)), endpoints: make(map[netip.AddrPort]*Endpoint)}
}

// Endpoint returns the endpoint with an address.
func (s *Switcher) Endpoint(address netip.AddrPort) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[address]
	if e == nil {
		e = &Endpoint{switcher: s, address: address, handlers: make(map[courier.Kind]courier.Handler)}
		s.endpoints[address] = e
	}
	return e
}

// SetLoss sets the share of datagrams that are lost, and that of those that come twice.
func (s *Switcher) SetLoss(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = share
}

// SetSide moves an endpoint to a side of a cut. All start on side 0.
func (s *Switcher) SetSide(address netip.AddrPort, side int) {
	e := s.Endpoint(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.side = side
}

// Freeze holds back what reaches a process, and loses what it sends.
func (s *Switcher) Freeze(address netip.AddrPort) {
	e := s.Endpoint(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.frozen = true
}

// Wake ends Freeze and delivers what was held back.
func (s *Switcher) Wake(address netip.AddrPort) {
	e := s.Endpoint(address)
	s.mu.Lock()
	held := e.held
	e.frozen, e.held = false, nil
	s.mu.Unlock()
	for _, d := range held {
		s.deliver(address, d)
	}
}

// Handle sets the handler of a kind.
func (e *Endpoint) Handle(kind courier.Kind, h courier.Handler) {
	e.switcher.mu.Lock()
	defer e.switcher.mu.Unlock()
	e.handlers[kind] = h
}

// Send sends a datagram.
func (e *Endpoint) Send(kind courier.Kind, to netip.AddrPort, payload []byte) error {
	s := e.switcher
	s.mu.Lock()
	defer s.mu.Unlock()
	e.sentBytes += len(payload) + courier.Overhead
	receiver := s.endpoints[to]
	if e.frozen || receiver == nil || receiver.side != e.side || s.random.Float64() < s.loss {
		return nil
	}
	copies := 1
	if s.random.Float64() < s.loss {
		copies = 2
	}
	d := datagram{kind: kind, from: e.address, payload: slices.Clone(payload)}
	for range copies {
		latency := minLatency + time.Duration(s.random.ExpFloat64()*float64(meanJitter))
		time.AfterFunc(latency, func() { s.deliver(to, d) })
	}
	return nil
}

// SentBytes returns the bytes that the endpoint has sent.
func (e *Endpoint) SentBytes() int {
	e.switcher.mu.Lock()
	defer e.switcher.mu.Unlock()
	return e.sentBytes
}

// Received returns the number of datagrams that have reached the endpoint.
func (e *Endpoint) Received() int {
	e.switcher.mu.Lock()
	defer e.switcher.mu.Unlock()
	return e.received
}

func (s *Switcher) deliver(to netip.AddrPort, d datagram) {
	s.mu.Lock()
	e := s.endpoints[to]
	handler := e.handlers[d.kind]
	if e.frozen {
		e.held = append(e.held, d)
		handler = nil
	}
	if handler != nil {
		e.received++
	}
	s.mu.Unlock()
	if handler != nil {
		handler(d.from, d.payload)
	}
}
