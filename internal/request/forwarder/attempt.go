package forwarder

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/internal/telemetry/recoverer"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// maxDiscard is the maximum number of bytes that discard reads from an unused response.
const maxDiscard = 4 << 10

// preferLocalValue is the value of HeaderStay. It is shared by all requests and must not
// be modified.
var preferLocalValue = []string{"1"}

// attempt is one attempt at one instance. Once it has ended, exactly one of resp and
// refusal is set.
type attempt struct {
	number  int // From 1 on.
	choice  Choice
	cause   classifier.Reason
	start   time.Time
	end     time.Time
	resp    *http.Response
	refusal *refuser.Refusal
	// explicit is route.explicit. On an explicit route, a 500 of the upstream is a failure
	// that may be retried, as the kind of the route defines which requests may run again.
	explicit bool
	// stalled receives a value if the attempt makes no progress. It is nil if nothing is
	// done about that before the response is relayed.
	stalled chan<- struct{}
}

// try picks an untried instance and sends the request to it, with the headers in extra
// added. It returns nil if pick does.
func (c *call) try(cause classifier.Reason, extra http.Header) *attempt {
	a := c.pick(cause)
	if a == nil {
		return nil
	}
	c.send(c.ctx, a, extra)
	c.trace.AddAttempt(a.explanation())
	return a
}

// pick creates an attempt at an untried instance. It returns nil if no instance is left, or if
// the request must not be sent any more.
func (c *call) pick(cause classifier.Reason) *attempt {
	c.followEvacuation()
	instances := c.candidates()
	if c.quarantined != nil {
		return nil
	}
	a := &attempt{cause: cause, start: time.Now(), explicit: c.route.explicit}
	var ok bool
	a.choice, ok = c.forwarder.cfg.Picker.Pick(Query{
		Service:       c.route.service,
		Instances:     instances,
		Exclude:       c.excluded,
		ExpectedWork:  c.forwarder.workEstimates.expected(&c.route),
		TimeToGoal:    c.timeToGoal(a.start),
		LargeResponse: c.route.largeResponse,
		LargeRequest:  c.uploads(),
		SendTime:      c.sendTime(),
		Now:           a.start,
	})
	if !ok {
		return nil
	}
	c.attempts++
	a.number = c.attempts
	c.excluded = append(c.excluded, a.choice.Instance.ID())
	return a
}

// undoPick reverts the last pick, whose attempt was not sent.
func (c *call) undoPick() {
	c.attempts--
	c.excluded = c.excluded[:len(c.excluded)-1]
}

// undoExclusion lets the instance of an attempt be picked again.
func (c *call) undoExclusion(a *attempt) {
	id := a.choice.Instance.ID()
	c.excluded = slices.DeleteFunc(c.excluded, func(excluded string) bool { return excluded == id })
}

// send performs the exchange of an attempt and reports it to the observer.
func (c *call) send(ctx context.Context, a *attempt, extra http.Header) {
	observer := c.forwarder.cfg.Observer
	id := a.choice.Instance.ID()
	observer.AttemptSent(id)
	c.open.BeginAttempt(id)
	resp, refusal := c.exchange(ctx, a, extra) //nolint:bodyclose // Closed by the user of the attempt or by discard.
	a.resp, a.refusal = resp, refusal
	a.end = time.Now()
	c.observeWork(resp)
	observer.AttemptFinished(id, attemptResult(resp, refusal, a.end.Sub(a.start)))
}

// sendGuarded is like send, for goroutines other than that of the request. An attempt that panics
// ends with an unknown outcome instead of ending the process.
func (c *call) sendGuarded(ctx context.Context, a *attempt) {
	err := recoverer.Call(func() error {
		c.send(ctx, a, nil)
		return nil
	})
	if err == nil {
		return
	}
	c.forwarder.cfg.Log.Error().Err(err).Str("request", c.trace.ID()).Msg("Attempt panicked.")
	a.end = time.Now()
	a.resp, a.refusal = nil, refuser.FromError(err)
	c.forwarder.cfg.Observer.AttemptFinished(a.choice.Instance.ID(), Result{Latency: a.end.Sub(a.start), Failed: true})
}

