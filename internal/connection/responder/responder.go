// Package responder serves the requests of another node on one connection. It takes
// over the connection from net/http together with the first request.
//
// # Usage
//
//	func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
//		if rs := responder.Hijack(w, r); rs != nil {
//			rs.Serve(r, s) // Returns when the connection has ended.
//			return
//		}
//		// Handle r.
//	}
//
// net/http reads from the connection while each handler runs, to detect that the
// client has disconnected. This starts a goroutine and wakes further threads for each
// request. A Responder does so only if a handler takes longer than watchDelay.
//
// Each request, including the first one, is passed to the handler of the http.Server
// that accepted the connection. If the handler panics, the connection is closed and
// the response is left incomplete.
package responder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/fieldchecker"
)

const (
	// watchDelay is how long the handler of a fully received request runs before the
	// connection is watched for a disconnect.
	watchDelay = 5 * time.Millisecond
	// discardTimeout limits how long an unread request body is discarded.
	discardTimeout = 500 * time.Millisecond
	// maxDiscard limits how much of an unread request body is discarded, in bytes.
	maxDiscard = 256 << 10
	// maxHeadSize limits the head of a request, in bytes.
	maxHeadSize = 1 << 20
	// flushTimeout limits how long the final flush of a large or chunked response may
	// block.
	flushTimeout = 10 * time.Second
	// bufferSize is the size of the read buffer and of the write buffer, in bytes.
	bufferSize = 4 << 10
)

var (
	errHeadTooLarge = errors.New("request head is too large")
	errProtocol     = errors.New("request is not HTTP/1.1")
)

// Tracker counts the requests in progress.
type Tracker interface {
	// BeginRequest is called before the handler of a request.
	BeginRequest()
	// EndRequest is called once the response is written or abandoned.
	EndRequest()
}

// stateRecorder is a connection that records whether it serves a request.
type stateRecorder interface {
	// SetActive is called once the head of a request was read.
	SetActive()
	// SetIdle is called once a response was written and the next request is awaited.
	SetIdle()
}

// noRecorder is used for connections that record nothing.
type noRecorder struct{}

func (noRecorder) SetActive() {}
func (noRecorder) SetIdle()   {}

// Responder serves the requests on one connection.
type Responder struct {
	conn        net.Conn
	recorder    stateRecorder // Of conn.
	handler     http.Handler
	idleTimeout time.Duration // Limits the wait for the next request; 0 means no limit.
	ctx         context.Context
	cancel      context.CancelFunc
	watcher     *disconnectWatcher
	reader      *bufio.Reader
	writer      *bufio.Writer
	// readAhead holds bytes that net/http or the watcher has read from the next request.
	readAhead []byte
	// readLimit is how many more bytes may be read from the connection: maxHeadSize at
	// the start of a head, MaxInt64 after it.
	readLimit int64
	// writeDeadline is set on the connection by the next write; zero for none.
	writeDeadline time.Time
	// hasWriteDeadline is true while the connection has a write deadline.
	hasWriteDeadline bool
}

