package relayer

import (
	"fmt"
	"io"
	"net/http"
)

// maxHeldBody is the size, in bytes, up to which the body of a request is held
// in memory, so that it can be sent again after a not-run.
const maxHeldBody = 16 << 10

// HoldBody reads the body of a request into memory if it is small and of known
// length. It returns nil if the body is empty, large or of unknown length.
func HoldBody(r *http.Request) ([]byte, error) {
	if r.ContentLength <= 0 || r.ContentLength > maxHeldBody {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	return body, nil
}

// NewRequest returns the request to send on for r, with the given headers. It
// shares the URL, body and trailers of r.
func NewRequest(r *http.Request, header http.Header) *http.Request {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Keeps net/http from adding its own.
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