// attemptResult returns the result of an exchange for the observer. An instance whose
// address now belongs to another one is as unreachable as one that is gone.
func attemptResult(resp *http.Response, refusal *refuser.Refusal, latency time.Duration) Result {
	failed := instanceAtFault(refusal) || resp != nil && resp.StatusCode >= http.StatusInternalServerError
	result := Result{Latency: latency, Failed: failed, Refused: refusal != nil && !failed}
	if refusal != nil {
		result.Unreachable = refusal.Reason() == classifier.ReasonConnect || refusal.Reason() == classifier.ReasonWrongInstance
	}
	return result
}

// observeWork records the unslowed work that the serving node reported for a successful
// response, and removes the header.
func (c *call) observeWork(resp *http.Response) {
	if resp == nil {
		return
	}
	workMillis := resp.Header.Get(classifier.HeaderWork)
	delete(resp.Header, classifier.HeaderWork)
	if ms, err := strconv.ParseUint(workMillis, 10, 31); err == nil && resp.StatusCode < http.StatusBadRequest {
		c.forwarder.workEstimates.observe(c.route.name, time.Duration(ms)*time.Millisecond)
	}
}

// exchange sends the request and receives the response header and the part of the body
// that bufferResponse buffers.
func (c *call) exchange(ctx context.Context, a *attempt, extra http.Header) (*http.Response, *refuser.Refusal) {
	req := c.request(extra)
	if a.number > 1 {
		req.Header.Set(classifier.HeaderHop, strconv.Itoa(a.number))
	}
	remaining := remainingMillis(ctx)
	if remaining <= 0 {
		return nil, refuser.New(classifier.NotRun, classifier.ReasonDeadline)
	}
	req.Header[classifier.HeaderTimeout] = []string{strconv.FormatInt(remaining, 10)}
	c.limitUpstreamTime(ctx, req.Header)
	if work := c.forwarder.workEstimates.expected(&c.route); work > 0 {
		req.Header[classifier.HeaderWork] = []string{strconv.FormatInt(work.Milliseconds(), 10)}
	}
	if c.route.latencyGoal > 0 {
		req.Header[classifier.HeaderDue] = []string{strconv.FormatInt(c.timeToGoal(time.Now()).Milliseconds(), 10)}
	}
	if (c.route.largeResponse || c.uploads()) && a.choice.SameFailureDomain {
		req.Header[classifier.HeaderStay] = preferLocalValue
	}
	ctx = requester.WithStallHandler(ctx, func(sending bool) bool { return c.endStalled(a, sending) })
	resp, refusal := c.deliver(ctx, a.choice.Instance, req)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := bufferResponse(resp); refusal != nil {
		return nil, refusal
	}
	return resp, nil
}

// endStalled is the requester.StallHandler of an attempt. It ends the attempt only if the
// request can't have run, since a part of it was never taken, or if the response is being
// relayed and the rest can be requested elsewhere. Before that, further attempts run beside
// it: the response may still come.
func (c *call) endStalled(a *attempt, sending bool) bool {
	switch {
	case sending:
		return c.stream == nil
	case !c.idempotent || c.stream != nil:
		return false
	case c.resumable.Load():
		return c.mayResume()
	}
	select {
	case a.stalled <- struct{}{}:
	default:
	}
	return false
}

// deliver sends the request to the instance's node, or serves it in process if the
// instance is this node's own.
func (c *call) deliver(ctx context.Context, in *registrar.Instance, req *http.Request) (*http.Response, *refuser.Refusal) {
	f := c.forwarder
	if in.ID() == f.cfg.Instance && f.cfg.Local != nil {
		resp, err := f.cfg.Local.Exchange(ctx, req)
		if err != nil {
			return nil, refuser.FromError(err)
		}
		return resp, nil
	}
	f.presentNotice(in, req)
	limits := requester.Limits{StallTimeout: c.route.spec.StallTimeout}
	if c.uploads() {
		c.prepareUpload(ctx, req)
		limits.RunsWithBody = true
	}
	sentAt := time.Now()
	resp, err := f.cfg.Requester.DoLimited(ctx, in.HTTP(), req, limits)
	if err != nil {
		return nil, refuser.FromError(err)
	}
	if load := resp.Header.Get(classifier.HeaderLoad); load != "" {
		f.cfg.Observer.ObserveLoad(in.ID(), in.Incarnation(), load, time.Now())
	}
	refusal := refuser.FromResponse(resp)
	f.recordNotice(in, resp, refusal != nil, sentAt)
	if refusal != nil {
		discard(resp)
		return nil, refusal
	}
	return resp, nil
}

