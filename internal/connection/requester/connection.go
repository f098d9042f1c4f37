package requester

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Sizes in bytes.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	maxHeadSize     = 1 << 20
)

// Buffers belong to exchanges, not to connections: an idle connection holds none.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// connection is one connection to a host. Only one exchange uses it at a time.
type connection struct {
	raw       net.Conn
	socket    *socket // Nil if raw has no file descriptor.
	host      *host
	idleSince time.Time

	// sent is true once a byte of the current request may have reached the socket.
	sent atomic.Bool
	// stall is how long a write, and a read after the first byte of the
	// answer, may make no progress; 0 for ever.
	stall time.Duration
	// received counts the bytes of the current answer.
	received int64
	// limit bounds received while the head is read; 0 for no bound.
	limit int64
	// readErr is the error of the last read, whatever a parser made of it, and
	// writeErr that of the last write.
	readErr, writeErr error

	closeOnce sync.Once
}

func newConnection(raw net.Conn, h *host) *connection {
	return &connection{raw: raw, socket: newSocket(raw), host: h}
}

// begin readies the connection for the next exchange.
func (c *connection) begin(stall time.Duration) {
	c.sent.Store(false)
	c.stall = stall
	c.received = 0
	c.limit = maxHeadSize
	c.readErr, c.writeErr = nil, nil
}

// Write sends p. It marks the request as sent before the socket sees a byte,
// and takes the mark back only if the socket took none.
func (c *connection) Write(p []byte) (int, error) {
	if c.stall > 0 {
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
			return 0, errors.Wrap(err, "set write deadline")
		}
	}
	first := !c.sent.Swap(true)
	n, err := c.raw.Write(p)
	c.writeErr = err
	if n == 0 && err != nil && first {
		c.sent.Store(false)
	}
	return n, err
}

// Read receives into p under the stall timeout and the limit of the head.
func (c *connection) Read(p []byte) (int, error) {
	if c.limit > 0 && c.received >= c.limit {
		return 0, errHeadTooLarge
	}
	if c.stall > 0 && c.received > 0 {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.stall)); err != nil {
			c.readErr = err
			return 0, errors.Wrap(err, "set read deadline")
		}
	}
	n, err := c.raw.Read(p)
	c.received += int64(n)
	c.readErr = err
	return n, err
}

// rest readies the connection for being idle and reports whether it can be reused.
func (c *connection) rest() bool {
	return c.stall == 0 || c.raw.SetDeadline(time.Time{}) == nil
}

// close closes the connection and frees its place at the host. It may be
// called by several goroutines.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.raw.Close()
		c.host.release()
	})
}
