package responder

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxHeld is the size, in bytes, up to which a body without a length is held,
// so that its length can be told if it ends before.
const maxHeld = 2 << 10

var errLength = errors.New("answer is shorter or longer than its length")

// answer is the http.ResponseWriter of one request. Its headers are written
// when the status is set, or, if the length is not known then, with the body.
type answer struct {
	responder *Responder
	req       *http.Request
	body      *body // The request's, or nil if it has none.
	header    http.Header
	status    int
	started   bool // The head was written.
	bodyless  bool // The answer has no body, whatever is written to it.
	held      []byte
	chunked   bool
	length    int64 // The length that the head tells, or -1.
	written   int64
}

func newAnswer(p *Responder, req *http.Request) *answer {
	return &answer{responder: p, req: req, header: make(http.Header), length: -1}
}

// Header returns the headers. After WriteHeader only trailers count.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status, once.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 {
		return
	}
	a.status = status
	a.bodyless = a.req.Method == http.MethodHead || status < http.StatusOK ||
		status == http.StatusNoContent || status == http.StatusNotModified
	if length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64); err == nil {
		a.length = length
	}
	if a.bodyless || a.length >= 0 || len(a.header["Trailer"]) > 0 {
		a.start()
	}
}

// Write writes a piece of the body.
func (a *answer) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.bodyless {
		return len(b), nil
	}
	if !a.started {
		if len(a.held)+len(b) <= maxHeld {
			a.held = append(a.held, b...)
			return len(b), nil
		}
		a.start()
	}
	return a.write(b)
}

// FlushError sends what was written.
func (a *answer) FlushError() error {
	a.WriteHeader(http.StatusOK)
	if !a.started {
		a.start()
	}
	return errors.Wrap(a.responder.w.Flush(), "flush answer")
}

// SetWriteDeadline sets the deadline for the writes that follow.
func (a *answer) SetWriteDeadline(t time.Time) error { return a.responder.setWriteDeadline(t) }

// SetReadDeadline sets the deadline for reading the request.
func (a *answer) SetReadDeadline(t time.Time) error {
	return errors.Wrap(a.responder.conn.SetReadDeadline(t), "set read deadline")
}

// start writes the head, and what is held of the body. A body whose length
// the head does not tell is sent in chunks. An error is kept by the buffer and
// comes back at its flush.
func (a *answer) start() {
	a.started = true
	if a.body != nil && !a.body.ended.Load() {
		a.header["Connection"] = []string{"close"}
	}
	w := a.responder.w
	fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", a.status, http.StatusText(a.status))
	_ = a.header.Write(w)
	if !a.bodyless && a.length < 0 {
		a.chunked = true
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if len(a.held) > 0 {
		_, _ = a.write(a.held)
	}
}

func (a *answer) write(b []byte) (int, error) {
	a.written += int64(len(b))
	if a.chunked {
		return a.writeChunk(b)
	}
	if a.written > a.length {
		return 0, errLength
	}
	n, err := a.responder.w.Write(b)
	return n, errors.Wrap(err, "write body")
}

// writeChunk frames b. An empty chunk would end the body.
func (a *answer) writeChunk(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	w := a.responder.w
	fmt.Fprintf(w, "%x\r\n", len(b))
	n, err := w.Write(b)
	if err != nil {
		return n, errors.Wrap(err, "write chunk")
	}
	_, err = w.WriteString("\r\n")
	return n, errors.Wrap(err, "end chunk")
}

// end sends the rest of the answer. After an error the answer is not whole.
func (a *answer) end() error {
	a.WriteHeader(http.StatusOK)
	if !a.started {
		a.length = int64(len(a.held))
		a.header["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
		a.start()
	}
	if !a.chunked && !a.bodyless && a.written != a.length {
		return errLength
	}
	if err := a.endChunks(); err != nil {
		return fmt.Errorf("end chunks: %w", err)
	}
	if a.chunked || a.written > bufferSize {
		_ = a.SetWriteDeadline(time.Now().Add(flushTimeout))
		defer func() { _ = a.SetWriteDeadline(time.Time{}) }()
	}
	return errors.Wrap(a.responder.w.Flush(), "flush answer")
}

// endChunks writes the last chunk and the trailers that were announced.
func (a *answer) endChunks() error {
	if !a.chunked {
		return nil
	}
	if _, err := a.responder.w.WriteString("0\r\n"); err != nil {
		return errors.Wrap(err, "write last chunk")
	}
	trailer := make(http.Header)
	for _, name := range a.header["Trailer"] {
		trailer[name] = a.header[name]
	}
	if err := trailer.Write(a.responder.w); err != nil {
		return errors.Wrap(err, "write trailer")
	}
	_, err := a.responder.w.WriteString("\r\n")
	return errors.Wrap(err, "write end")
}

// closes reports whether the connection ends with this answer.
func (a *answer) closes() bool { return a.req.Close || a.header.Get("Connection") == "close" }
