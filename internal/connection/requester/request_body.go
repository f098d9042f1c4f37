package requester

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errExchangeEnded = errors.New("exchange ended before the request was fully sent")

// Buffered is implemented by request bodies that are held in memory, so that
// reading them never blocks.
type Buffered interface {
	io.ReadCloser
	// Buffered marks the type and does nothing.
	Buffered()
}

// maxWriteFirst is the size in bytes of bodies in memory that are written before the response is
// read. A longer one may fill the buffers of a server that responds before it has read it.
const maxWriteFirst = 32 << 10

// buffered reports whether body can be written before the response is read: reading it never
// blocks, and it is not long.
func buffered(body io.ReadCloser) bool {
	if b, ok := body.(*BytesBody); ok {
		return b.Size() <= maxWriteFirst
	}
	_, ok := body.(Buffered)
	return ok
}

// BytesBody is a request body held in memory.
type BytesBody struct{ bytes.Reader }

// NewBytesBody returns a body that reads from p without copying it.
func NewBytesBody(p []byte) *BytesBody {
	b := &BytesBody{}
	b.Reset(p)
	return b
}

// Buffered marks the body as held in memory.
func (*BytesBody) Buffered() {}

// Close does nothing.
func (*BytesBody) Close() error { return nil }

// requestBody wraps the body of a streamed request. Before each read but the first it
// flushes the data written so far, since the read may block. If the request has
// "Expect: 100-continue", the first read flushes the head as well, and then waits for
// the 100 response, at most continueTimeout.
type requestBody struct {
	io.ReadCloser
	expectsContinue bool
	continueTimeout time.Duration // 0 for no limit.
	flush           func() error
	reads           int
	readFailed      atomic.Bool // The body could not be read; the caller probably disconnected.

	continued    chan struct{} // Closed when the 100 response arrives.
	continueOnce sync.Once

	mu      sync.Mutex
	isBegun bool          // The body has been or is being read.
	isEnded bool          // abort was called.
	aborted chan struct{} // Closed when the exchange is abandoned.
}

func hasBody(req *http.Request) bool {
	return req.Body != nil && req.Body != http.NoBody
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

func newRequestBody(req *http.Request) *requestBody {
	return &requestBody{
		ReadCloser:      req.Body,
		continueTimeout: continueTimeout,
		expectsContinue: expectsContinue(req),
		continued:       make(chan struct{}),
		aborted:         make(chan struct{}),
	}
}

// Read reads the body. The first read flushes nothing unless the request expects a
// 100 response, so that if it fails, no byte of the request has been sent.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reads++
	if b.reads > 1 || b.expectsContinue {
		if err := b.flush(); err != nil {
			return 0, errors.Wrap(err, "flush request")
		}
	}
	if b.reads == 1 && b.expectsContinue {
		if err := b.waitForContinue(); err != nil {
			return 0, err
		}
	}
	if !b.begin() {
		return 0, errExchangeEnded
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readFailed.Store(true)
	}
	return n, err
}

// waitForContinue returns once the body may be sent, or with errExchangeEnded if the
// exchange is abandoned first.
func (b *requestBody) waitForContinue() error {
	var timeout <-chan time.Time
	if b.continueTimeout > 0 {
		timer := time.NewTimer(b.continueTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-b.continued:
		return nil
	case <-timeout:
		return nil
	case <-b.aborted:
		return errExchangeEnded
	}
}

func (b *requestBody) signalContinue() { b.continueOnce.Do(func() { close(b.continued) }) }

// begin records that the body is being read. It returns false if the exchange was abandoned before.
func (b *requestBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isBegun = b.isBegun || !b.isEnded
	return !b.isEnded
}

// begun reports whether the body has been or is being read. It does not change after abort.
func (b *requestBody) begun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isBegun
}

// abort ends the wait for the 100 response and keeps the body from being read any more.
func (b *requestBody) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isEnded {
		b.isEnded = true
		close(b.aborted)
	}
}

// opaqueWriter hides the type and the ReadFrom method of a bufio.Writer. Given a
// *bufio.Writer, net/http flushes the head of a request before it reads the body;
// with ReadFrom, requestBody would flush the writer in the middle of its ReadFrom. It has
// WriteByte, since net/http would wrap it in another bufio.Writer otherwise.
type opaqueWriter struct{ buf *bufio.Writer }

func (w *opaqueWriter) Write(p []byte) (int, error)       { return w.buf.Write(p) }
func (w *opaqueWriter) WriteByte(c byte) error            { return w.buf.WriteByte(c) }
func (w *opaqueWriter) WriteString(s string) (int, error) { return w.buf.WriteString(s) }
