package requester

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// peekSocket peeks at the received data of a connection through its file descriptor,
// without a deadline and without consuming anything. It is not safe for concurrent
// use.
type peekSocket struct {
	raw syscall.RawConn
	// peekFunc is the method value of peek, created once to avoid an allocation per
	// check.
	peekFunc func(fd uintptr)
	buf      [1]byte
	err      error // The error of the last peek.
}

// newPeekSocket returns a peekSocket for conn, or nil if it has no file descriptor.
func newPeekSocket(conn net.Conn) *peekSocket {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	s := &peekSocket{raw: raw}
	s.peekFunc = s.peek
	return s
}

func (s *peekSocket) peek(fd uintptr) {
	_, _, s.err = unix.Recvfrom(int(fd), s.buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
}

// stillIdle reports whether an idle connection is still open and has received
// nothing since its last response. It does not block.
func (c *connection) stillIdle() bool {
	if c.idleSocket == nil {
		return stillIdleByDeadline(c.raw)
	}
	// EAGAIN means neither data nor EOF. Unrequested data, such as a 408 response,
	// and EOF both make the connection unusable.
	return c.idleSocket.raw.Control(c.idleSocket.peekFunc) == nil && errors.Is(c.idleSocket.err, unix.EAGAIN)
}

// stillIdleByDeadline is stillIdle for connections without a file descriptor. It
// reads with a deadline in the past.
func stillIdleByDeadline(raw net.Conn) bool {
	if raw.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	var b [1]byte
	_, err := raw.Read(b[:])
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return raw.SetReadDeadline(time.Time{}) == nil
}
