package fingerprinter

import (
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// streamedBody is a request body that keeps its first StartSize bytes.
type streamedBody struct {
	io.ReadCloser

	mu     sync.Mutex
	start  []byte
	unread []byte // The end of start that readStart has read and Read has not returned.
	ended  bool   // Whether the body ended within start.
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if len(b.unread) > 0 {
		defer b.mu.Unlock()
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// readStart reads the start of the body, which Read returns later.
func (b *streamedBody) readStart() error {
	start := make([]byte, StartSize)
	n, err := io.ReadFull(b.ReadCloser, start)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start = start[:n]
	b.unread = start[:n]
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		b.ended = true
	case err != nil:
		return fmt.Errorf("read the start of the body: %w", err)
	}
	return nil
}

// keep appends p to the start, as far as that is short.
func (b *streamedBody) keep(p []byte) {
	if missing := StartSize - len(b.start); missing > 0 {
		b.start = append(b.start, p[:min(len(p), missing)]...)
	}
}

// startSoFar returns the start of the body, and whether it is complete.
func (b *streamedBody) startSoFar() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start, b.ended || len(b.start) == StartSize
}
