package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// maxDiscard is how many bytes of an unwanted answer are read to keep its connection.
const maxDiscard = 4 << 10

// stayValue is the value of HeaderStay. It is shared: it must not be changed.
var stayValue = []string{"1"}

// attempt is one try at one instance. Either resp or refusal is set.
type attempt struct {
	number  int // From 1 on.
	choice  Choice
	cause   classifier.Reason
	start   time.Time
	end     time.Time
	resp    *http.Response
	refusal *refuser.Refusal
	// ranked tells that the route describes itself, so that it also knows that
	// its requests may be repeated after any failure of the upstream.
	ranked bool
}

// try picks an instance that was not tried yet and sends the request there.
// It returns nil if there is none. The headers in extra are added.
func (c *call) try(cause classifier.Reason, extra http.Header) *attempt {
	a := c.pick(cause)
	if a == nil {
		return nil
	}
	c.send(c.ctx, a, extra)
	c.trace.AddAttempt(a.explained())
	return a
}

// pick starts an attempt at an instance that was not tried yet, or returns nil
// if there is none.
func (c *call) pick(cause classifier.Reason) *attempt {
	a := &attempt{cause: cause, start: time.Now(), ranked: c.route.ranked}
	var ok bool
	a.choice, ok = c.forwarder.cfg.Picker.Pick(Query{
		Service:   c.route.service,
		Instances: c.route.instances,
		Exclude:   c.exclude,
		Work:      c.forwarder.works.expected(c.route.name),
		Goal:      c.goalLeft(a.start),
		Large:     c.route.large,
		Now:       a.start,
	})
	if !ok {
		return nil
	}
	c.attempts++
	a.number = c.attempts
	c.exclude = append(c.exclude, a.choice.Instance.ID())
	return a
}

// unpick takes the last choice back, which was not sent.
func (c *call) unpick() {
	c.attempts--
	c.exclude = c.exclude[:len(c.exclude)-1]
}

// send performs the exchange of an attempt and tells the observer.
func (c *call) send(ctx context.Context, a *attempt, extra http.Header) {
	observer := c.forwarder.cfg.Observer
	id := a.choice.Instance.ID()
	observer.Sent(id)
	resp, refusal := c.exchange(ctx, a, extra) //nolint:bodyclose // Closed by who takes or discards the attempt.
	a.resp, a.refusal = resp, refusal
	a.end = time.Now()
	c.observeWork(resp)
	observer.Finished(id, resultOf(resp, refusal, a.end.Sub(a.start)))
}

// resultOf returns what an exchange says of the instance. One whose address
// belongs to another instance by now is as unreachable as one that is gone.
func resultOf(resp *http.Response, refusal *refuser.Refusal, latency time.Duration) Result {
	failed := blamesInstance(refusal) || resp != nil && resp.StatusCode >= http.StatusInternalServerError
	result := Result{Latency: latency, Failed: failed, Refused: refusal != nil && !failed}
	if refusal != nil {
		result.Unreachable = refusal.Reason() == classifier.ReasonConnect || refusal.Reason() == classifier.ReasonWrongInstance
	}
	return result
}

// observeWork takes in how long the upstream took for a good answer, as its node
// told if nothing slowed the upstream.
func (c *call) observeWork(resp *http.Response) {
	if resp == nil {
		return
	}
	told := resp.Header.Get(classifier.HeaderWork)
	delete(resp.Header, classifier.HeaderWork)
	if ms, err := strconv.ParseUint(told, 10, 31); err == nil && resp.StatusCode < http.StatusBadRequest {
		c.forwarder.works.observe(c.route.name, time.Duration(ms)*time.Millisecond)
	}
}