// presentNotice adds to a request what the upstream of the instance last said of itself. The
// instance's node may have been restarted since.
func (f *Forwarder) presentNotice(in *registrar.Instance, req *http.Request) {
	if f.cfg.Notices == nil {
		return
	}
	if notice := f.cfg.Notices.Notice(in.ID()); notice != "" {
		req.Header[classifier.HeaderUpstreamNotice] = []string{notice}
	}
}

// recordNotice records what the upstream of the instance says of itself. The lack of a
// notice means something only in a response of the upstream.
func (f *Forwarder) recordNotice(in *registrar.Instance, resp *http.Response, refused bool, sentAt time.Time) {
	notice := resp.Header.Get(classifier.HeaderUpstreamNotice)
	if f.cfg.Notices == nil || refused && notice == "" {
		return
	}
	if err := f.cfg.Notices.Record(in.ID(), notice, sentAt); err != nil {
		f.cfg.Log.Debug().Err(err).Msg("Notice ignored.")
	}
}

// remainingMillis returns the time until the deadline of ctx, in milliseconds.
func remainingMillis(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline).Milliseconds()
}

// timeToGoal returns the time left until the route's latency goal; 0 if there is none or
// it has passed.
func (c *call) timeToGoal(now time.Time) time.Duration {
	return max(c.route.latencyGoal-now.Sub(c.firstAttemptAt), 0)
}

// unsent reports whether the attempt reached no upstream.
func (a *attempt) unsent() bool {
	return a.refusal != nil && a.refusal.Outcome() == classifier.NotRun && a.refusal.Reason() != classifier.ReasonShed
}

// failure classifies the result of the attempt. The reason is ReasonNone if it succeeded.
func (a *attempt) failure() retrier.Failure {
	if a.refusal != nil {
		return retrier.Failure{Outcome: a.refusal.Outcome(), Reason: a.refusal.Reason(), Retried: a.refusal.Retried(), Unsent: a.unsent()}
	}
	switch a.resp.StatusCode {
	case http.StatusInternalServerError:
		if !a.explicit {
			break
		}
		fallthrough
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return retrier.Failure{
			Outcome: classifier.Done,
			Reason:  classifier.ReasonUpstreamError,
			Retried: a.resp.Header.Get(classifier.HeaderRetried) == "1",
		}
	}
	return retrier.Failure{Outcome: classifier.Done}
}

// discard discards the response of an attempt that has ended, if there is one.
func (a *attempt) discard() {
	if a.resp != nil {
		discard(a.resp)
	}
}

// pendingExplanation returns the trace entry of an attempt that has not ended.
func (a *attempt) pendingExplanation() explainer.Attempt {
	return explainer.Attempt{
		Instance:   a.choice.Instance.ID(),
		Candidates: a.choice.Candidates,
		Choice:     a.choice.LogFields,
		Cause:      a.cause,
		Start:      a.start,
	}
}

// explanation returns the trace entry of an attempt that has ended.
func (a *attempt) explanation() explainer.Attempt {
	e := a.pendingExplanation()
	e.End = a.end
	if a.resp != nil {
		e.Status = a.resp.StatusCode
		e.Outcome = classifier.Done
		return e
	}
	e.Outcome = a.refusal.Outcome()
	e.Reason = a.refusal.Reason()
	return e
}

// instanceAtFault reports whether a refusal indicates a fault of the instance or was made
// by its upstream. Refusals due to the load of the node or a fault of the caller don't.
func instanceAtFault(refusal *refuser.Refusal) bool {
	if refusal == nil {
		return false
	}
	switch refusal.Reason() {
	case classifier.ReasonConnect, classifier.ReasonSend, classifier.ReasonReset, classifier.ReasonTruncated,
		classifier.ReasonStalled, classifier.ReasonMalformed, classifier.ReasonTimeout, classifier.ReasonShed,
		classifier.ReasonWrongInstance:
		return true
	}
	return false
}

// discard closes an unused response. It first reads up to maxDiscard bytes of the body, so
// that the connection can be reused.
func discard(resp *http.Response) {
	// If this fails, the connection is not reused.
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	resp.Body.Close()
}
