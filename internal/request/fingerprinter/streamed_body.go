package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// streamedBody is a request body that computes its digest while it is read.
type streamedBody struct {
	io.ReadCloser
	length int64 // -1 if it is unknown.

	readMu sync.Mutex // Held while the body is read, which may block.

	mu      sync.Mutex // Guards the fields below.
	digest  hash.Hash
	counted int    // The bytes in digest, at most CountedSize.
	unread  []byte // What Buffer has read and Read has not returned.
	ended   bool
}

// newStreamedBody returns the body src of the given length, which is -1 if it is unknown.
func newStreamedBody(src io.ReadCloser, length int64) *streamedBody {
	b := &streamedBody{ReadCloser: src, length: length, digest: sha256.New()}
	b.digest.Write(binary.AppendVarint(nil, length)) // Never fails.
	return b
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if n := b.readBuffered(p); n > 0 {
		return n, nil
	}
	return b.readSource(p)
}

// readBuffered copies what was read ahead to p.
func (b *streamedBody) readBuffered(p []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := copy(p, b.unread)
	if b.unread = b.unread[n:]; len(b.unread) == 0 {
		b.unread = nil
	}
	return n
}

// readSource reads the underlying body. readMu must be held.
func (b *streamedBody) readSource(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := p[:min(n, CountedSize-b.counted)]
	b.digest.Write(counted) // Never fails.
	b.counted += len(counted)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// buffer reads the part of the body that counts, which Read returns later. take must return true
// before as many more bytes are held.
func (b *streamedBody) buffer(take func(n int) bool) error {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	size := firstBuffer
	if b.length >= 0 {
		size = int(min(b.length+1, CountedSize)) // One more byte, since the read of the end needs room.
	}
	var held []byte
	for !b.complete() {
		if len(held) == cap(held) {
			if !take(size - cap(held)) {
				return ErrNoMemory
			}
			held = append(make([]byte, 0, size), held...)
			size = min(2*size, CountedSize)
		}
		n, err := b.readSource(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read the body: %w", err)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread = held
	return nil
}

// held returns what buffer has read if that is all of the body and still unread.
func (b *streamedBody) held() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unread, b.ended && len(b.unread) == b.counted
}

// readOn reads the part of the body that counts and drops it.
func (b *streamedBody) readOn() error {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	p := make([]byte, dropBuffer)
	for !b.complete() {
		if _, err := b.readSource(p); err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read the rest of the body: %w", err)
		}
	}
	return nil
}

// complete reports whether all that counts has been read.
func (b *streamedBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended || b.counted == CountedSize
}

// sum returns the digest of the body, and whether all that counts has been read.
func (b *streamedBody) sum() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	complete := b.ended || b.counted == CountedSize || int64(b.counted) == b.length
	return b.digest.Sum(nil), complete
}