// Hijack takes over the connection of r from net/http. It returns nil if that is not
// possible; w and r are then unchanged. The body of r must be empty or fully read,
// and nothing may have been written to w.
func Hijack(w http.ResponseWriter, r *http.Request) *Responder {
	srv, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if !ok || srv.Handler == nil || !CanHijack(w, r) {
		return nil
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	rs := &Responder{conn: conn, recorder: noRecorder{}, handler: srv.Handler, idleTimeout: srv.IdleTimeout}
	if recorder, ok := conn.(stateRecorder); ok {
		rs.recorder = recorder
	}
	rs.ctx, rs.cancel = context.WithCancel(context.Background())
	rs.watcher = newDisconnectWatcher(rs)
	// Peeking at what is already buffered cannot fail.
	buffered, _ := rw.Peek(rw.Reader.Buffered())
	rs.readAhead = append(rs.readAhead, buffered...)
	rs.reader = bufio.NewReaderSize(rs, bufferSize)
	rs.writer = bufio.NewWriterSize(rs, bufferSize)
	return rs
}

// CanHijack reports whether the connection of r can be taken over.
func CanHijack(w http.ResponseWriter, r *http.Request) bool {
	_, ok := w.(http.Hijacker)
	return ok && r.ProtoAtLeast(1, 1) && !r.Close && w.Header().Get("Connection") == ""
}

// Serve handles first, and then the requests that follow on the connection, until it
// ends. It closes the connection, even if a handler panics.
func (r *Responder) Serve(first *http.Request, tracker Tracker) {
	defer r.close()
	for req := first; req != nil && r.respond(req.WithContext(r.ctx), tracker); {
		// An error is treated like EOF, since no handler has started.
		req, _ = r.readRequest()
	}
}

// Read returns the data in readAhead first, and then receives up to readLimit bytes.
func (r *Responder) Read(b []byte) (int, error) {
	if r.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	b = b[:min(int64(len(b)), r.readLimit)]
	if len(r.readAhead) > 0 {
		n := copy(b, r.readAhead)
		r.readAhead = r.readAhead[n:]
		return n, nil
	}
	n, err := r.conn.Read(b)
	r.readLimit -= int64(n)
	return n, err
}

// Write sends b, subject to the write deadline.
func (r *Responder) Write(b []byte) (int, error) {
	if !r.writeDeadline.IsZero() {
		if err := r.conn.SetWriteDeadline(r.writeDeadline); err != nil {
			return 0, errors.Wrap(err, "set write deadline")
		}
		r.hasWriteDeadline = true
	}
	return r.conn.Write(b)
}

// setWriteDeadline sets the deadline of the writes that follow. Only the next write sets
// it on the connection: a small response stays in the buffer until the handler has
// cleared the deadline again, and then needs none.
func (r *Responder) setWriteDeadline(t time.Time) error {
	r.writeDeadline = t
	if !t.IsZero() || !r.hasWriteDeadline {
		return nil
	}
	r.hasWriteDeadline = false
	return errors.Wrap(r.conn.SetWriteDeadline(t), "clear write deadline")
}

// readRequest waits for the next request and reads its head.
func (r *Responder) readRequest() (*http.Request, error) {
	deadline := time.Time{}
	if r.idleTimeout > 0 {
		deadline = time.Now().Add(r.idleTimeout)
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	r.readLimit = maxHeadSize
	r.recorder.SetIdle()
	req, err := http.ReadRequest(r.reader)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	if !req.ProtoAtLeast(1, 1) {
		return nil, errProtocol
	}
	if err := fieldchecker.Check(req.Header); err != nil {
		return nil, fmt.Errorf("check header: %w", err)
	}
	r.readLimit = math.MaxInt64
	r.recorder.SetActive()
	if req.Body != http.NoBody {
		if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
			return nil, errors.Wrap(err, "clear read deadline")
		}
	}
	return req, nil
}

// respond runs the handler for req, completes the response and reports whether another
// request may follow on the connection.
func (r *Responder) respond(req *http.Request, tracker Tracker) bool {
	tracker.BeginRequest()
	defer tracker.EndRequest()
	w := newResponseWriter(r, req)
	r.watcher.beginRequest()
	if req.ContentLength == 0 {
		r.watcher.arm()
	} else {
		w.reqBody = newRequestBody(req, r.watcher)
		if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
			w.reqBody.sendContinue = w.sendContinue
			w.reqBody.awaited.Store(true)
		}
		req.Body = w.reqBody
	}
	r.handler.ServeHTTP(w, req)
	r.watcher.endRequest()
	err := w.finish()
	if w.reqBody != nil && !w.reqBody.ended.Load() && !w.reqBody.awaited.Load() {
		r.discardBody(w.reqBody)
	}
	return err == nil && r.ctx.Err() == nil && !w.closesConnection()
}

// discardBody reads the rest of a request body that the handler has not read. Closing
// a connection with unread data sends a reset, and the client may then lose the
// response.
func (r *Responder) discardBody(b *requestBody) {
	// Errors don't matter: the connection is closed afterwards.
	if r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, b, maxDiscard)
	}
}

// close closes the connection and ends the context of its requests.
func (r *Responder) close() {
	r.cancel()
	r.conn.Close()
}
