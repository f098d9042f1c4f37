package forwarder

import (
	"io"
	"sync/atomic"
)

// streamedBody is the body of a request that is not held in memory. It can be
// sent once only: an attempt spends it with its first read.
type streamedBody struct {
	io.ReadCloser
	spent atomic.Bool
}

// Read reads the body.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.spent.Store(true)
	return b.ReadCloser.Read(p)
}

// Close keeps the body open: it belongs to the caller's connection, and
// another attempt may need it.
func (b *streamedBody) Close() error { return nil }
