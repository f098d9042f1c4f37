package requester

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is still open and has received
// nothing since its last answer. It does not block.
func quiet(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return quietByDeadline(raw)
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	controlErr := rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	// Data and an end both mean that the peer did not wait for a request.
	return controlErr == nil && errors.Is(peekErr, unix.EAGAIN)
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
