package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// errStopping is the cause of the end of a request that the end of the node interrupts.
var errStopping = errors.New("the node is about to end")

// upstreamReserve is how long before the end of the node an upstream has to respond, so that its
// response, be it that the time is over, still reaches the caller.
const upstreamReserve = 250 * time.Millisecond

// EndAt gives the upstreams of requests that are sent from now on no more time than until shortly
// before end, at which the node interrupts them.
func (f *Forwarder) EndAt(end time.Time) { f.endsAt.Store(&end) }

// limitUpstreamTime sets the time that the upstream gets if the node ends before the request does.
func (c *call) limitUpstreamTime(ctx context.Context, h http.Header) {
	end := c.forwarder.endsAt.Load()
	deadline, _ := ctx.Deadline()
	if end == nil || !deadline.After(end.Add(-upstreamReserve)) {
		return
	}
	left := max(time.Until(*end)-upstreamReserve, time.Millisecond)
	h[classifier.HeaderUpstreamTimeout] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
}

// ServeUntil makes the forwarder refuse all further requests whose deadline is later than
// end, at which the node stops.
func (f *Forwarder) ServeUntil(end time.Time) { f.servesUntil.Store(&end) }

// OpenRequests returns the number of requests that have not ended.
func (f *Forwarder) OpenRequests() int { return f.open.Len() }

// Interrupt ends all requests to which no response is being written. Their callers get a refusal
// that says whether the request has run. The node must be about to end.
func (f *Forwarder) Interrupt() { f.open.Interrupt() }

// interruptible returns the context of a request, which ends when the request is interrupted.
func interruptible(
	parent context.Context, timeout time.Duration, w http.ResponseWriter, open *tracker.Request,
) (context.Context, context.CancelFunc) {
	parent, interrupt := context.WithCancelCause(parent)
	open.OnInterrupt(func(stage tracker.Stage) {
		interrupt(errStopping)
		if stage == tracker.ReceivingBody {
			// A writer without deadlines has no connection that could stall.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		}
	})
	ctx, cancel := context.WithTimeout(parent, timeout)
	return ctx, func() {
		cancel()
		interrupt(nil)
	}
}

// serveUnlessStopped is like serve, but returns a refusal with the reason that the node is leaving
// if the request was interrupted. Once it returns, nothing interrupts the request any more.
func (c *call) serveUnlessStopped() (*http.Response, *refuser.Refusal) {
	ctx := c.ctx // runKeyed replaces it.
	resp, refusal := c.serve()
	c.open.Enter(tracker.Responding)
	if refusal != nil {
		return nil, leavingIfStopped(ctx, refusal)
	}
	if !buffered(resp) && errors.Is(context.Cause(ctx), errStopping) {
		resp.Body.Close()
		return nil, refuser.New(classifier.Unknown, classifier.ReasonLeaving)
	}
	return resp, nil
}

// leavingIfStopped returns the refusal of a request, with the reason that the node is leaving if
// that interrupted the request.
func leavingIfStopped(ctx context.Context, refusal *refuser.Refusal) *refuser.Refusal {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return refusal
	}
	switch refusal.Reason() {
	case classifier.ReasonCanceled, classifier.ReasonDeadline:
		leaving := refuser.New(refusal.Outcome(), classifier.ReasonLeaving)
		if refusal.Retried() {
			return leaving.WithRetried()
		}
		return leaving
	}
	return refusal
}

// ReportOpen logs the requests that have not ended.
func (f *Forwarder) ReportOpen() {
	f.open.Log(f.cfg.Log, "Request is open at the end of the stop.")
}

// ReportCut logs and counts the requests that have not ended. The node must be about to cut them.
func (f *Forwarder) ReportCut() {
	f.open.Log(f.cfg.Log, "Request is cut by the end of the stop.", func(stage tracker.Stage) {
		f.cuts.Inc(classifier.Reason(stage))
	})
}

// leavingRefusal returns the refusal of a request that may last longer than the node, or nil.
func (c *call) leavingRefusal() *refuser.Refusal {
	end := c.forwarder.servesUntil.Load()
	deadline, _ := c.ctx.Deadline()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	return refuser.New(classifier.NotRun, classifier.ReasonLeaving)
}
