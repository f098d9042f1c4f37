// Package relayer copies headers and responses from one connection to another.
//
// # Usage
//
//	header := relayer.CopyRequestHeader(r.Header)
//	...
//	if err := relayer.Relay(w, resp); err != nil {
//		relayer.Abort(w, r) // Does not return.
//	}
//
// A truncated response must never look complete to the caller: if Relay fails, the
// connection must be aborted.
package relayer

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferSize is the size in bytes of the buffer that copies a body.
	bufferSize = 32 << 10
	// callerStallTimeout is how long a write to a caller may block. A caller that
	// stopped reading must not hold a slot of the upstream.
	callerStallTimeout = 10 * time.Second
)

// buffers recycles the buffers of CopyBody.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// Relay writes resp to w: its end-to-end headers, its body and its trailers. Other headers
// already set on w are kept. After an error the response is truncated and the caller's
// connection must be aborted.
func Relay(w http.ResponseWriter, resp *http.Response) error {
	WriteResponseHeader(w, resp)
	if _, err := CopyBody(w, resp.Body); err != nil {
		return fmt.Errorf("relay body: %w", err)
	}
	WriteTrailer(w, resp)
	return nil
}

// WriteResponseHeader writes the status and the headers of resp.
func WriteResponseHeader(w http.ResponseWriter, resp *http.Response) {
	CopyResponseHeader(w.Header(), resp.Header)
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}

// WriteTrailer sets the trailers of resp, which are known once its body was read.
func WriteTrailer(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
}

// CopyBody copies src to w and returns the number of bytes written. It flushes after each
// write.
func CopyBody(w http.ResponseWriter, src io.Reader) (int64, error) {
	if src == http.NoBody {
		return 0, nil
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	controller := http.NewResponseController(w)
	// Deadlines and flushes are optional: a writer without deadlines has no connection
	// that could stall, and one that can't be flushed doesn't buffer.
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	var total int64
	for {
		n, readErr := src.Read(*buf)
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(callerStallTimeout))
			written, err := w.Write((*buf)[:n])
			total += int64(written)
			if err != nil {
				return total, &WriteError{cause: err}
			}
		}
		if errors.Is(readErr, io.EOF) {
			return total, nil
		}
		if readErr != nil {
			return total, fmt.Errorf("read body: %w", readErr)
		}
		if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return total, &WriteError{cause: err}
		}
	}
}

// WriteError reports that writing to the caller failed.
type WriteError struct{ cause error }

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("write to caller: %v", e.cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.cause }

// Abort breaks the caller's connection, so that a truncated response doesn't look
// complete. It panics with http.ErrAbortHandler and does not return.
//
// To an HTTP/1.0 caller, a closed connection is the regular end of a response without
// a length. Its connection is reset instead.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection of w with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, Close below still ends the connection.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
