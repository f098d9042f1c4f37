// Package refuser creates the responses that a node sends in place of an upstream:
// for refused and failed requests and for unknown outcomes.
//
// # Usage
//
//	refusal := refuser.New(classifier.NotRun, classifier.ReasonQueueFull).WithRetryAfter(2 * time.Second)
//	refusal.Write(w, instanceID)
//
// A node reads the refusal of another node from its response:
//
//	if refusal := refuser.FromResponse(resp); refusal != nil {
//		// The response is not from an upstream.
//	}
package refuser

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// defaultRetryAfter is the Retry-After of status 503 if a refusal has none of its own.
const defaultRetryAfter = time.Second

// outcomeError is implemented by errors with an outcome and a reason.
type outcomeError interface {
	error
	Outcome() classifier.Outcome
	Reason() classifier.Reason
}

// Refusal is a response that a node sends in place of an upstream. It is an error.
type Refusal struct {
	outcome    classifier.Outcome
	reason     classifier.Reason
	retryAfter time.Duration
	retried    bool
	cause      error
}

// New returns a refusal with the given outcome and reason.
func New(outcome classifier.Outcome, reason classifier.Reason) *Refusal {
	return &Refusal{outcome: outcome, reason: reason}
}

// FromError returns the refusal that err wraps, or a new one with the outcome and
// reason of err. An error without these does not prove that the request has not run:
// the outcome of its refusal is Unknown.
func FromError(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var withOutcome outcomeError
	if errors.As(err, &withOutcome) {
		return &Refusal{outcome: withOutcome.Outcome(), reason: withOutcome.Reason(), cause: err}
	}
	return &Refusal{outcome: classifier.Unknown, reason: classifier.ReasonReset, cause: err}
}

// FromResponse returns the refusal that another node sent as resp, or nil if resp
// is from an upstream. A request that the other node has not read has not run, whatever
// became of an earlier one with its idempotency key.
func FromResponse(resp *http.Response) *Refusal {
	reason := resp.Header.Get(classifier.HeaderReason)
	if reason == "" {
		return nil
	}
	verdict := classifier.FromResponse(resp, nil)
	outcome := verdict.Outcome()
	if verdict.Reason().Unread() {
		outcome = classifier.NotRun
	}
	return &Refusal{
		outcome:    outcome,
		reason:     classifier.Reason(reason),
		retryAfter: verdict.RetryAfter(),
		retried:    resp.Header.Get(classifier.HeaderRetried) == "1",
	}
}

// WithRetryAfter returns a copy with the given time after which to retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.retryAfter = d
	return &c
}

// Error returns the reason, the outcome and the cause.
func (r *Refusal) Error() string {
	if r.cause == nil {
		return fmt.Sprintf("%s (%s)", r.reason, r.outcome)
	}
	return fmt.Sprintf("%s (%s): %v", r.reason, r.outcome, r.cause)
}

// WithRetried returns a copy that forbids retries at higher levels of the call chain.
func (r *Refusal) WithRetried() *Refusal {
	c := *r
	c.retried = true
	return &c
}

// Outcome returns what is known about the execution of the request.
func (r *Refusal) Outcome() classifier.Outcome { return r.outcome }

// Reason returns why the request was refused or failed.
func (r *Refusal) Reason() classifier.Reason { return r.reason }

// Retried reports whether this level of the call chain or a lower one has retried.
func (r *Refusal) Retried() bool { return r.retried }

// RetryAfter returns the time after which to retry, or 0 if it is unknown.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.cause }

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(outcome classifier.Outcome) *Refusal {
	c := *r
	c.outcome = outcome
	return &c
}

// Write sends the refusal as the response of the given instance and returns the HTTP
// status.
func (r *Refusal) Write(w http.ResponseWriter, instance string) int {
	status := r.status()
	body := fmt.Sprintf("banyanscale: %s (%s)\n", r.reason, r.outcome)
	h := w.Header()
	h.Set(classifier.HeaderOutcome, r.outcome.String())
	h.Set(classifier.HeaderReason, string(r.reason))
	h.Set(classifier.HeaderInstance, instance)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retried {
		h.Set(classifier.HeaderRetried, "1")
	}
	if r.retryAfter > 0 || status == http.StatusServiceUnavailable {
		h.Set(classifier.HeaderRetryAfter, retryAfterSeconds(r.retryAfter))
		if r.retryAfter > 0 {
			h.Set(classifier.HeaderRetryAfterMS, strconv.FormatInt(r.retryAfter.Milliseconds(), 10))
		}
	}
	w.WriteHeader(status)
	fmt.Fprint(w, body)
	return status
}

// retryAfterSeconds returns d, or defaultRetryAfter if d is 0, in whole seconds. It
// rounds up, since a retry that is too early is refused again.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// status returns the HTTP status for the reason and the outcome.
func (r *Refusal) status() int {
	switch r.reason {
	case classifier.ReasonNoService:
		return http.StatusNotFound
	case classifier.ReasonBadRequest:
		return http.StatusBadRequest
	case classifier.ReasonUnknownKey:
		return http.StatusUnauthorized
	case classifier.ReasonQuota:
		return http.StatusTooManyRequests
	case classifier.ReasonHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case classifier.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case classifier.ReasonDepth:
		return http.StatusLoopDetected
	case classifier.ReasonWrongInstance:
		return http.StatusMisdirectedRequest
	case classifier.ReasonKeyRunning, classifier.ReasonKeyAnswer:
		return http.StatusConflict
	case classifier.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case classifier.ReasonDeadline, classifier.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	if r.outcome == classifier.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
