package forwarder

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/quotakeeper"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// maxRoomRefusals is the number of instances without room after which a request is refused, where
// the service is served at least cost. The second one keeps it if it can be served there at all.
const maxRoomRefusals = 2

// firstAttemptValue is the HeaderHop value of a first attempt. It is shared by all
// requests and must not be modified.
var firstAttemptValue = []string{"1"}

// nodeHeaders lists headers that only nodes may set. They are removed from callers'
// requests.
var nodeHeaders = [...]string{
	classifier.HeaderKeyHome, classifier.HeaderDue, classifier.HeaderStay, classifier.HeaderWork, classifier.HeaderUpstreamNotice,
	classifier.HeaderAPIKey, classifier.HeaderOrganisation, classifier.HeaderUpstreamTimeout,
}

// call is one caller's request and the state of its attempts.
type call struct {
	ctx         context.Context
	forwarder   *Forwarder
	r           *http.Request
	route       route
	trace       *explainer.Trace
	open        *tracker.Request
	retryBudget *retrier.Budget
	idempotent  bool // Copy of route.idempotent.
	// body is the buffered request body, if it is small and of known length.
	body []byte
	// held is another request body that recognizeStream has read completely.
	held []byte
	// stream is the request body if it is not buffered.
	stream *streamedBody
	// header holds the end-to-end headers common to all attempts.
	header http.Header
	// excluded lists the ids of the instances that were already tried.
	excluded       []string
	firstAttemptAt time.Time
	// attempts counts the attempts so far. unsentAttempts counts those of them that failed
	// before they reached an upstream and don't count towards the attempt limit. If
	// MaxUnsentAttempts is 0, only those in evacuated failure domains don't.
	attempts, unsentAttempts int
	// roomRefusals counts the attempts that were refused for lack of room.
	roomRefusals int
	// mayHaveRun reports whether an earlier attempt may have run.
	mayHaveRun bool
	// fingerprint recognizes the request if it has crashed upstreams; nil if there is no
	// quarantine, or if the body is not known.
	fingerprint *fingerprinter.Request
	// quotaTicket is what was taken from the quota of the organisation.
	quotaTicket quotakeeper.Ticket
	// resumable is set when a response is relayed whose rest can be requested elsewhere.
	resumable atomic.Bool
	// quarantined is the refusal of a request that must not be sent any more, or nil.
	quarantined *refuser.Refusal
}

func newCall(ctx context.Context, f *Forwarder, r *http.Request, route route, trace *explainer.Trace, open *tracker.Request) *call {
	c := &call{
		ctx:            ctx,
		forwarder:      f,
		r:              r,
		route:          route,
		trace:          trace,
		open:           open,
		firstAttemptAt: route.firstAttemptAt,
		retryBudget:    f.budgets.Service(route.spec.Name),
		idempotent:     route.idempotent,
		header:         relayer.CopyRequestHeader(r.Header),
	}
	deadline, _ := ctx.Deadline()
	open.SetDeadline(deadline)
	c.retryBudget.Deposit(route.spec.RetryPercent)
	c.header[classifier.HeaderDepth] = []string{strconv.Itoa(route.depth)}
	c.header[classifier.HeaderRequestID] = []string{trace.ID()}
	c.header[classifier.HeaderHop] = firstAttemptValue
	for _, name := range nodeHeaders {
		delete(c.header, name)
	}
	c.header[classifier.HeaderService] = []string{route.spec.Name}
	if route.explicit || route.organisation != nil {
		c.header[classifier.HeaderPriority] = []string{route.priority.String()}
	}
	f.replaceOrganisationHeaders(c.header, &route)
	return c
}

// bufferBody reads a small request body of known length into memory, within the deadline.
// Any other body is streamed. If bufferBody fails, nothing has been sent.
func (c *call) bufferBody(w http.ResponseWriter) *refuser.Refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(w)
	deadline, _ := c.ctx.Deadline()
	// A writer without deadlines has no connection that could stall.
	_ = controller.SetReadDeadline(deadline)
	c.open.Enter(tracker.ReceivingBody)
	if c.ctx.Err() != nil { // An interruption before Enter has left the deadline as it was.
		_ = controller.SetReadDeadline(time.Now())
	}
	body, err := relayer.BufferBody(c.r)
	if err != nil && c.ctx.Err() != nil {
		return refuser.New(classifier.NotRun, classifier.ReasonDeadline)
	}
	if err != nil {
		return refuser.New(classifier.NotRun, classifier.ReasonCanceled)
	}
	if body == nil {
		// The deadline stays: a caller that stalls must not hold a slot after it.
		c.stream = &streamedBody{src: c.r.Body}
		return c.recognizeStream()
	}
	_ = controller.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// candidates returns the instances that may run the request. It returns none if the request must
// not be sent any more, and sets quarantined.
func (c *call) candidates() []*registrar.Instance {
	quarantine := c.forwarder.cfg.Quarantine
	if quarantine == nil || quarantine.Empty() || c.stream != nil && c.fingerprint == nil {
		return c.route.instances // The node beside the upstream may know more of a streamed body.
	}
	if c.fingerprint == nil {
		c.fingerprint = fingerprinter.New(c.request(nil))
	}
	if c.quarantined = quarantine.Refusal(c.fingerprint); c.quarantined != nil {
		return nil
	}
	if trial, ok := quarantine.Trial(c.fingerprint); ok {
		if chosen := trial.Choose(c.route.instances); chosen != nil {
			return []*registrar.Instance{chosen}
		}
	}
	return c.route.instances
}

