package relayer

import (
	"net/http"
)

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
