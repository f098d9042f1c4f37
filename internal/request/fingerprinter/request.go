// Package fingerprinter recognizes a request that is sent again: as a retry, a hedge or a
// resumption, or as a new call with another id at any node.
//
// # Usage
//
//	r := fingerprinter.New(req) // May replace req.Body.
//	if suspects.HasHead(r.Head()) {
//		err := r.ReadStart() // Reads the start of a streamed body.
//	}
//	fingerprint, ok := r.Fingerprint()
//
// Two requests are equal if they have the same method, host, path, query, credentials and body.
// Of a body that is not held in memory only the length and the first StartSize bytes count.
// Fingerprints are digests, so that logs and messages hold no part of a request.
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
)

// StartSize is the number of bytes of a streamed body that count.
const StartSize = 4 << 10

// Request is a request whose fingerprint may be needed later. Its methods are safe for
// concurrent use with reads of the body.
type Request struct {
	req    *http.Request
	stream *streamedBody // Nil if the body is held in memory.

	headOnce sync.Once
	head     Head
}

// New returns req as a Request. It replaces a body that is not held in memory by one that
// keeps its start.
func New(req *http.Request) *Request {
	r := &Request{req: req}
	if _, inMemory := req.Body.(*requester.BytesBody); !inMemory && req.Body != nil && req.Body != http.NoBody {
		r.stream = &streamedBody{ReadCloser: req.Body}
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
	body, length, ok := r.bodyStart()
	if !ok {
		return Fingerprint{}, false
	}
	sum := sha256.New()
	sum.Write(binary.AppendVarint(nil, length))
	sum.Write(body)
	return newFingerprint(r.Head(), sum.Sum(nil)), true
}

// Streamed reports whether the body is not held in memory.
func (r *Request) Streamed() bool { return r.stream != nil }

// ReadStart reads as much of a streamed body as Fingerprint needs. It must be called before
// the body is read otherwise.
func (r *Request) ReadStart() error {
	if r.stream == nil {
		return nil
	}
	return r.stream.readStart()
}

// bodyStart returns the part of the body that counts and the length of the body, -1 if that
// is unknown.
func (r *Request) bodyStart() (start []byte, length int64, ok bool) {
	if r.stream != nil {
		start, ok = r.stream.startSoFar()
		return start, r.req.ContentLength, ok
	}
	body, inMemory := r.req.Body.(*requester.BytesBody)
	if !inMemory {
		return nil, 0, true
	}
	start = make([]byte, body.Size())
	if _, err := body.ReadAt(start, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, 0, false
	}
	return start, body.Size(), true
}
