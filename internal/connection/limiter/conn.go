package limiter

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// readBufferBytes is the size of the buffer in which a server reads heads. A longer read is of a
// body, and cannot reach into the next head.
const readBufferBytes = 4 << 10

// Conn is a connection of a client. It counts the head that is being read, and fails to read one that
// exceeds the limits.
type Conn struct {
	*net.TCPConn
	limiter *Limiter
	state   atomic.Int32 // A state.
	since   atomic.Int64 // When the state began, in nanoseconds since processStart.
	// reading reports whether a read is blocked while the connection is active: the body of the
	// request is awaited.
	reading  atomic.Bool
	hijacked atomic.Bool
	close    sync.Once

	// The fields below are used by the goroutine that reads.
	headBytes, headLines int
	headEnd              time.Time // When the head must have arrived; zero until a read does not complete it.

	tail atomic.Int64 // What the last read may hold of the next head costs, in bytes.

	mu     sync.Mutex // Guards the fields below.
	held   int        // Taken from the pool, in bytes.
	closed bool
}

func newConn(conn *net.TCPConn, l *Limiter) *Conn {
	c := &Conn{TCPConn: conn, limiter: l}
	c.enter(pending)
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if state(c.state.Load()) == active {
		return c.readActive(p)
	}
	if c.headBytes > 0 {
		if err := c.awaitHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(p)
	lines := c.countHead(p[:n])
	c.headBytes += n
	c.headLines += lines
	if !c.hold(headCost(c.headBytes, c.headLines) - allowanceBytes) {
		return 0, c.refuse(classifier.ReasonCrowded)
	}
	return n, err
}

// awaitHead checks the limits before more of a head is read. What was read did not complete it.
func (c *Conn) awaitHead() error {
	limits := c.limiter.cfg.Limits()
	if c.headBytes >= limits.Bytes || c.headLines >= limits.Lines {
		return c.refuse(classifier.ReasonHeadTooLarge)
	}
	if c.headEnd.IsZero() {
		c.headEnd = time.Now().Add(limits.Timeout)
		c.enter(pending)
	}
	if err := c.SetReadDeadline(c.headEnd); err != nil {
		return err // Not wrapped: http.Server inspects its type.
	}
	return nil
}

// readActive reads the body of a request, or a single byte to learn whether the connection ends.
func (c *Conn) readActive(p []byte) (int, error) {
	awaitsBody := len(p) > 1
	if awaitsBody {
		c.reading.Store(true)
	}
	n, err := c.TCPConn.Read(p)
	if awaitsBody {
		c.reading.Store(false)
	}
	if n > 1 && len(p) <= readBufferBytes {
		c.countHead(p[:n])
		if tail := int(c.tail.Load()); tail > 0 && !c.hold(tail) {
			return 0, c.readError()
		}
	}
	return n, err
}

// countHead returns the number of lines in what was read, and notes what it may hold of the next head.
func (c *Conn) countHead(read []byte) int {
	lines := bytes.Count(read, lineBreak)
	tail := 0
	if headCost(len(read), lines) > allowanceBytes {
		tail = max(tailCost(read)-allowanceBytes, 0)
	}
	c.tail.Store(int64(tail))
	return lines
}

// hold takes n bytes from the pool in place of what is held. Negative values are none.
func (c *Conn) hold(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = max(n, 0)
	if n == c.held || c.closed {
		return true
	}
	if !c.limiter.cfg.Heads.resize(c.held, n) {
		return false
	}
	c.held = n
	return true
}

// release gives what is held back to the pool, except n bytes.
func (c *Conn) release(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n < c.held {
		c.limiter.cfg.Heads.resize(c.held, n)
		c.held = n
	}
}

// SetActive records that the head of a request was read.
func (c *Conn) SetActive() {
	c.enter(active)
}

// SetIdle records that a response was written, and that the next head is awaited.
func (c *Conn) SetIdle() {
	c.headBytes, c.headLines, c.headEnd = 0, 0, time.Time{}
	c.release(int(c.tail.Load()))
	c.enter(idle)
}

// enter records the state, unless the connection has lost its place.
func (c *Conn) enter(s state) {
	for {
		old := c.state.Load()
		if state(old) == displaced {
			return
		}
		if c.state.CompareAndSwap(old, int32(s)) {
			c.since.Store(int64(time.Since(processStart)))
			return
		}
	}
}

// CloseWrite ends what is sent. The server calls it after the last response.
func (c *Conn) CloseWrite() error {
	c.enter(closing)
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.close.Do(func() {
		c.limiter.roster.remove(c)
		c.release(0)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
	})
	return c.TCPConn.Close()
}

// refuse sends a refusal, and then reads for a moment what the client still sends: closing a
// connection with unread bytes resets it, and the client may lose the refusal.
func (c *Conn) refuse(reason classifier.Reason) error {
	c.limiter.refusals.Inc(reason)
	now := time.Now()
	_ = c.SetDeadline(now.Add(lingerTimeout))
	if _, err := c.Write(refusals[reason]); err == nil && c.CloseWrite() == nil {
		c.discard()
	}
	return c.readError()
}

func (c *Conn) discard() {
	var buffer [lingerBufferBytes]byte
	for range maxLingerReads {
		if _, err := c.TCPConn.Read(buffer[:]); err != nil {
			return
		}
	}
}

// readError returns an error at which http.Server closes the connection without a response of its own.
func (c *Conn) readError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
}
