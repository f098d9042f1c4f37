package forwarder

import (
	"bytes"
	"io"
	"net/http"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
)

// maxBufferedResponse is the size in bytes up to which a response body is received
// completely before the response header is relayed. Until then, a truncated response can
// still be retried or replaced by a refusal.
const maxBufferedResponse = 4 << 10

// bufferResponse receives the complete body of a small response, and the first byte of
// a larger one of known length. If the read fails, it closes the body and returns the
// refusal that replaces the response.
func bufferResponse(resp *http.Response) *refuser.Refusal {
	if resp.Body == http.NoBody || resp.ContentLength <= 0 {
		return nil
	}
	buffered := make([]byte, 1)
	if resp.ContentLength <= maxBufferedResponse {
		buffered = make([]byte, resp.ContentLength)
	}
	if _, err := io.ReadFull(resp.Body, buffered); err != nil {
		resp.Body.Close()
		return refuser.FromError(err)
	}
	complete := int64(len(buffered)) == resp.ContentLength
	b := &bufferedBody{buffered: buffered, complete: complete, rest: resp.Body}
	b.unread.Reset(buffered)
	resp.Body = b
	return nil
}

// buffered reports whether the complete body of a response was received.
func buffered(resp *http.Response) bool {
	if closer, ok := resp.Body.(*onCloseBody); ok {
		b, ok := closer.ReadCloser.(*bufferedBody)
		return closer.ReadCloser == http.NoBody || ok && b.complete
	}
	b, ok := resp.Body.(*bufferedBody)
	return resp.Body == http.NoBody || ok && b.complete
}

// bufferedBody is a response body whose first bytes, or all of them, are buffered.
type bufferedBody struct {
	buffered []byte
	complete bool          // Reports whether buffered holds the complete body.
	unread   bytes.Reader  // The part of buffered that is not read yet.
	rest     io.ReadCloser // The body after buffered.
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if b.unread.Len() == 0 {
		return b.rest.Read(p)
	}
	n, err := b.unread.Read(p)
	if b.complete && b.unread.Len() == 0 {
		return n, io.EOF
	}
	return n, err
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error { return b.rest.Close() }
