package launcher

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// drainIdleTime is how long no connection may arrive until a listener that is being
	// closed counts as drained.
	drainIdleTime = 20 * time.Millisecond
	// maxDrainTime bounds the drain of a listener where connections keep arriving.
	maxDrainTime = 500 * time.Millisecond
)

// drainingListener is a listener that can accept what is in its backlog before it is closed.
// A client whose connection is in the backlog may have sent a request; closing the socket
// would reset the connection without an answer.
type drainingListener struct {
	*net.TCPListener
	draining  atomic.Bool
	drainEnd  atomic.Int64 // Unix time in nanoseconds.
	drained   chan struct{}
	drainOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

func newDrainingListener(l *net.TCPListener) *drainingListener {
	return &drainingListener{TCPListener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After Drain it accepts connections until none arrives for
// a while, and then blocks until the listener is closed.
func (l *drainingListener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			now := time.Now()
			if now.UnixNano() >= l.drainEnd.Load() {
				return nil, l.awaitClose()
			}
			if err := l.SetDeadline(now.Add(drainIdleTime)); err != nil {
				return nil, err //nolint:wrapcheck // http.Server inspects its type.
			}
		}
		wasDraining := l.draining.Load()
		conn, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err // Not wrapped: http.Server inspects its type.
		case wasDraining:
			return nil, l.awaitClose()
		}
	}
}

// awaitClose reports that the listener is drained, and returns once it is closed.
func (l *drainingListener) awaitClose() error {
	l.drainOnce.Do(func() { close(l.drained) })
	<-l.closed
	return net.ErrClosed
}

// Drain makes Accept accept what is in the backlog, and waits until that is empty, the
// listener is closed or ctx ends. Nothing is drained unless Accept is being called.
func (l *drainingListener) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxDrainTime+drainIdleTime)
	defer cancel()
	l.drainEnd.Store(time.Now().Add(maxDrainTime).UnixNano())
	l.draining.Store(true)
	if l.SetDeadline(time.Now()) != nil { // Wakes Accept.
		return
	}
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
	}
}

// Close implements net.Listener.
func (l *drainingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}
