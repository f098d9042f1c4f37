// Package relayer passes headers and answers on from one connection to another.
//
// # Usage
//
//	header := relayer.CopyRequestHeader(r.Header)
//	...
//	if err := relayer.Relay(w, resp); err != nil {
//		relayer.Abort(w, r) // Does not return.
//	}
//
// An answer that is not whole must never look whole to the caller: after an
// error of Relay the connection has to be aborted.
package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferSize is how many bytes of a body are passed on at once.
	bufferSize = 32 << 10
	// callerStallTimeout is how long a caller may take nothing of its answer.
	// A caller that stopped reading must not hold a slot of the upstream.
	callerStallTimeout = 10 * time.Second
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// Relay writes resp to w: its end-to-end headers, its body and its trailers.
// Headers that w has already stay. After an error the answer is not whole and
// the caller's connection must be aborted.
func Relay(w http.ResponseWriter, resp *http.Response) error {
	WriteHead(w, resp)
	if _, err := CopyBody(w, resp.Body); err != nil {
		return fmt.Errorf("relay body: %w", err)
	}
	WriteTrailer(w, resp)
	return nil
}

// WriteHead writes the status and the headers of resp.
func WriteHead(w http.ResponseWriter, resp *http.Response) {
	CopyResponseHeader(w.Header(), resp.Header)
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}

// WriteTrailer writes the trailers of resp, which are known after its body.
func WriteTrailer(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
}

// CopyBody copies src to w and returns how many bytes it wrote. It hands each
// piece on before it waits for the next.
func CopyBody(w http.ResponseWriter, src io.Reader) (int64, error) {
	if src == http.NoBody {
		return 0, nil
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	control := http.NewResponseController(w)
	// A writer that takes no deadline belongs to no connection that could
	// stall; one that cannot be flushed keeps nothing back.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	var total int64
	for {
		n, readErr := src.Read(*buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(callerStallTimeout))
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
		if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return total, &WriteError{cause: err}
		}
	}
}

// WriteError reports that the caller could not be written to.
type WriteError struct{ cause error }

// Error returns the cause.
func (e *WriteError) Error() string { return fmt.Sprintf("write to caller: %v", e.cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.cause }

// Abort breaks the caller's connection, so that the answer cannot be taken
// for a whole one. It panics with http.ErrAbortHandler and does not return.
//
// A caller that speaks HTTP/1.0 takes a closed connection for the end of an
// answer without length. It gets a reset instead.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// On failure the close below still ends the connection.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
