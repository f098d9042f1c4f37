package server

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// largeAnswer is the size, in bytes, from which on an answer is sent in turn
	// with others: smaller ones must not wait on the link behind large ones.
	largeAnswer = 32 << 10
	// maxBufferedAnswer bounds how much of one answer is taken from the upstream
	// before it is sent on, so that the upstream is free again.
	maxBufferedAnswer = 1 << 20
)

// mayBeLarge reports whether an answer is large, or does not say.
func mayBeLarge(resp *http.Response) bool {
	return resp.Body != http.NoBody && (resp.ContentLength < 0 || resp.ContentLength >= largeAnswer)
}

// takeIn reads the body of an answer as fast as the upstream gives it, up to
// maxBufferedAnswer, so that its slot is free while the answer is sent on. What
// ends early still ends with the error that tells so. It returns how many bytes
// it holds.
func takeIn(resp *http.Response) int {
	var held bytes.Buffer
	_, err := io.Copy(&held, io.LimitReader(resp.Body, maxBufferedAnswer))
	size := held.Len()
	resp.Body = &bufferedBody{held: &held, rest: resp.Body, err: err}
	return size
}

// bufferedBody is a body of which the first part is held.
type bufferedBody struct {
	held *bytes.Buffer
	rest io.ReadCloser
	err  error // How reading ended before the held part was full; nil if it did not.
}

// Read reads the body.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if b.held.Len() > 0 {
		return b.held.Read(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.rest.Read(p)
}

// Close ends the answer.
func (b *bufferedBody) Close() error { return b.rest.Close() }
