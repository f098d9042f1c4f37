package forwarder

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errRevoked reports that an attempt reads a body that was taken from it.
var errRevoked = errors.New("body belongs to a later attempt")

// streamedBody is the body of a request that is not held in memory. It can be
// sent once only: the first read spends it.
type streamedBody struct {
	src io.ReadCloser

	mu    sync.Mutex
	owner *bodyView
	spent bool
}

// view returns the body for one attempt. The views of earlier attempts end.
func (b *streamedBody) view() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner = &bodyView{body: b}
	return b.owner
}

// revoke ends the current view unless it has been read from, and reports
// whether it has. An attempt that failed may still have a sender at work,
// which must not take bytes from the next one.
func (b *streamedBody) revoke() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.spent {
		b.owner = nil
	}
	return b.spent
}

// spend marks the body as spent by a view, and reports whether the view may read.
func (b *streamedBody) spend(v *bodyView) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner != v {
		return false
	}
	b.spent = true
	return true
}

// bodyView is the body of a request as one attempt sees it.
type bodyView struct{ body *streamedBody }

// Read reads the body.
func (v *bodyView) Read(p []byte) (int, error) {
	if !v.body.spend(v) {
		return 0, errRevoked
	}
	return v.body.src.Read(p)
}

// Close keeps the body open: it belongs to the caller's connection, and
// another attempt may need it.
func (v *bodyView) Close() error { return nil }
