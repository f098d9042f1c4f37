package emulator

import (
	"net"
	"sync"
	"time"
)

// Listener wraps l so that at most Spec.Connections connections are open. The
// first read of each connection is delayed by Spec.ConnectTime.
func (e *Emulator) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, semaphore: make(chan struct{}, e.spec.Connections), connectTime: e.spec.ConnectTime}
}

// listener limits the number of open connections by a semaphore.
type listener struct {
	net.Listener
	semaphore   chan struct{}
	connectTime time.Duration
}

// Accept waits until fewer connections than the limit are open, then for a
// connection.
func (l *listener) Accept() (net.Conn, error) {
	l.semaphore <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err // Not wrapped: http.Server inspects its type.
	}
	return &conn{Conn: c, release: func() { <-l.semaphore }, connectTime: l.connectTime}, nil
}

// conn is an accepted connection that holds the semaphore until it is closed.
type conn struct {
	net.Conn
	connectTime time.Duration
	connectOnce sync.Once
	closeOnce   sync.Once
	release     func()
}

// Read delays the first read by the connect time.
func (c *conn) Read(p []byte) (int, error) {
	c.connectOnce.Do(func() { time.Sleep(c.connectTime) })
	return c.Conn.Read(p)
}

// Close closes the connection and releases the semaphore.
func (c *conn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}
