package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kinds of faults on a link.
const (
	refuse  = "refused"
	reset   = "reset"
	stall   = "stall"
	garbage = "garbage"
)

// Steps of a request at which a link can fail.
const (
	connect     = "connect"
	sendHead    = "send head"
	sendBody    = "send body"
	wait        = "wait"
	receiveHead = "receive head"
	receiveBody = "receive body"
	finish      = "finish"
)

// fault strikes the first connection to an address.
type fault struct{ address, step, kind string }

// network connects addresses in memory.
type network struct {
	listeners map[string]*listener
	fault     fault
	second    fault // Strikes at another address.
	struck    sync.Map
}

func (n *network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	f := n.fault
	if address == n.second.address {
		f = n.second
	}
	strikes := false
	if f.address == address {
		_, before := n.struck.LoadOrStore(address, true)
		strikes = !before
	}
	if strikes && f.step == connect {
		if f.kind == stall {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case n.listeners[address].conns <- far:
	case <-n.listeners[address].closed:
		return nil, errors.New("connection refused")
	}
	if strikes {
		return &faultyConn{Conn: near, fault: f, closed: make(chan struct{})}, nil
	}
	return near, nil
}

func (n *network) listen(address string) *listener {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// listener accepts connections of a network.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// faultyConn fails at one step of its first exchange.
type faultyConn struct {
	net.Conn
	fault          fault
	sent, received []byte
	cut            bool
	closed         chan struct{}
	once           sync.Once
	writeDeadline  time.Time
}

func (c *faultyConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return nil
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *faultyConn) Write(p []byte) (int, error) {
	n := len(p)
	switch c.fault.step {
	case sendHead, sendBody:
		n = passing(c.fault.step, c.sent, p)
	}
	c.sent = append(c.sent, p[:n]...)
	written, err := c.Conn.Write(p[:n])
	if err != nil || n == len(p) {
		return written, err
	}
	if c.fault.kind == stall {
		select {
		case <-c.closed:
		case <-time.After(time.Until(c.writeDeadline)):
			return written, os.ErrDeadlineExceeded
		}
	}
	_ = c.Close()
	return written, io.ErrClosedPipe
}

func (c *faultyConn) Read(p []byte) (int, error) {
	switch c.fault.step {
	case sendHead, sendBody:
		return c.Conn.Read(p)
	case wait:
		time.Sleep(time.Millisecond) // Lets the request be sent.
		return c.fail(p)
	}
	if c.cut {
		return c.fail(p)
	}
	n, err := c.Conn.Read(p)
	pass := passing(c.fault.step, c.received, p[:n])
	c.received = append(c.received, p[:n]...)
	switch {
	case pass == n:
		return n, err
	case c.fault.kind == garbage:
		copy(p[pass:n], bytes.Repeat([]byte{0}, n-pass))
		return n, err
	}
	c.cut = true
	if pass > 0 {
		return pass, nil
	}
	return c.fail(p)
}

// fail ends the connection, or reads and drops what comes until its deadline.
func (c *faultyConn) fail(p []byte) (int, error) {
	for c.fault.kind == stall {
		if _, err := c.Conn.Read(p); err != nil {
			return 0, err
		}
	}
	_ = c.Close()
	return 0, io.EOF
}

// passing returns how many bytes of p go through before the step's fault.
func passing(step string, before, p []byte) int {
	all := append(append([]byte(nil), before...), p...)
	headEnd := bytes.Index(all, []byte("\r\n\r\n")) + len("\r\n\r\n")
	limit := len(all)
	switch {
	case step == sendHead || step == receiveHead:
		limit = 10
	case headEnd < len("\r\n\r\n"):
	case step == sendBody || step == receiveBody:
		limit = headEnd + 2
	case step == finish:
		limit = headEnd + answerSize - 1
	}
	return min(max(limit-len(before), 0), len(p))
}
