package forwarder

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errRevoked is the error of reading a view that was revoked.
var errRevoked = errors.New("view of the request body was revoked")

// streamedBody is a request body that is not buffered in memory. It can be sent only
// once: the first read consumes it.
type streamedBody struct {
	src io.ReadCloser

	mu       sync.Mutex
	current  *bodyView // The view that may read; nil after revoke.
	consumed bool
}

// view returns the body for one attempt and revokes the views of earlier attempts.
func (b *streamedBody) view() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &bodyView{body: b}
	return b.current
}

// revoke revokes the current view unless the body was consumed, and reports whether the
// body was consumed. A failed attempt may still be sending, and must not read bytes that belong to
// the next attempt.
func (b *streamedBody) revoke() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.consumed {
		b.current = nil
	}
	return b.consumed
}

// consume marks the body as consumed if view is current, and reports whether it is.
func (b *streamedBody) consume(view *bodyView) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != view {
		return false
	}
	b.consumed = true
	return true
}

// bodyView is the body that one attempt sends.
type bodyView struct{ body *streamedBody }

// Read implements io.Reader.
func (v *bodyView) Read(p []byte) (int, error) {
	if !v.body.consume(v) {
		return 0, errRevoked
	}
	return v.body.src.Read(p)
}

// Close does nothing: the body belongs to the caller's connection, and another attempt
// may send it.
func (v *bodyView) Close() error { return nil }