// serve returns the response of an upstream. A non-idempotent request with an idempotency
// key runs at the key's home instance.
func (c *call) serve() (*http.Response, *refuser.Refusal) {
	c.open.Enter(tracker.Choosing)
	key := c.r.Header.Get(classifier.HeaderIdempotencyKey)
	if key == "" || c.idempotent || c.forwarder.cfg.Keys == nil {
		return c.run()
	}
	return c.serveKeyed(key)
}

// run tries instances until one responds or no further attempt is allowed.
func (c *call) run() (*http.Response, *refuser.Refusal) {
	cause := classifier.ReasonNone
	var last *refuser.Refusal
	for {
		a := c.tryHedged(cause)
		if a == nil && c.awaitInstance() {
			a = c.tryHedged(cause)
		}
		if a == nil {
			return nil, c.finalRefusal(last)
		}
		failure := a.failure()
		if failure.Reason == classifier.ReasonNone {
			return a.resp, nil
		}
		if failure.Outcome != classifier.NotRun {
			c.mayHaveRun = true
		}
		if failure.Unsent && failure.Reason.LackOfRoom() {
			c.roomRefusals++
		}
		state := c.retryState()
		evacuated := c.handleEvacuated(a, &state)
		decision := retrier.Decide(failure, state)
		c.recordDenial(decision)
		if failure.Unsent && (c.forwarder.cfg.MaxUnsentAttempts > 0 || evacuated) {
			c.unsentAttempts++
		}
		if !decision.Retry() || failure.Outcome != classifier.NotRun && !c.takeFurtherQuota() {
			if a.resp != nil {
				c.markRetried(a.resp, decision)
				return a.resp, nil
			}
			return nil, c.callerRefusal(a.refusal, decision)
		}
		c.forwarder.retries.Inc(failure.Reason)
		cause = failure.Reason
		last = a.refusal
		c.open.Enter(tracker.Choosing)
		a.discard()
	}
}

// finalRefusal returns the refusal of a request for which no untried instance is left, or that
// must not be sent any more: last, the refusal of the last attempt, or no-instance if last is nil.
func (c *call) finalRefusal(last *refuser.Refusal) *refuser.Refusal {
	if c.quarantined != nil && (last == nil || last.Outcome() == classifier.NotRun) {
		return c.callerRefusal(c.quarantined, retrier.Decision{})
	}
	if last == nil {
		last = refuser.New(classifier.NotRun, unavailableReason(c.route.instances))
		if c.forwarder.startingUp() {
			last = last.WithRetryAfter(startupRetryAfter)
		}
	}
	return c.callerRefusal(last, retrier.Decision{})
}

// callerRefusal returns the refusal to send to the caller. Its outcome is not-run only
// if no attempt may have run. It is marked as retried if this node retried or denied a
// retry, so that callers don't retry as well.
func (c *call) callerRefusal(refusal *refuser.Refusal, decision retrier.Decision) *refuser.Refusal {
	if c.mayHaveRun {
		refusal = refusal.WithOutcome(classifier.Unknown)
	}
	if c.attempts > 1 || decision.Denied() != classifier.ReasonNone {
		refusal = refusal.WithRetried()
	}
	return refusal
}

// markRetried marks a response as retried under the same conditions as callerRefusal.
func (c *call) markRetried(resp *http.Response, decision retrier.Decision) {
	if c.attempts > 1 || decision.Denied() != classifier.ReasonNone {
		resp.Header.Set(classifier.HeaderRetried, "1")
	}
}

// recordDenial counts a retry that was denied and adds it to the trace.
func (c *call) recordDenial(decision retrier.Decision) {
	if denied := decision.Denied(); denied != classifier.ReasonNone {
		c.forwarder.retryDenials.Inc(denied)
		c.trace.DenyRetry(denied)
	}
}

// retryState returns the state for retrier.Decide. It revokes the view of a streamed body
// that was not consumed.
func (c *call) retryState() retrier.State {
	attempts := c.attempts - c.unsentAttempts
	maxAttempts := c.route.spec.MaxAttempts
	unsentLeft := c.forwarder.cfg.MaxUnsentAttempts - c.unsentAttempts
	if c.ctx.Err() != nil {
		maxAttempts, unsentLeft = attempts, 0 // The deadline passed or the caller is gone.
	}
	if c.lacksRoom() {
		maxAttempts, unsentLeft = attempts, 0
	}
	return retrier.State{
		Repeatable:         c.idempotent,
		BodyConsumed:       c.stream != nil && c.stream.revoke(),
		Attempts:           attempts,
		MaxAttempts:        maxAttempts,
		Budget:             c.retryBudget,
		UnsentAttemptsLeft: max(unsentLeft, 0),
	}
}

// lacksRoom reports whether enough instances had no room for the request. It answers a load beyond
// the capacity of all instances, in which each further attempt costs messages and the caller's
// time. Calls of running requests are tried further, since their refusal wastes that work. An upstream
// may pass no depth on, so that only a request with an organisation is known to be none.
func (c *call) lacksRoom() bool {
	mayBeNested := c.route.depth > 1 || c.route.organisation == nil
	return c.route.spec.Overload == compiler.OverloadLeastCost && !mayBeNested && c.roomRefusals >= maxRoomRefusals
}

// request builds the request of one attempt. Its headers are a copy, with extra added.
func (c *call) request(extra http.Header) *http.Request {
	header := maps.Clone(c.header)
	maps.Copy(header, extra)
	req := relayer.NewRequest(c.r, header)
	switch {
	case c.body != nil:
		req.Body = requester.NewBytesBody(c.body)
	case c.held != nil:
		req.Body = requester.NewBytesBody(c.held)
	case c.stream != nil:
		req.Body = c.stream.view()
	default:
		req.Body = http.NoBody
	}
	return req
}
