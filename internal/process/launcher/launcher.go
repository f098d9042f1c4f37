// Package launcher assembles the parts of a node or control instance and runs it from its
// start to its planned stop.
//
// # Usage
//
//	n, err := launcher.NewNode(settings, os.Stderr)
//	err = n.Run(ctx) // until ctx ends, then a graceful stop
//
// At a planned stop a node announces that its instance is leaving, keeps serving while
// the announcement spreads, refuses new requests, waits for all requests in flight, hands
// over its idempotency keys, announces that it left, and closes the remaining listeners.
package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/banyanscale/banyanscale/internal/connection/limiter"
)

const (
	// headerTimeout bounds the time in which the head of a request must arrive on a new
	// connection.
	headerTimeout = 10 * time.Second
	// serverIdleTimeout is how long an idle connection of a caller or another node stays
	// open. It exceeds the requester's idle timeout, so that the side that sends requests
	// closes first.
	serverIdleTimeout = 90 * time.Second
	// closeTimeout bounds the shutdown of a listener.
	closeTimeout = 2 * time.Second
	// peerIdleConnections bounds the idle connections for calls to one other process.
	peerIdleConnections = 2
	// peerCallTimeout bounds one call to another process.
	peerCallTimeout = 5 * time.Second
	// peerDialTimeout bounds the dial of another process, so that an instance without
	// power delays a call only briefly before another one is tried. It is several round
	// trips between regions.
	peerDialTimeout = 250 * time.Millisecond
	// maxPeerHeadBytes bounds the head of a response of another process.
	maxPeerHeadBytes = 16 << 10
)

// newPeerClient returns the HTTP client for calls between processes. All of these calls
// are idempotent.
func newPeerClient() *http.Client {
	return &http.Client{
		Timeout: peerCallTimeout,
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			MaxIdleConnsPerHost:    peerIdleConnections,
			IdleConnTimeout:        serverIdleTimeout / 3,
			MaxResponseHeaderBytes: maxPeerHeadBytes,
		},
	}
}

// listener is a bound HTTP server.
type listener struct {
	server  *http.Server
	socket  net.Listener
	backlog *drainingListener // Inside socket.
	clients *limiter.Limiter
}

// listen binds an address for clients within the given limits.
func listen(ctx context.Context, addr netip.AddrPort, h http.Handler, clients *limiter.Limiter) (*listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdleTimeout, ConnState: clients.Observe}
	backlog := newDrainingListener(socket.(*net.TCPListener))
	return &listener{server: srv, socket: clients.Listen(backlog), backlog: backlog, clients: clients}, nil
}

// serve handles requests until the listener is closed.
func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.socket.Addr(), err)
	}
	return nil
}

// shutdown accepts what is in the backlog, closes the listener and waits for the requests in
// flight until ctx ends.
func (l *listener) shutdown(ctx context.Context) error {
	l.backlog.Drain(ctx)
	if err := l.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("close %s: %w", l.socket.Addr(), err)
	}
	return nil
}

// closer returns a function that closes the listener. It waits for requests in flight up
// to closeTimeout, or until ctx ends.
func (l *listener) closer(ctx context.Context) func() error {
	return func() error {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		return l.shutdown(ctx)
	}
}

// mountService adds the handler of an RPC service below the service's path.
func mountService(mux *goji.Mux, service func() (string, http.Handler)) {
	path, h := service()
	mux.Handle(pat.New(path+"*"), h)
}

// firstError calls all functions in order, also after an error, and returns the first
// error.
func firstError(functions ...func() error) error {
	var first error
	for _, f := range functions {
		if err := f(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
