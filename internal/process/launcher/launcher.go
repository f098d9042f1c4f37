// Package launcher assembles the parts of a process and runs it from its
// start to its planned stop.
//
// # Usage
//
//	n, err := launcher.NewNode(settings, os.Stderr)
//	err = n.Run(ctx) // until ctx ends, then a graceful stop
//
// The order of a planned stop of a node: announce that the instance leaves;
// go on serving while the others learn it; refuse new work; wait for all
// requests in flight; say goodbye; close the listeners.
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
)

const (
	// headerTimeout bounds how long the head of a request may take to arrive.
	headerTimeout = 10 * time.Second
	// serverIdleTimeout is how long an idle connection of a caller or another
	// node stays open. It exceeds the idle timeout of the requester, so that
	// the side that sends requests closes first.
	serverIdleTimeout = 90 * time.Second
	// closeTimeout bounds how long idle connections are waited for at the end.
	closeTimeout = 2 * time.Second
	// peerIdleConnections bounds the idle connections for calls to one other process.
	peerIdleConnections = 2
	// peerCallTimeout bounds one call to another process.
	peerCallTimeout = 5 * time.Second
	// peerDialTimeout bounds the opening of a connection to another process, so
	// that a machine without power costs little before another one is asked. It
	// is several round trips between regions.
	peerDialTimeout = 250 * time.Millisecond
)

// newPeerClient returns the HTTP client for calls between processes. Its calls
// are all idempotent.
func newPeerClient() *http.Client {
	return &http.Client{
		Timeout: peerCallTimeout,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			MaxIdleConnsPerHost: peerIdleConnections,
			IdleConnTimeout:     serverIdleTimeout / 3,
		},
	}
}

// listener is a bound HTTP server.
type listener struct {
	server *http.Server
	socket net.Listener
}

func listen(ctx context.Context, addr netip.AddrPort, h http.Handler) (*listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdleTimeout}
	return &listener{server: srv, socket: socket}, nil
}

// serve answers until the listener is closed.
func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.socket.Addr(), err)
	}
	return nil
}

// close ends the listener. Requests in flight end first, if they do so in time.
func (l *listener) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("close %s: %w", l.socket.Addr(), err)
	}
	return nil
}

// handle adds a service whose method returns its path and handler.
func handle(mux *goji.Mux, service func() (string, http.Handler)) {
	path, h := service()
	mux.Handle(pat.New(path+"*"), h)
}

// firstError calls all functions and returns the first error.
func firstError(functions ...func() error) error {
	var first error
	for _, f := range functions {
		if err := f(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
