package responder

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxBuffered is how much of a body without a Content-Length is buffered, in bytes. If
// the body ends within it, the response gets a Content-Length instead of chunks.
const maxBuffered = 2 << 10

var (
	errResponseBegun  = errors.New("the response has begun before the request body was asked for")
	errLengthMismatch = errors.New("response body does not match its Content-Length")
)

// responseWriter is the http.ResponseWriter of one request. It writes the head when the
// status is set if the response has no body, a Content-Length or trailers. Otherwise it
// does so once the body exceeds maxBuffered, is flushed or ends.
type responseWriter struct {
	responder     *Responder
	req           *http.Request
	reqBody       *requestBody // Nil if the request has no body.
	header        http.Header
	status        int
	headMu        sync.Mutex // Held while a 100 response is written, which any reader of the body may do.
	headWritten   bool       // Only the handler changes it.
	noBody        bool       // The response has no body; what the handler writes is dropped.
	buffered      []byte     // The part of the body written before the head.
	chunked       bool
	contentLength int64 // The value of Content-Length, or -1.
	written       int64 // Bytes of the body passed to writeBody.
}

func newResponseWriter(r *Responder, req *http.Request) *responseWriter {
	return &responseWriter{responder: r, req: req, header: make(http.Header), contentLength: -1}
}

// Header returns the headers. Once the head is written, only trailers have an effect.
func (rw *responseWriter) Header() http.Header { return rw.header }

// WriteHeader sets the status. Only the first call has an effect.
func (rw *responseWriter) WriteHeader(status int) {
	if rw.status != 0 {
		return
	}
	rw.status = status
	rw.noBody = rw.req.Method == http.MethodHead || status < http.StatusOK ||
		status == http.StatusNoContent || status == http.StatusNotModified
	if length, err := strconv.ParseInt(rw.header.Get("Content-Length"), 10, 64); err == nil {
		rw.contentLength = length
	}
	if rw.noBody || rw.contentLength >= 0 || len(rw.header["Trailer"]) > 0 {
		rw.writeHead()
	}
}

// Write writes or buffers part of the body.
func (rw *responseWriter) Write(b []byte) (int, error) {
	rw.WriteHeader(http.StatusOK)
	if rw.noBody {
		return len(b), nil
	}
	if !rw.headWritten {
		if len(rw.buffered)+len(b) <= maxBuffered {
			rw.buffered = append(rw.buffered, b...)
			return len(b), nil
		}
		rw.writeHead()
	}
	return rw.writeBody(b)
}

// FlushError sends all data written so far.
func (rw *responseWriter) FlushError() error {
	rw.WriteHeader(http.StatusOK)
	if !rw.headWritten {
		rw.writeHead()
	}
	return errors.Wrap(rw.responder.writer.Flush(), "flush response")
}

// SetWriteDeadline sets the deadline for the writes that follow.
func (rw *responseWriter) SetWriteDeadline(t time.Time) error {
	return rw.responder.setWriteDeadline(t)
}

// SetReadDeadline sets the deadline for reading the request.
func (rw *responseWriter) SetReadDeadline(t time.Time) error {
	return errors.Wrap(rw.responder.conn.SetReadDeadline(t), "set read deadline")
}

// sendContinue asks the client for the body of the request. Once the head of the response is
// written, it fails: the client would take the 100 response for a part of that.
func (rw *responseWriter) sendContinue() error {
	rw.headMu.Lock()
	defer rw.headMu.Unlock()
	if rw.headWritten {
		return errResponseBegun
	}
	if _, err := rw.responder.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return errors.Wrap(err, "write 100 response")
	}
	return errors.Wrap(rw.responder.writer.Flush(), "flush 100 response")
}

// WriteInformational sends an informational response with the given header, unless the head
// of the response was written, and reports whether it did. An error recurs at the next write.
func (rw *responseWriter) WriteInformational(status int, header http.Header) bool {
	rw.headMu.Lock()
	defer rw.headMu.Unlock()
	if rw.headWritten {
		return false
	}
	w := rw.responder.writer
	fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = header.Write(w)
	_, _ = w.WriteString("\r\n")
	_ = w.Flush()
	return true
}

// writeHead writes the head and the buffered part of the body. A body without a
// Content-Length is sent in chunks. Errors are ignored here: the bufio.Writer returns
// them from Flush.
func (rw *responseWriter) writeHead() {
	rw.headMu.Lock()
	rw.headWritten = true
	rw.headMu.Unlock()
	if rw.reqBody != nil && !rw.reqBody.ended.Load() {
		rw.header["Connection"] = []string{"close"}
	}
	w := rw.responder.writer
	fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", rw.status, http.StatusText(rw.status))
	_ = rw.header.Write(w)
	if !rw.noBody && rw.contentLength < 0 {
		rw.chunked = true
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if len(rw.buffered) > 0 {
		_, _ = rw.writeBody(rw.buffered)
	}
}

// writeBody writes b as part of the body. It fails if the body gets longer than its
// Content-Length.
func (rw *responseWriter) writeBody(b []byte) (int, error) {
	rw.written += int64(len(b))
	if rw.chunked {
		return rw.writeChunk(b)
	}
	if rw.written > rw.contentLength {
		return 0, errLengthMismatch
	}
	n, err := rw.responder.writer.Write(b)
	return n, errors.Wrap(err, "write body")
}

// writeChunk writes b as one chunk. It writes nothing if b is empty, since an empty
// chunk would end the body.
func (rw *responseWriter) writeChunk(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	w := rw.responder.writer
	fmt.Fprintf(w, "%x\r\n", len(b))
	n, err := w.Write(b)
	if err != nil {
		return n, errors.Wrap(err, "write chunk")
	}
	_, err = w.WriteString("\r\n")
	return n, errors.Wrap(err, "end chunk")
}

// finish sends the rest of the response. If it fails, the response is incomplete.
func (rw *responseWriter) finish() error {
	rw.WriteHeader(http.StatusOK)
	if !rw.headWritten {
		rw.contentLength = int64(len(rw.buffered))
		rw.header["Content-Length"] = []string{strconv.FormatInt(rw.contentLength, 10)}
		rw.writeHead()
	}
	if !rw.chunked && !rw.noBody && rw.written != rw.contentLength {
		return errLengthMismatch
	}
	if err := rw.endChunks(); err != nil {
		return fmt.Errorf("end chunks: %w", err)
	}
	if rw.chunked || rw.written > bufferSize {
		_ = rw.SetWriteDeadline(time.Now().Add(flushTimeout))
		defer func() { _ = rw.SetWriteDeadline(time.Time{}) }()
	}
	return errors.Wrap(rw.responder.writer.Flush(), "flush response")
}

// endChunks writes the last chunk and the trailers announced in the Trailer header.
func (rw *responseWriter) endChunks() error {
	if !rw.chunked {
		return nil
	}
	if _, err := rw.responder.writer.WriteString("0\r\n"); err != nil {
		return errors.Wrap(err, "write last chunk")
	}
	trailer := make(http.Header)
	for _, name := range rw.header["Trailer"] {
		trailer[name] = rw.header[name]
	}
	if err := trailer.Write(rw.responder.writer); err != nil {
		return errors.Wrap(err, "write trailer")
	}
	_, err := rw.responder.writer.WriteString("\r\n")
	return errors.Wrap(err, "write end of trailer")
}

// closesConnection reports whether the connection is to be closed after this response.
func (rw *responseWriter) closesConnection() bool {
	return rw.req.Close || rw.header.Get("Connection") == "close"
}
