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

var errAborted = errors.New("exchange ended before the request was sent whole")

// Buffered is implemented by request bodies that are held in memory: reading
// them never blocks.
type Buffered interface {
	io.ReadCloser
	// Buffered does nothing but mark the type.
	Buffered()
}

// buffered reports whether reading body never blocks.
func buffered(body io.ReadCloser) bool {
	_, ok := body.(Buffered)
	return ok
}

// BytesBody is a request body held in memory.
type BytesBody struct{ bytes.Reader }

// NewBytesBody returns a body that holds p.
func NewBytesBody(p []byte) *BytesBody {
	b := &BytesBody{}
	b.Reset(p)
	return b
}

// Buffered marks the body as held in memory.
func (*BytesBody) Buffered() {}

// Close does nothing.
func (*BytesBody) Close() error { return nil }

// requestBody is the body of a request on its way out. It hands on what is
// buffered before it waits for more, and waits for leave if the request
// expects that.
type requestBody struct {
	io.ReadCloser
	expects bool
	flush   func() error
	reads   int
	failed  atomic.Bool // The body could not be read: the caller went away.

	leave     chan struct{}
	leaveOnce sync.Once
	aborted   chan struct{}
	abortOnce sync.Once
}

func hasBody(req *http.Request) bool {
	return req.Body != nil && req.Body != http.NoBody
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

func newRequestBody(req *http.Request) *requestBody {
	return &requestBody{
		ReadCloser: req.Body,
		expects:    expectsContinue(req),
		leave:      make(chan struct{}),
		aborted:    make(chan struct{}),
	}
}

// Read reads the body. The first read sends nothing by itself, so that a body
// that fails at once leaves the request unsent.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reads++
	if b.reads > 1 || b.expects {
		if err := b.flush(); err != nil {
			return 0, errors.Wrap(err, "flush request")
		}
	}
	if b.reads == 1 && b.expects {
		if err := b.waitForLeave(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

func (b *requestBody) waitForLeave() error {
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case <-b.leave:
		return nil
	case <-timer.C:
		return nil
	case <-b.aborted:
		return errAborted
	}
}

func (b *requestBody) proceed() { b.leaveOnce.Do(func() { close(b.leave) }) }

func (b *requestBody) abort() { b.abortOnce.Do(func() { close(b.aborted) }) }

// writer hides the type and the ReadFrom method of a bufio.Writer: net/http
// flushes the head of a request to one before it reads the body, and
// requestBody flushes that writer while it is being read.
type writer struct{ buf *bufio.Writer }

func (w *writer) Write(p []byte) (int, error)       { return w.buf.Write(p) }
func (w *writer) WriteByte(c byte) error            { return w.buf.WriteByte(c) }
func (w *writer) WriteString(s string) (int, error) { return w.buf.WriteString(s) }
