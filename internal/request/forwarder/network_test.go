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

// Kinds of link faults.
const (
	refuse  = "refused"
	reset   = "reset"
	stall   = "stall"
	garbage = "garbage"
)

// Steps of an exchange at which a link can fail.
const (
	connect     = "connect"
	sendHead    = "send head"
	sendBody    = "send body"
	wait        = "wait"
	receiveHead = "receive head"
	receiveBody = "receive body"
	finish      = "finish" // Before the last byte of a response of responseSize bytes.
)

// fault is injected into the first connection to an address.
type fault struct{ address, step, kind string }

// network connects addresses through in-memory pipes.
type network struct {
	listeners   map[string]*listener
	fault       fault
	secondFault fault    // At another address than fault.
	injected    sync.Map // Addresses whose fault was injected.
}

func (n *network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	f := n.fault
	if address == n.secondFault.address {
		f = n.secondFault
	}
	inject := false
	if f.address == address {
		_, alreadyInjected := n.injected.LoadOrStore(address, true)
		inject = !alreadyInjected
	}
	if inject && f.step == connect {
		if f.kind == stall {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("connection refused")
	}
	clientConn, serverConn := net.Pipe()
	select {
	case n.listeners[address].conns <- serverConn:
	case <-n.listeners[address].closed:
		return nil, errors.New("connection refused")
	}
	if inject {
		return &faultyConn{Conn: clientConn, fault: f, closed: make(chan struct{})}, nil
	}
	return clientConn, nil
}

func (n *network) listen(address string) *listener {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// listener accepts the connections of a network to one address.
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

// faultyConn is a connection that fails at one step of its first exchange.
type faultyConn struct {
	net.Conn
	fault          fault
	sent, received []byte
	failed         bool
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
		n = bytesBeforeFault(c.fault.step, c.sent, p)
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
		time.Sleep(time.Millisecond) // The request is sent first.
		return c.fail(p)
	}
	if c.failed {
		return c.fail(p)
	}
	n, err := c.Conn.Read(p)
	pass := bytesBeforeFault(c.fault.step, c.received, p[:n])
	c.received = append(c.received, p[:n]...)
	switch {
	case pass == n:
		return n, err
	case c.fault.kind == garbage:
		copy(p[pass:n], bytes.Repeat([]byte{0}, n-pass))
		return n, err
	}
	c.failed = true
	if pass > 0 {
		return pass, nil
	}
	return c.fail(p)
}

// fail closes the connection. For a stall, it first discards input until the read fails.
func (c *faultyConn) fail(p []byte) (int, error) {
	for c.fault.kind == stall {
		if _, err := c.Conn.Read(p); err != nil {
			return 0, err
		}
	}
	_ = c.Close()
	return 0, io.EOF
}

// bytesBeforeFault returns the number of bytes of p that pass before the fault at step.
// passed holds the bytes that passed earlier.
func bytesBeforeFault(step string, passed, p []byte) int {
	all := append(append([]byte(nil), passed...), p...)
	headEnd := bytes.Index(all, []byte("\r\n\r\n")) + len("\r\n\r\n")
	limit := len(all)
	switch {
	case step == sendHead || step == receiveHead:
		limit = 10
	case headEnd < len("\r\n\r\n"):
	case step == sendBody || step == receiveBody:
		limit = headEnd + 2
	case step == finish:
		limit = headEnd + responseSize - 1
	}
	return min(max(limit-len(passed), 0), len(p))
}
