package server

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
)

// timedBody is a streamed request body that measures how long its reads wait for the sender. That
// is not the work of the upstream: a large body may take longer on a slow link.
type timedBody struct {
	io.ReadCloser
	waited atomic.Int64 // Nanoseconds.
}

// timeBody replaces the body of req by a timedBody. It returns nil if the body is held in memory.
func timeBody(req *http.Request) *timedBody {
	if _, inMemory := req.Body.(requester.Buffered); inMemory || req.Body == nil || req.Body == http.NoBody {
		return nil
	}
	b := &timedBody{ReadCloser: req.Body}
	req.Body = b
	return b
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := b.ReadCloser.Read(p)
	b.waited.Add(int64(time.Since(began)))
	return n, err
}

// wait returns how long reads have waited; 0 for nil.
func (b *timedBody) wait() time.Duration {
	if b == nil {
		return 0
	}
	return time.Duration(b.waited.Load())
}
