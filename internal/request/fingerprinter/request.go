// Package fingerprinter recognizes a request that is sent again: as a retry, a hedge or a
// resumption, or as a new call with another id at any node.
//
// # Usage
//
//	r := fingerprinter.New(req) // May replace req.Body.
//	if suspects.MayHold(r) {
//		err := r.Buffer(take) // Reads a streamed body into memory.
//	}
//	fingerprint, ok := r.Fingerprint()
//
// Two requests are equal if they have the same method, host, path, query, credentials and body.
// Of a body the length, if the request names it, and the first CountedSize bytes count.
// Fingerprints are digests, so that logs and messages hold no part of a request.
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
)

// Sizes in bytes.
const (
	// CountedSize is the number of bytes of a body that count.
	CountedSize = 1 << 20
	// firstBuffer is the first part of a body of unknown length that Buffer holds.
	firstBuffer = 16 << 10
	// dropBuffer is how much is read at once if it is dropped.
	dropBuffer = 16 << 10
)

// ErrNoMemory means that there is no memory to hold a body.
var ErrNoMemory = errors.New("no memory for the body")

// Request is a request whose fingerprint may be needed later. Its methods are safe for
// concurrent use with reads of the body.
type Request struct {
	req    *http.Request
	stream *streamedBody // Nil if the body is held in memory.

	headOnce sync.Once
	head     Head
	// inMemory returns the fingerprint of a request whose body is held in memory.
	inMemory func() (Fingerprint, bool)
}

// New returns req as a Request. It replaces a body that is not held in memory by one that
// computes its digest while it is read.
func New(req *http.Request) *Request {
	r := &Request{req: req}
	r.inMemory = sync.OnceValues(r.fingerprintInMemory)
	if _, inMemory := req.Body.(*requester.BytesBody); !inMemory && req.Body != nil && req.Body != http.NoBody {
		r.stream = newStreamedBody(req.Body, req.ContentLength)
		req.Body = r.stream
	}
	return r
}

// Head returns the digest of the request without its body.
func (r *Request) Head() Head {
	r.headOnce.Do(func() { r.head = HeadOf(r.req) })
	return r.head
}

// Fingerprint returns the fingerprint. It returns false if too little of a streamed body has
// been read.
func (r *Request) Fingerprint() (Fingerprint, bool) {
	if r.stream != nil {
		sum, ok := r.stream.sum()
		return newFingerprint(r.Head(), sum), ok
	}
	return r.inMemory()
}

// Streamed reports whether the body is not held in memory.
func (r *Request) Streamed() bool { return r.stream != nil }

// Buffer reads as much of a streamed body as Fingerprint needs into memory. It must be called
// before the body is read otherwise. It calls take before it holds n more bytes, and returns
// ErrNoMemory if that returns false.
func (r *Request) Buffer(take func(n int) bool) error {
	if r.stream == nil {
		return nil
	}
	return r.stream.buffer(take)
}

// ReadOn reads as much of a streamed body as Fingerprint needs, for at most the given time, and
// drops it. It is for a request that will not be sent any more.
func (r *Request) ReadOn(timeout time.Duration) {
	if r.stream == nil {
		return
	}
	if _, ok := r.Fingerprint(); ok {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.stream.readOn() // If it fails, Fingerprint returns false.
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// Held returns the whole body if Buffer has read all of it and nothing else has read it since. It
// must not be modified.
func (r *Request) Held() ([]byte, bool) {
	if r.stream == nil {
		return nil, false
	}
	return r.stream.held()
}

func (r *Request) fingerprintInMemory() (Fingerprint, bool) {
	counted := binary.AppendVarint(nil, r.req.ContentLength)
	if r.req.Body == nil || r.req.Body == http.NoBody {
		counted = binary.AppendVarint(nil, 0)
	}
	if body, ok := r.req.Body.(*requester.BytesBody); ok {
		start := make([]byte, min(body.Size(), CountedSize))
		if _, err := body.ReadAt(start, 0); err != nil && !errors.Is(err, io.EOF) {
			return Fingerprint{}, false
		}
		counted = append(counted, start...)
	}
	sum := sha256.Sum256(counted)
	return newFingerprint(r.Head(), sum[:]), true
}
