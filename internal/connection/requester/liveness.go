package requester

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// socketPeeker peeks at the received data of a connection through its file descriptor,
// without a deadline and without consuming anything. It is not safe for concurrent
// use.
type socketPeeker struct {
	rawConn syscall.RawConn
	// peekFunc is the method value of peek, created once to avoid an allocation per
	// check.
	peekFunc func(fd uintptr)
	buf      [1]byte
	err      error // The error of the last peek.
}

// newSocketPeeker returns a socketPeeker for conn, or nil if conn has no file descriptor.
func newSocketPeeker(conn net.Conn) *socketPeeker {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	s := &socketPeeker{rawConn: rawConn}
	s.peekFunc = s.peek
	return s
}

// peek peeks at one byte of fd and stores the error in err.
func (s *socketPeeker) peek(fd uintptr) {
	_, _, s.err = unix.Recvfrom(int(fd), s.buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
}

// stillIdle reports whether an idle connection is still open and has received
// nothing since its last response. It does not block.
func (c *connection) stillIdle() bool {
	if c.peeker == nil {
		return stillIdleByDeadline(c.netConn)
	}
	// EAGAIN means neither data nor EOF. Unsolicited data, such as a 408 response,
	// and EOF both make the connection unusable.
	return c.peeker.rawConn.Control(c.peeker.peekFunc) == nil && errors.Is(c.peeker.err, unix.EAGAIN)
}

// stillIdleByDeadline is stillIdle for connections without a file descriptor. It
// reads with a deadline in the past.
func stillIdleByDeadline(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	var b [1]byte
	_, err := conn.Read(b[:])
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}
