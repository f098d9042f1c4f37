package responder

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// requestBody is the body of a request. It arms the watcher at its end.
type requestBody struct {
	io.ReadCloser
	watcher   *disconnectWatcher
	remaining atomic.Int64 // Bytes not yet read, counted from MaxInt64 if the length is unknown.
	ended     atomic.Bool
	// sendContinue sends the 100 response that the client awaits before it sends the body; nil if
	// it awaits none.
	sendContinue func() error
	// awaited reports whether the client may still await the 100 response.
	awaited atomic.Bool
}

func newRequestBody(req *http.Request, w *disconnectWatcher) *requestBody {
	b := &requestBody{ReadCloser: req.Body, watcher: w}
	b.remaining.Store(math.MaxInt64)
	if req.ContentLength > 0 {
		b.remaining.Store(req.ContentLength)
	}
	return b
}

// Read reads the body and detects its end. The first call sends the 100 response if the client
// awaits it. If the length is known, the end is the last byte, since the handler may not read on to
// io.EOF.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.awaited.Load() {
		if err := b.sendContinue(); err != nil {
			return 0, fmt.Errorf("ask for the body: %w", err)
		}
		b.awaited.Store(false)
	}
	n, err := b.ReadCloser.Read(p)
	if b.remaining.Add(-int64(n)) == 0 || errors.Is(err, io.EOF) {
		b.ended.Store(true)
		b.watcher.arm()
	}
	return n, err
}
