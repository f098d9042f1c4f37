// Package propagator carries a request's id, remaining time, depth and
// priority from the request that an upstream answers to the calls that it
// makes for it.
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
//			propagator.Refuse(w, resp) // Levels above must not retry what was retried here.
//		}
//	}
//
// A chain of calls that is propagated shares one deadline, is bounded in
// depth, and is retried at its lowest level only.
package propagator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// minTimeout is the shortest time that is passed on, since the header counts
// whole milliseconds and 0 stands for none.
const minTimeout = time.Millisecond

type contextKey struct{}

type carried struct {
	requestID, depth, priority string
	deadline                   time.Time
}

// Extract returns the context of r with what its headers tell about the chain
// of calls.
func Extract(r *http.Request) context.Context {
	c := carried{
		requestID: r.Header.Get(classifier.HeaderRequestID),
		depth:     r.Header.Get(classifier.HeaderDepth),
		priority:  r.Header.Get(classifier.HeaderPriority),
	}
	if ms, err := strconv.ParseUint(r.Header.Get(classifier.HeaderTimeout), 10, 31); err == nil && ms > 0 {
		c.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return context.WithValue(r.Context(), contextKey{}, c)
}

// Inject sets the headers of an outgoing request to what Extract found. It
// does nothing for a context that did not come from Extract.
func Inject(ctx context.Context, req *http.Request) {
	c, ok := ctx.Value(contextKey{}).(carried)
	if !ok {
		return
	}
	setIfPresent(req.Header, classifier.HeaderRequestID, c.requestID)
	setIfPresent(req.Header, classifier.HeaderDepth, c.depth)
	setIfPresent(req.Header, classifier.HeaderPriority, c.priority)
	if !c.deadline.IsZero() {
		left := max(time.Until(c.deadline), minTimeout)
		req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// Refuse copies to w what the refusal in resp tells the levels above: when to
// come back, and whether it was retried already. It does not copy the
// outcome, since the upstream that calls it has begun to run.
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
