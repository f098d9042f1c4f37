// Package responder answers the requests of another node on one connection,
// which it takes over from net/http after the first of them.
//
// # Usage
//
//	func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
//		if p := responder.Take(w, r); p != nil {
//			p.Serve(r, s) // Returns when the connection has ended.
//			return
//		}
//		// Answer r.
//	}
//
// net/http reads beside each handler, so that it sees the end of a connection.
// That starts a goroutine and wakes further threads for each request. Here the
// read begins only if a request takes longer than watchDelay.
//
// Each request, the first one included, goes to the handler of the http.Server
// that accepted the connection. A handler that panics ends the connection
// without ending the answer.
package responder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// watchDelay is how long a request runs before the end of its connection
	// is watched for.
	watchDelay = 5 * time.Millisecond
	// discardTimeout bounds how long the rest of an unwanted request body is read.
	discardTimeout = 500 * time.Millisecond
	// maxDiscard bounds the bytes of an unwanted request body that are read.
	maxDiscard = 256 << 10
	// maxHead bounds the head of a request, in bytes.
	maxHead = 1 << 20
	// flushTimeout bounds how long the end of a large answer may not be taken.
	flushTimeout = 10 * time.Second
	// bufferSize is the size of each buffer of a connection, in bytes.
	bufferSize = 4 << 10
)

var (
	errHeadTooLarge = errors.New("head of the request is too large")
	errProtocol     = errors.New("request is not HTTP/1.1")
)

// Tracker is told when a request begins and when its answer was written.
type Tracker interface {
	Begin()
	End()
}

// Responder serves one connection.
type Responder struct {
	conn        net.Conn
	handler     http.Handler
	idleTimeout time.Duration // 0 for none.
	ctx         context.Context
	cancel      context.CancelFunc
	watch       *watch
	r           *bufio.Reader
	w           *bufio.Writer
	// early holds bytes that were read before they were asked for.
	early []byte
	// remaining bounds how many bytes are still read.
	remaining int64
	// writeDeadline is set on the connection at the next write; zero for none.
	writeDeadline time.Time
	// writeTimed tells that the connection has a write deadline.
	writeTimed bool
}

// Take takes the connection of r over from net/http. It returns nil if that is
// not possible, and then w and r are as before. The body of r must have been
// read, or be empty, and nothing may have been written to w.
func Take(w http.ResponseWriter, r *http.Request) *Responder {
	srv, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if !ok || srv.Handler == nil || !Suits(w, r) {
		return nil
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	p := &Responder{conn: conn, handler: srv.Handler, idleTimeout: srv.IdleTimeout}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.watch = newWatch(p)
	// Peek returns what is buffered without an error.
	buffered, _ := rw.Peek(rw.Reader.Buffered())
	p.early = append(p.early, buffered...)
	p.r = bufio.NewReaderSize(p, bufferSize)
	p.w = bufio.NewWriterSize(p, bufferSize)
	return p
}

// Suits reports whether the connection of r can be taken over.
func Suits(w http.ResponseWriter, r *http.Request) bool {
	_, ok := w.(http.Hijacker)
	return ok && r.ProtoAtLeast(1, 1) && !r.Close && w.Header().Get("Connection") == ""
}

// Serve answers first, and then the requests that follow, until the
// connection ends. It closes the connection, also if a handler panics.
func (p *Responder) Serve(first *http.Request, t Tracker) {
	defer p.close()
	for req := first; req != nil && p.respond(req.WithContext(p.ctx), t); {
		// An error ends the connection as its end does: nothing was begun.
		req, _ = p.next()
	}
}

// Read receives into b, first what was read too early.
func (p *Responder) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	b = b[:min(int64(len(b)), p.remaining)]
	if len(p.early) > 0 {
		n := copy(b, p.early)
		p.early = p.early[n:]
		return n, nil
	}
	n, err := p.conn.Read(b)
	p.remaining -= int64(n)
	return n, err
}

// Write sends b under the write deadline.
func (p *Responder) Write(b []byte) (int, error) {
	if !p.writeDeadline.IsZero() {
		if err := p.conn.SetWriteDeadline(p.writeDeadline); err != nil {
			return 0, errors.Wrap(err, "set write deadline")
		}
		p.writeTimed = true
	}
	return p.conn.Write(b)
}

// setWriteDeadline sets the deadline of the writes that follow. The connection
// learns of it when it is written to, since small answers are written after
// the deadline was taken back.
func (p *Responder) setWriteDeadline(t time.Time) error {
	p.writeDeadline = t
	if !t.IsZero() || !p.writeTimed {
		return nil
	}
	p.writeTimed = false
	return errors.Wrap(p.conn.SetWriteDeadline(t), "clear write deadline")
}

// next receives the head of the next request.
func (p *Responder) next() (*http.Request, error) {
	deadline := time.Time{}
	if p.idleTimeout > 0 {
		deadline = time.Now().Add(p.idleTimeout)
	}
	if err := p.conn.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	p.remaining = maxHead
	req, err := http.ReadRequest(p.r)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	if !req.ProtoAtLeast(1, 1) {
		return nil, errProtocol
	}
	p.remaining = math.MaxInt64
	if req.Body != http.NoBody {
		if err := p.conn.SetReadDeadline(time.Time{}); err != nil {
			return nil, errors.Wrap(err, "clear read deadline")
		}
	}
	return req, nil
}

// respond answers req and reports whether another request may follow.
func (p *Responder) respond(req *http.Request, t Tracker) bool {
	t.Begin()
	defer t.End()
	a := newAnswer(p, req)
	p.watch.begin()
	if req.ContentLength == 0 {
		p.watch.arm()
	} else {
		a.body = newBody(req, p.watch)
		req.Body = a.body
	}
	p.handler.ServeHTTP(a, req)
	p.watch.end()
	err := a.end()
	if a.body != nil && !a.body.ended.Load() {
		p.skip(a.body)
	}
	return err == nil && p.ctx.Err() == nil && !a.closes()
}

// skip reads what is left of a request that the handler did not want, since
// closing a connection with unread bytes may destroy the answer on its way.
func (p *Responder) skip(b *body) {
	// On failure the connection is closed all the same.
	if p.conn.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, b, maxDiscard)
	}
}

func (p *Responder) close() {
	p.cancel()
	p.conn.Close()
}
