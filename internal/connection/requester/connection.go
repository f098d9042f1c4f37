package requester

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Sizes in bytes.
const (
	readBufferSize      = 4 << 10
	writeBufferSize     = 4 << 10
	maxResponseHeadSize = 1 << 20
)

// Buffers belong to exchanges, not to connections, so idle connections hold none.
var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// connection is a pooled connection. Only one exchange uses it at a time.
type connection struct {
	netConn   net.Conn
	peeker    *socketPeeker // Nil if netConn has no file descriptor.
	hostPool  *hostPool
	idleSince time.Time
	// idleTimeout is how long the connection may be idle before its next use.
	idleTimeout time.Duration

	// sent is true once a byte of the current request may have been written to the
	// socket.
	sent atomic.Bool
	// stall limits how long one write, or one read after the first byte of the response,
	// may block.
	stall stallLimit
	// received counts the bytes received in the current exchange.
	received int64
	// headLimit limits received until the head of the final response is complete,
	// including discarded responses; 0 means no limit.
	headLimit int64
	// readErr and writeErr are the errors of the last read and write, before net/http
	// wraps or replaces them. A sender may still be writing: endWrites returns the latter then.
	readErr, writeErr error

	writeMu sync.Mutex // Held during a write, including all attempts that the stall limit allows.

	deadlineMu  sync.Mutex // Held while the write deadline is set.
	writesEnded bool       // The write deadline does not change any more.

	closeOnce sync.Once
}

func newConnection(netConn net.Conn, h *hostPool) *connection {
	return &connection{netConn: netConn, peeker: newSocketPeeker(netConn), hostPool: h, idleTimeout: h.idleTimeout}
}

// beginExchange resets the state of the previous exchange.
func (c *connection) beginExchange(stall stallLimit) {
	c.sent.Store(false)
	c.stall = stall
	c.received = 0
	c.headLimit = maxResponseHeadSize
	c.readErr, c.writeErr = nil, nil
}

// endWrites ends a write that blocks, and keeps others from being made. It returns the error of a
// write that failed before. The connection cannot be used again.
func (c *connection) endWrites() error {
	c.deadlineMu.Lock()
	c.writesEnded = true
	_ = c.netConn.SetWriteDeadline(time.Now()) // It fails only once the connection is closed.
	c.deadlineMu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, errWritesEnded) {
		return nil // Only the deadline ended it, unlike that of the connection (ETIMEDOUT).
	}
	return c.writeErr
}

// beginWrite sets the deadline of the next write.
func (c *connection) beginWrite() error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.writesEnded {
		return errWritesEnded
	}
	if c.stall.timeout == 0 {
		return nil
	}
	return errors.Wrap(c.netConn.SetWriteDeadline(time.Now().Add(c.stall.timeout)), "set write deadline")
}

// Write sends p. It marks the request as sent before it writes to the socket, and
// removes the mark only if the first write failed without writing a byte.
func (c *connection) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	firstWrite := !c.sent.Swap(true)
	n, err := c.write(p)
	for c.stall.goOn(true, err) {
		var more int
		more, err = c.write(p[n:])
		n += more
	}
	c.writeErr = err
	if n == 0 && err != nil && firstWrite {
		c.sent.Store(false)
	}
	return n, err
}

// write performs one write.
func (c *connection) write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.netConn.Write(p) //nolint:wrapcheck // net/http inspects it.
}

// Read receives into p, subject to the stall limit and the head limit.
func (c *connection) Read(p []byte) (int, error) {
	if c.headLimit > 0 && c.received >= c.headLimit {
		return 0, errHeadTooLarge
	}
	n, err := c.read(p)
	for n == 0 && c.stall.goOn(false, err) {
		n, err = c.read(p)
	}
	c.received += int64(n)
	c.readErr = err
	return n, err
}

// read performs one read.
func (c *connection) read(p []byte) (int, error) {
	if c.stall.timeout > 0 && c.received > 0 {
		if err := c.netConn.SetReadDeadline(time.Now().Add(c.stall.timeout)); err != nil {
			return 0, errors.Wrap(err, "set read deadline")
		}
	}
	return c.netConn.Read(p) //nolint:wrapcheck // net/http inspects it.
}

// restartReceive lets the wait for the response begin after a 100 response: the stall timeout must
// not count while the request body is sent.
func (c *connection) restartReceive() error {
	c.received = 0 // Of the final response.
	if c.stall.timeout == 0 {
		return nil
	}
	return errors.Wrap(c.netConn.SetReadDeadline(time.Time{}), "clear read deadline")
}

// clearDeadlines removes the deadlines that the stall limit has set, and reports
// whether the connection can be reused.
func (c *connection) clearDeadlines() bool {
	return c.stall.timeout == 0 || c.netConn.SetDeadline(time.Time{}) == nil
}

// limitIdleTime sets how long the connection may be idle by the header of its last
// response: no longer than the pool's timeout and that of the server.
func (c *connection) limitIdleTime(h http.Header) {
	c.idleTimeout = c.hostPool.idleTimeout
	if timeout, ok := keepAliveTimeout(h); ok {
		c.idleTimeout = min(c.idleTimeout, timeout)
	}
}

// expired reports whether the connection has been idle for too long to be used.
func (c *connection) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleTimeout }

// close closes the connection and frees its slot. It is safe for concurrent use and
// may be called more than once.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.netConn.Close()
		c.hostPool.releaseSlot()
	})
}
