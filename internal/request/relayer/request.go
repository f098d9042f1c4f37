package relayer

import (
	"fmt"
	"io"
	"net/http"
)

// maxBufferedBody is the size in bytes up to which a request body is kept in memory, so
// that a retry can send it again.
const maxBufferedBody = 16 << 10

// BufferBody reads the body of a request into memory if it is small and of known length.
// It returns nil if the body is empty, large or of unknown length.
func BufferBody(r *http.Request) ([]byte, error) {
	if r.ContentLength <= 0 || r.ContentLength > maxBufferedBody {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	return body, nil
}

// NewRequest returns a copy of r for the next hop, with the given headers. It shares the
// URL, body and trailers of r.
func NewRequest(r *http.Request, header http.Header) *http.Request {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Prevents net/http from adding its own.
	}
	return &http.Request{
		Method:           r.Method,
		URL:              r.URL,
		Host:             r.Host,
		Header:           header,
		Body:             r.Body,
		ContentLength:    r.ContentLength,
		TransferEncoding: r.TransferEncoding,
		Trailer:          r.Trailer,
	}
}
