// Package courier owns the UDP socket of a process and multiplexes the protocols that
// share it.
//
// # Usage
//
//	c, err := courier.New(courier.Config{Address: addr, Logger: log, Scope: scope})
//	c.Handle(courier.KindProbe, func(from netip.AddrPort, payload []byte) { ... })
//	c.Start()
//	err = c.Send(courier.KindProbe, to, payload)
//	err = c.Stop()
//
// The first byte of each datagram is its kind; the rest is the payload. Handlers run
// on the goroutine that reads the socket, so they must not block, and they must not
// keep the payload after they return, since its buffer is reused. A datagram whose handler
// panics is dropped.
package courier

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/telemetry/recoverer"
)

// Kind is the first byte of a datagram. It selects the handler.
type Kind byte

const (
	// KindGossip marks a membership message.
	KindGossip Kind = iota + 1
	// KindProbe marks a load probe, which requests the load of an instance.
	KindProbe
	// KindProbeResponse marks the response to a load probe.
	KindProbeResponse
	// KindCrash marks a message about requests that were in flight when upstreams crashed.
	KindCrash
	// KindElection marks a message of an election among control instances.
	KindElection
	// KindQuotaAsk marks a message of a node to the instance that grants quotas.
	KindQuotaAsk
	// KindQuotaAnswer marks a message to a node about quotas.
	KindQuotaAnswer
	// KindDeparture marks a message of a node about the departure of its upstream.
	KindDeparture
	// KindDepartureAnswer marks the answer of a control instance to that.
	KindDepartureAnswer
)

const (
	kindCount = int(KindDepartureAnswer) + 1 // Includes the unused 0.
	// MaxPayload is the largest payload of a datagram, in bytes. It fits the path MTU
	// of common networks.
	MaxPayload = 1200
	// Overhead is how many bytes the IPv4 header, the UDP header and the kind add to a
	// payload.
	Overhead = 29
	// receiveBufferSize is the size of the socket's receive buffer, in bytes.
	receiveBufferSize = 1 << 20
	// panicLinesPerSecond limits the log lines about handlers that panicked.
	panicLinesPerSecond = 10
)

// ErrTooLarge is returned by Send for a payload of more than MaxPayload bytes.
var ErrTooLarge = errors.New("payload is too large for a datagram")

// Handler processes the payload of one datagram. It must neither block nor keep the
// payload.
type Handler func(from netip.AddrPort, payload []byte)

// Config lists what a Courier depends on.
type Config struct {
	// Address is the IP address and port to bind. Port 0 selects a free port.
	Address netip.AddrPort
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Courier sends and receives the datagrams of a process.
type Courier struct {
	conn     *net.UDPConn
	log      zerolog.Logger
	handlers [kindCount]atomic.Pointer[Handler]
	unknown  tally.Counter // Dropped datagrams that are empty or have no handler.
	oversize tally.Counter // Dropped datagrams that are too large.
	panics   tally.Counter // Dropped datagrams whose handlers panicked.
	panicLog *logger.Limiter
	tomb     tomb.Tomb
}

// New binds the socket. Datagrams are read after Start.
func New(cfg Config) (*Courier, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("bind UDP socket: %w", err)
	}
	if err := conn.SetReadBuffer(receiveBufferSize); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("set receive buffer: %w", err)
	}
	return &Courier{
		conn:     conn,
		log:      logger.Part(cfg.Logger, "courier"),
		unknown:  cfg.Scope.Counter("datagrams_unknown_kind"),
		oversize: cfg.Scope.Counter("datagrams_oversize"),
		panics:   cfg.Scope.Counter("datagrams_panicked"),
		panicLog: logger.NewLimiter(panicLinesPerSecond),
	}, nil
}

// Address returns the bound address.
func (c *Courier) Address() netip.AddrPort {
	return unmap(c.conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Handle sets the handler of a kind, and ignores kinds above the last one. It may be
// called at any time. Datagrams of a kind without a handler are dropped.
func (c *Courier) Handle(kind Kind, h Handler) {
	if int(kind) < kindCount {
		c.handlers[kind].Store(&h)
	}
}

// Send writes one datagram. It does not wait for the receiver.
func (c *Courier) Send(kind Kind, to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxPayload {
		return ErrTooLarge
	}
	buf := make([]byte, 0, len(payload)+1)
	buf = append(buf, byte(kind))
	buf = append(buf, payload...)
	if _, err := c.conn.WriteToUDPAddrPort(buf, to); err != nil {
		return fmt.Errorf("send datagram: %w", err)
	}
	return nil
}

// Start starts reading datagrams.
func (c *Courier) Start() { c.tomb.Go(c.readLoop) }

// Stop closes the socket and waits until the running handler has returned. It must not
// be called before Start.
func (c *Courier) Stop() error {
	c.tomb.Kill(nil)
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("close UDP socket: %w", err)
	}
	if err := c.tomb.Wait(); err != nil {
		return fmt.Errorf("stop courier: %w", err)
	}
	return nil
}

// readLoop dispatches datagrams until the socket is closed.
func (c *Courier) readLoop() error {
	// One byte for the kind, and one to detect oversize datagrams.
	buf := make([]byte, MaxPayload+2)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			c.log.Warn().Err(err).Msg("Failed to read from the UDP socket.")
			continue
		}
		c.dispatch(unmap(from), buf[:n])
	}
}

// dispatch passes the payload of a datagram to the handler of its kind.
func (c *Courier) dispatch(from netip.AddrPort, datagram []byte) {
	if len(datagram) > MaxPayload+1 {
		c.oversize.Inc(1)
		return
	}
	if len(datagram) == 0 || int(datagram[0]) >= kindCount {
		c.unknown.Inc(1)
		return
	}
	h := c.handlers[datagram[0]].Load()
	if h == nil {
		c.unknown.Inc(1)
		return
	}
	err := recoverer.Call(func() error {
		(*h)(from, datagram[1:])
		return nil
	})
	if err != nil {
		c.panics.Inc(1)
		c.panicLog.Limit(c.log.Error()).Err(err).Uint8("kind", datagram[0]).Stringer("from", from).Msg("Datagram dropped, its handler panicked.")
	}
}

// unmap returns a with an IPv4-mapped IPv6 address replaced by the IPv4 address.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
