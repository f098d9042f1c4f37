package requester

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// socket looks at a connection's file descriptor. One goroutine at a time may
// use it.
type socket struct {
	raw syscall.RawConn
	// look is the method value of peek, made once.
	look func(fd uintptr)
	b    [1]byte
	err  error
}

// newSocket returns nil if conn has no file descriptor.
func newSocket(conn net.Conn) *socket {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	s := &socket{raw: raw}
	s.look = s.peek
	return s
}

func (s *socket) peek(fd uintptr) {
	_, _, s.err = unix.Recvfrom(int(fd), s.b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
}

// quiet reports whether an idle connection is still open and has received
// nothing since its last answer. It does not block.
func (c *connection) quiet() bool {
	if c.socket == nil {
		return quietByDeadline(c.raw)
	}
	// Data and an end both mean that the peer did not wait for a request.
	return c.socket.raw.Control(c.socket.look) == nil && errors.Is(c.socket.err, unix.EAGAIN)
}

// quietByDeadline does the same for connections without a file descriptor, by
// a read whose deadline has passed.
func quietByDeadline(raw net.Conn) bool {
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
