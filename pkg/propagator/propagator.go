// Package propagator copies the request id, remaining time, depth and priority from
// the request that an upstream serves to the calls that it makes for that request.
//
// # Usage
//
// In an upstream's handler:
//
//	func (s *shop) order(w http.ResponseWriter, r *http.Request) {
//		ctx := propagator.Extract(r)
//		req, err := http.NewRequestWithContext(ctx, http.MethodPost, nodeURL+"/stock", body)
//		...
//		propagator.Inject(ctx, req)
//		resp, err := client.Do(req)
//		...
//		if resp.StatusCode == http.StatusServiceUnavailable {
//			propagator.Refuse(w, resp) // Levels above must not retry once more.
//		}
//	}
//
// With propagation a chain of calls shares one deadline, has a bounded depth, and is
// retried at its lowest level only.
package propagator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// minTimeout is the shortest remaining time that is propagated, since the header is
// in whole milliseconds and 0 means none.
const minTimeout = time.Millisecond

type contextKey struct{}

// callChain holds the propagated values of a chain of calls. Empty values are not
// propagated.
type callChain struct {
	requestID, depth, priority string
	deadline                   time.Time
}

// Extract returns the context of r with the values to propagate, from its headers.
func Extract(r *http.Request) context.Context {
	c := callChain{
		requestID: r.Header.Get(classifier.HeaderRequestID),
		depth:     r.Header.Get(classifier.HeaderDepth),
		priority:  r.Header.Get(classifier.HeaderPriority),
	}
	if ms, err := strconv.ParseUint(r.Header.Get(classifier.HeaderTimeout), 10, 31); err == nil && ms > 0 {
		c.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return context.WithValue(r.Context(), contextKey{}, c)
}

// Inject sets the headers of an outgoing request from the values that Extract stored
// in ctx. Without them it does nothing.
func Inject(ctx context.Context, req *http.Request) {
	c, ok := ctx.Value(contextKey{}).(callChain)
	if !ok {
		return
	}
	setIfPresent(req.Header, classifier.HeaderRequestID, c.requestID)
	setIfPresent(req.Header, classifier.HeaderDepth, c.depth)
	setIfPresent(req.Header, classifier.HeaderPriority, c.priority)
	if !c.deadline.IsZero() {
		remaining := max(time.Until(c.deadline), minTimeout)
		req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
}

// Refuse copies the headers that levels above need from the refusal in resp to w: when
// to retry, and whether the request has already been retried. It does not copy the
// outcome not-run, since the upstream that calls Refuse has already done work.
func Refuse(w http.ResponseWriter, resp *http.Response) {
	for _, name := range []string{classifier.HeaderRetried, classifier.HeaderRetryAfter} {
		setIfPresent(w.Header(), name, resp.Header.Get(name))
	}
}

func setIfPresent(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
