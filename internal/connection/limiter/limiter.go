// Package limiter bounds what the clients of a process take of its memory and of its descriptors,
// however they behave. It limits the head of each request, all heads together, and the
// connections of each listener.
//
// # Usage
//
//	budget := limiter.NewBudget(memoryBytes, descriptors)
//	l := limiter.New(limiter.Config{
//		Heads:       budget.Heads(),
//		Connections: budget.Connections(weight, totalWeight),
//		Limits:      func() limiter.Limits { return limiter.DefaultLimits() },
//	})
//	srv := &http.Server{Handler: h, ConnState: l.Observe}
//	err := srv.Serve(l.Listen(socket))
//
// What a head costs once it is parsed depends on its lines more than on its bytes. Each
// connection has an allowance for ordinary heads. What a head costs beyond that comes from a
// pool that all listeners share; a head for which too little is left is refused.
//
// Handlers that read whole bodies are wrapped by Bodies.Handler, which bounds those together.
//
// If a listener has its maximum of connections, a new one takes the place of another: of one that
// is being closed or has sent no complete head, else of an idle one, else of one whose request body
// has been awaited for long. A connection whose request is complete keeps its place.
package limiter

import (
	"net"
	"net/http"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/telemetry/counter"
)

// Config holds the dependencies of a Limiter.
type Config struct {
	// Heads is the pool for heads beyond the allowance of their connections.
	Heads *Pool
	// Connections is the maximum number of connections.
	Connections int
	// Limits returns the limits of a head that apply now. It is called for heads that do not
	// arrive at once.
	Limits func() Limits
	// Scope receives the counters.
	Scope tally.Scope
}

// Limiter bounds the connections of one listener. It is safe for concurrent use.
type Limiter struct {
	cfg      Config
	roster   *roster
	refusals *counter.Counter
	rejected tally.Counter
}

// New returns a limiter without connections.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:      cfg,
		roster:   newRoster(cfg.Connections, cfg.Scope),
		refusals: counter.New(cfg.Scope, "heads_refused"),
		rejected: cfg.Scope.Counter("connections_rejected"),
	}
}

// Listen returns a listener that accepts the connections of l within the limits. Those must be of TCP.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

// Observe is the hook http.Server.ConnState. It must get connections of the listener.
func (l *Limiter) Observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.SetActive()
	case http.StateIdle:
		c.SetIdle()
	case http.StateHijacked:
		c.hijacked.Store(true)
	}
}

// MarshalZerologObject writes the number of connections by state: new ones have sent no whole
// head of a request, active ones have, and their response is not completely written. Connections
// that were taken over from the server are left out.
func (l *Limiter) MarshalZerologObject(e *zerolog.Event) {
	counts := l.roster.count()
	e.Int("new", counts[pending]).Int("active", counts[active]).Int("idle", counts[idle])
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. A connection for which there is no place is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err // Not wrapped: http.Server inspects its type.
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if c := newConn(tcp, l.limiter); l.limiter.roster.admit(c) {
			return c, nil
		}
		l.limiter.rejected.Inc(1)
		conn.Close()
	}
}
