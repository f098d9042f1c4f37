package forwarder

import (
	"bytes"
	"io"
	"net/http"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
)

// maxHeldAnswer is the size, in bytes, up to which the body of an answer is
// received whole before its head is passed on. Until then a truncated answer
// can be turned into a typed failure, or be tried again.
const maxHeldAnswer = 4 << 10

// holdAnswer receives a small answer whole, and the first byte of a larger one
// of known length. It returns nil, or the refusal that replaces the answer.
func holdAnswer(resp *http.Response) *refuser.Refusal {
	if resp.Body == http.NoBody || resp.ContentLength <= 0 {
		return nil
	}
	held := make([]byte, 1)
	if resp.ContentLength <= maxHeldAnswer {
		held = make([]byte, resp.ContentLength)
	}
	if _, err := io.ReadFull(resp.Body, held); err != nil {
		resp.Body.Close()
		return refuser.FromError(err)
	}
	whole := int64(len(held)) == resp.ContentLength
	b := &heldBody{held: held, whole: whole, rest: resp.Body}
	b.first.Reset(held)
	resp.Body = b
	return nil
}

// heldBody is a body whose first bytes were received already.
type heldBody struct {
	held  []byte
	whole bool // All of the body is held.
	first bytes.Reader
	rest  io.ReadCloser
}

// Read reads the body.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.first.Len() == 0 {
		return b.rest.Read(p)
	}
	n, err := b.first.Read(p)
	if b.whole && b.first.Len() == 0 {
		return n, io.EOF
	}
	return n, err
}

// Close ends the answer.
func (b *heldBody) Close() error { return b.rest.Close() }
