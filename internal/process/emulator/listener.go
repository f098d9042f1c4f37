package emulator

import (
	"net"
	"sync"
	"time"
)

// Listener returns l bounded to the emulated number of connections. The first
// read of a connection takes the emulated connect time.
func (e *Emulator) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, places: make(chan struct{}, e.spec.Connections), connectTime: e.spec.ConnectTime}
}

type listener struct {
	net.Listener
	places      chan struct{}
	connectTime time.Duration
}

// Accept waits for a place and then for a connection.
func (l *listener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err // As it is: http.Server looks at its type.
	}
	return &conn{Conn: c, release: func() { <-l.places }, connectTime: l.connectTime}, nil
}

type conn struct {
	net.Conn
	connectTime time.Duration
	connect     sync.Once
	close       sync.Once
	release     func()
}

// Read reads after the connect time has passed once.
func (c *conn) Read(p []byte) (int, error) {
	c.connect.Do(func() { time.Sleep(c.connectTime) })
	return c.Conn.Read(p)
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.close.Do(c.release)
	return c.Conn.Close()
}