// exchange sends the request and receives the head of the answer, and the body
// if it is small.
func (c *call) exchange(ctx context.Context, a *attempt, extra http.Header) (*http.Response, *refuser.Refusal) {
	req := c.request(extra)
	if a.number > 1 {
		req.Header.Set(classifier.HeaderHop, strconv.Itoa(a.number))
	}
	left := timeLeft(ctx)
	if left <= 0 {
		return nil, refuser.New(classifier.NotRun, classifier.ReasonDeadline)
	}
	req.Header[classifier.HeaderTimeout] = []string{strconv.FormatInt(left, 10)}
	if work := c.forwarder.works.expected(c.route.name); work > 0 {
		req.Header[classifier.HeaderWork] = []string{strconv.FormatInt(work.Milliseconds(), 10)}
	}
	if c.route.goal > 0 {
		req.Header[classifier.HeaderDue] = []string{strconv.FormatInt(c.goalLeft(time.Now()).Milliseconds(), 10)}
	}
	if c.route.large && a.choice.Home {
		req.Header[classifier.HeaderStay] = stayValue
	}
	resp, refusal := c.deliver(ctx, a.choice.Instance, req)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := holdAnswer(resp); refusal != nil {
		return nil, refusal
	}
	return resp, nil
}

// deliver hands the request to the instance's serving node, or serves it in
// process if the instance is this node's own.
func (c *call) deliver(ctx context.Context, in *registrar.Instance, req *http.Request) (*http.Response, *refuser.Refusal) {
	f := c.forwarder
	if in.ID() == f.cfg.Instance && f.cfg.Local != nil {
		resp, err := f.cfg.Local.Exchange(ctx, req)
		if err != nil {
			return nil, refuser.FromError(err)
		}
		return resp, nil
	}
	resp, err := f.cfg.Requester.DoLimited(ctx, in.HTTP(), req, requester.Limits{StallTimeout: c.route.spec.StallTimeout})
	if err != nil {
		return nil, refuser.FromError(err)
	}
	if load := resp.Header.Get(classifier.HeaderLoad); load != "" {
		f.cfg.Observer.Observe(in.ID(), in.Incarnation(), load, time.Now())
	}
	if refusal := refuser.FromResponse(resp); refusal != nil {
		discard(resp)
		return nil, refusal
	}
	return resp, nil
}

// timeLeft returns the milliseconds until the deadline of ctx.
func timeLeft(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline).Milliseconds()
}

// goalLeft returns the time until the route's goal is passed, or 0.
func (c *call) goalLeft(now time.Time) time.Duration {
	return max(c.route.goal-now.Sub(c.started), 0)
}

// unsent reports whether the attempt reached no upstream.
func (a *attempt) unsent() bool {
	return a.refusal != nil && a.refusal.Outcome() == classifier.NotRun && a.refusal.Reason() != classifier.ReasonShed
}

// failure returns what is wrong with the attempt; its reason is ReasonNone if nothing is.
func (a *attempt) failure() retrier.Failure {
	if a.refusal != nil {
		return retrier.Failure{Outcome: a.refusal.Outcome(), Reason: a.refusal.Reason(), Retried: a.refusal.Retried(), Unsent: a.unsent()}
	}
	switch a.resp.StatusCode {
	case http.StatusInternalServerError:
		if !a.ranked {
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

func (a *attempt) discard() {
	if a.resp != nil {
		discard(a.resp)
	}
}

// begun returns what there is to explain before the attempt has ended.
func (a *attempt) begun() explainer.Attempt {
	return explainer.Attempt{
		Instance:   a.choice.Instance.ID(),
		Candidates: a.choice.Candidates,
		Choice:     a.choice.Grounds,
		Cause:      a.cause,
		Start:      a.start,
	}
}

// explained returns what there is to explain after the attempt has ended.
func (a *attempt) explained() explainer.Attempt {
	e := a.begun()
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

// blamesInstance reports whether a refusal tells of a fault of the instance,
// not of load or of the caller.
func blamesInstance(refusal *refuser.Refusal) bool {
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

// discard ends an answer that nobody wants.
func discard(resp *http.Response) {
	// A failure here only costs the connection.
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	resp.Body.Close()
}
