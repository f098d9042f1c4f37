package launcher

import (
	"context"
	"net"
	"os"
	"sync"
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
	drained   chan struct{}
	drainOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex // Guards the deadline of TCPListener and the fields below.
	draining bool
	drainEnd time.Time
}

func newDrainingListener(l *net.TCPListener) *drainingListener {
	return &drainingListener{TCPListener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After Drain it accepts connections until none arrives for
// a while, and then blocks until the listener is closed.
func (l *drainingListener) Accept() (net.Conn, error) {
	for {
		draining, expired := l.extendDeadline()
		if expired {
			return nil, l.awaitClose()
		}
		conn, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err // Not wrapped: http.Server inspects its type.
		case draining:
			return nil, l.awaitClose()
		}
		// Drain has set the deadline to wake the call.
	}
}

// extendDeadline sets the deadline of the next call of Accept while the listener is being
// drained. It reports whether it is, and whether the time for that has passed.
func (l *drainingListener) extendDeadline() (draining, expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		return false, false
	}
	now := time.Now()
	return true, !now.Before(l.drainEnd) || l.SetDeadline(now.Add(drainIdleTime)) != nil
}

// startDraining sets the deadline so that a call of Accept returns.
func (l *drainingListener) startDraining() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.draining = true
	l.drainEnd = now.Add(maxDrainTime)
	return l.SetDeadline(now)
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
	if l.startDraining() != nil {
		return // The listener is closed.
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
