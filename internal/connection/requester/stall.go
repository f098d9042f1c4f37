package requester

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// StallHandler is called when an exchange has made no progress for a stall timeout, while
// the request was sent or after the first byte of the response, and reports whether to end
// the exchange. Otherwise the exchange goes on, and the handler is called again after
// another stall timeout. It must not block. While a streamed request is sent, it may be
// called concurrently.
type StallHandler func(sending bool) bool

// stallHandlerKey is the context key of a StallHandler.
type stallHandlerKey struct{}

// WithStallHandler returns a context for DoLimited in which the stall timeout of the limits
// applies.
func WithStallHandler(ctx context.Context, handler StallHandler) context.Context {
	return context.WithValue(ctx, stallHandlerKey{}, handler)
}

// stallLimit limits how long an exchange may make no progress.
type stallLimit struct {
	timeout time.Duration // 0 means no limit.
	handler StallHandler  // Nil if the exchange always ends.
}

// newStallLimit returns the limit of an exchange: that of limits if the context has a
// handler, else that of the pool.
func newStallLimit(ctx context.Context, cfg *Config, limits Limits) stallLimit {
	handler, ok := ctx.Value(stallHandlerKey{}).(StallHandler)
	if !ok || limits.StallTimeout == 0 {
		return stallLimit{timeout: cfg.StallTimeout}
	}
	return stallLimit{timeout: limits.StallTimeout, handler: handler}
}

// goOn reports whether a read or write that failed with err is repeated: the exchange has
// stalled, but does not end yet. If the connection itself has timed out (ETIMEDOUT), a repeated read
// would return the end of the connection.
func (l *stallLimit) goOn(sending bool, err error) bool {
	return l.handler != nil && errors.Is(err, os.ErrDeadlineExceeded) && !l.handler(sending)
}

// endsReported handles the report of the next node that its upstream has stalled. It
// returns an error if the exchange ends.
func (c *connection) endsReported(resp *http.Response) error {
	if resp.StatusCode != http.StatusProcessing || resp.Header.Get(classifier.HeaderStalled) == "" ||
		c.stall.handler == nil || !c.stall.handler(false) {
		return nil
	}
	c.readErr = os.ErrDeadlineExceeded
	return errors.Wrap(c.readErr, "wait for the upstream")
}

// timedOut reports whether err is the expiry of a read or write deadline.
func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
