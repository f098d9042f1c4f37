package responder

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// watch reads from the connection while a request runs for long, and cancels
// the context of the connection when the other side ends it.
type watch struct {
	responder *Responder
	timer     *time.Timer
	// done has a token when a read has ended.
	done chan struct{}

	mu       sync.Mutex
	running  bool // A request runs.
	armed    bool // The timer was set for it.
	stopping bool // The read is to end.
}

func newWatch(p *Responder) *watch {
	w := &watch{responder: p, done: make(chan struct{}, 1)}
	w.timer = time.AfterFunc(watchDelay, w.read)
	w.timer.Stop()
	return w
}

// begin tells that a request runs.
func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = true
}

// arm tells that the request was received whole, so that nothing else reads
// from the connection.
func (w *watch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running && !w.armed {
		w.armed = true
		w.timer.Reset(watchDelay)
	}
}

// end ends the watch over a request. After it nothing is read from the connection.
func (w *watch) end() {
	w.mu.Lock()
	w.running = false
	if !w.armed || w.timer.Stop() {
		w.armed = false
		w.mu.Unlock()
		return
	}
	w.armed = false
	w.stopping = true
	// On failure the connection is closed, which ends the read as well.
	_ = w.responder.conn.SetReadDeadline(past)
	w.mu.Unlock()
	<-w.done
	w.mu.Lock()
	w.stopping = false
	w.mu.Unlock()
}

// read waits for the end of the connection. A byte that comes instead is kept.
func (w *watch) read() {
	defer func() { w.done <- struct{}{} }()
	p := w.responder
	w.mu.Lock()
	if w.stopping {
		w.mu.Unlock()
		return
	}
	err := p.conn.SetReadDeadline(time.Time{})
	w.mu.Unlock()
	var b [1]byte
	n := 0
	if err == nil {
		n, err = p.conn.Read(b[:])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > 0 {
		p.early = append(p.early, b[0])
		return
	}
	if err != nil && !w.stopping {
		p.cancel()
	}
}

// body is the body of a request. At its end the watch may begin.
type body struct {
	io.ReadCloser
	watch *watch
	left  atomic.Int64 // Bytes until the end; very many if that is not known.
	ended atomic.Bool
}

func newBody(req *http.Request, w *watch) *body {
	b := &body{ReadCloser: req.Body, watch: w}
	b.left.Store(math.MaxInt64)
	if req.ContentLength > 0 {
		b.left.Store(req.ContentLength)
	}
	return b
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left.Add(-int64(n)) == 0 || errors.Is(err, io.EOF) {
		b.ended.Store(true)
		b.watch.arm()
	}
	return n, err
}
