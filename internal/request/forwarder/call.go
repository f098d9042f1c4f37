package forwarder

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// hopValue is the value of HeaderHop. It is shared: it must not be changed.
var hopValue = []string{"1"}

// nodeHeaders are headers between nodes that mean nothing from a caller.
var nodeHeaders = [...]string{classifier.HeaderKeyHome, classifier.HeaderDue, classifier.HeaderStay, classifier.HeaderWork}

// call is one request of a caller on its way through attempts.
type call struct {
	ctx        context.Context
	forwarder  *Forwarder
	r          *http.Request
	route      route
	trace      *explainer.Trace
	budget     *retrier.Budget
	repeatable bool
	// body holds the request's body if it is small and of known length.
	body []byte
	// stream is the body if it is not held.
	stream *streamedBody
	// header holds the end-to-end headers that all attempts have.
	header  http.Header
	exclude []string
	started time.Time
	// attempts counts the attempts so far, unsent those that reached no upstream.
	attempts, unsent int
	// mayHaveRun tells that the outcome of an earlier attempt was not a proved not-run.
	mayHaveRun bool
}

func newCall(ctx context.Context, f *Forwarder, r *http.Request, route route, trace *explainer.Trace) *call {
	c := &call{
		ctx:        ctx,
		forwarder:  f,
		r:          r,
		route:      route,
		trace:      trace,
		started:    route.started,
		budget:     f.budgets.Service(route.spec.Name),
		repeatable: route.idempotent,
		header:     relayer.CopyRequestHeader(r.Header),
	}
	c.budget.Earn(route.spec.RetryPercent)
	c.header[classifier.HeaderDepth] = []string{strconv.Itoa(route.depth)}
	c.header[classifier.HeaderRequestID] = []string{trace.ID()}
	c.header[classifier.HeaderHop] = hopValue
	for _, name := range nodeHeaders {
		delete(c.header, name)
	}
	c.header[classifier.HeaderService] = []string{route.spec.Name}
	if route.ranked {
		c.header[classifier.HeaderPriority] = []string{route.spec.Priority.String()}
	}
	return c
}

// holdBody reads a small body into memory, until the deadline. Nothing was
// sent if it fails.
func (c *call) holdBody(w http.ResponseWriter) *refuser.Refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	deadline, _ := c.ctx.Deadline()
	// A writer that takes no deadline belongs to no connection that could stall.
	_ = control.SetReadDeadline(deadline)
	body, err := relayer.HoldBody(c.r)
	if err != nil && c.ctx.Err() != nil {
		return refuser.New(classifier.NotRun, classifier.ReasonDeadline)
	}
	if err != nil {
		return refuser.New(classifier.NotRun, classifier.ReasonCanceled)
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	if body == nil {
		c.stream = &streamedBody{src: c.r.Body}
	}
	return nil
}

// serve answers a request, by way of the home of its idempotency key if it has one.
func (c *call) serve() (*http.Response, *refuser.Refusal) {
	key := c.r.Header.Get(classifier.HeaderIdempotencyKey)
	if key == "" || c.repeatable || c.forwarder.cfg.Keys == nil {
		return c.run()
	}
	return c.serveKeyed(key)
}

// run tries instances until one answers or no further attempt is allowed.
func (c *call) run() (*http.Response, *refuser.Refusal) {
	cause := classifier.ReasonNone
	var last *refuser.Refusal
	for {
		a := c.tryHedged(cause)
		if a == nil {
			return nil, c.conclude(last)
		}
		failure := a.failure()
		if failure.Reason == classifier.ReasonNone {
			return a.resp, nil
		}
		if failure.Outcome != classifier.NotRun {
			c.mayHaveRun = true
		}
		decision := retrier.Decide(failure, c.state())
		c.note(decision)
		if failure.Unsent && c.forwarder.cfg.Placements > 0 {
			c.unsent++
		}
		if !decision.Retry() {
			if a.resp != nil {
				c.markRetried(a.resp, decision)
				return a.resp, nil
			}
			return nil, c.refusal(a.refusal, decision)
		}
		c.forwarder.retries.Inc(failure.Reason)
		cause = failure.Reason
		last = a.refusal
		a.discard()
	}
}

// conclude returns the refusal of a request for which no instance was left:
// that of the last attempt, if there was one.
func (c *call) conclude(last *refuser.Refusal) *refuser.Refusal {
	if last == nil {
		last = refuser.New(classifier.NotRun, classifier.ReasonNoInstance)
	}
	return c.refusal(last, retrier.Decision{})
}

// refusal returns what the caller is told: not-run only if no attempt may
// have run, and not to retry what was retried here.
func (c *call) refusal(refusal *refuser.Refusal, decision retrier.Decision) *refuser.Refusal {
	if c.mayHaveRun {
		refusal = refusal.WithOutcome(classifier.Unknown)
	}
	if c.attempts > 1 || decision.Denied() != classifier.ReasonNone {
		refusal = refusal.MarkRetried()
	}
	return refusal
}

func (c *call) markRetried(resp *http.Response, decision retrier.Decision) {
	if c.attempts > 1 || decision.Denied() != classifier.ReasonNone {
		resp.Header.Set(classifier.HeaderRetried, "1")
	}
}

func (c *call) note(decision retrier.Decision) {
	if denied := decision.Denied(); denied != classifier.ReasonNone {
		c.forwarder.denials.Inc(denied)
		c.trace.DenyRetry(denied)
	}
}

func (c *call) state() retrier.State {
	attempts := c.attempts - c.unsent
	maxAttempts := c.route.spec.MaxAttempts
	placements := c.forwarder.cfg.Placements - c.unsent
	if c.ctx.Err() != nil {
		maxAttempts, placements = attempts, 0 // No time is left, or nobody waits.
	}
	return retrier.State{
		Repeatable:  c.repeatable,
		BodySpent:   c.stream != nil && c.stream.revoke(),
		Attempts:    attempts,
		MaxAttempts: maxAttempts,
		Budget:      c.budget,
		Placements:  max(placements, 0),
	}
}

// request returns the request of one attempt, with headers of its own and
// those in extra.
func (c *call) request(extra http.Header) *http.Request {
	header := maps.Clone(c.header)
	maps.Copy(header, extra)
	req := relayer.NewRequest(c.r, header)
	switch {
	case c.body != nil:
		req.Body = requester.NewBytesBody(c.body)
	case c.stream != nil:
		req.Body = c.stream.view()
	default:
		req.Body = http.NoBody
	}
	return req
}
