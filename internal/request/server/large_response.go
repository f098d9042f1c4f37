package server

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// minPacedResponse is the size in bytes from which a response is scheduled on the
	// link, so that smaller ones don't wait behind it.
	minPacedResponse = 32 << 10
	// maxBufferedResponse is the maximum number of bytes of a response that are read
	// from the upstream before sending starts, so that its slot is released early.
	maxBufferedResponse = 1 << 20
)

// mayBeLarge reports whether a response is large or of unknown length.
func mayBeLarge(resp *http.Response) bool {
	return resp.Body != http.NoBody && (resp.ContentLength < 0 || resp.ContentLength >= minPacedResponse)
}

// bufferResponse reads up to maxBufferedResponse bytes of the response body, so that the
// upstream's slot is free while the response is sent. A truncated body still ends with
// its error. It returns the number of buffered bytes.
func bufferResponse(resp *http.Response) int {
	var buffer bytes.Buffer
	_, err := io.Copy(&buffer, io.LimitReader(resp.Body, maxBufferedResponse))
	size := buffer.Len()
	resp.Body = &bufferedBody{buffer: &buffer, rest: resp.Body, err: err}
	return size
}

// bufferedBody is a response body whose first bytes are buffered.
type bufferedBody struct {
	buffer *bytes.Buffer
	rest   io.ReadCloser
	err    error // The error that ended buffering; nil at the limit or the end of the body.
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if b.buffer.Len() > 0 {
		return b.buffer.Read(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.rest.Read(p)
}

// Close closes the response.
func (b *bufferedBody) Close() error { return b.rest.Close() }
