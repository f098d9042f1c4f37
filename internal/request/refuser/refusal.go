// Package refuser makes the answers that a node gives itself instead of an
// upstream: refusals, failures and unknown outcomes.
//
// # Usage
//
//	refusal := refuser.New(classifier.NotRun, classifier.ReasonQueueFull).After(2 * time.Second)
//	refusal.Write(w, instanceID)
//
// Between two nodes the same refusal is read back from the answer:
//
//	if refusal := refuser.FromResponse(resp); refusal != nil {
//		// The other node made this answer itself.
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

// defaultRetryAfter is told when a refusal knows no better time.
const defaultRetryAfter = time.Second

// outcomeError is implemented by errors that tell an outcome and a reason.
type outcomeError interface {
	error
	Outcome() classifier.Outcome
	Reason() classifier.Reason
}

// Refusal is an answer that a node makes itself. It is an error.
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

// FromError returns the refusal that err is or that its outcome and reason
// call for. An error that tells neither proves nothing: its outcome is Unknown.
func FromError(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var t outcomeError
	if errors.As(err, &t) {
		return &Refusal{outcome: t.Outcome(), reason: t.Reason(), cause: err}
	}
	return &Refusal{outcome: classifier.Unknown, reason: classifier.ReasonReset, cause: err}
}

// FromResponse returns the refusal that another node answered with, or nil if
// the answer is an upstream's.
func FromResponse(resp *http.Response) *Refusal {
	reason := resp.Header.Get(classifier.HeaderReason)
	if reason == "" {
		return nil
	}
	verdict := classifier.FromResponse(resp, nil)
	return &Refusal{
		outcome:    verdict.Outcome(),
		reason:     classifier.Reason(reason),
		retryAfter: verdict.RetryAfter(),
		retried:    resp.Header.Get(classifier.HeaderRetried) == "1",
	}
}

// After returns a copy that tells when to come back.
func (f *Refusal) After(d time.Duration) *Refusal {
	c := *f
	c.retryAfter = d
	return &c
}

// Error returns the reason, the outcome and the cause.
func (f *Refusal) Error() string {
	if f.cause == nil {
		return fmt.Sprintf("%s (%s)", f.reason, f.outcome)
	}
	return fmt.Sprintf("%s (%s): %v", f.reason, f.outcome, f.cause)
}

// MarkRetried returns a copy that forbids retries at levels above.
func (f *Refusal) MarkRetried() *Refusal {
	c := *f
	c.retried = true
	return &c
}

// Outcome tells whether the request may have run.
func (f *Refusal) Outcome() classifier.Outcome { return f.outcome }

// Reason returns why the request was refused or failed.
func (f *Refusal) Reason() classifier.Reason { return f.reason }

// Retried reports whether this level or one below retried already.
func (f *Refusal) Retried() bool { return f.retried }

// RetryAfter returns when to come back, or 0 if that is not known.
func (f *Refusal) RetryAfter() time.Duration { return f.retryAfter }

// Unwrap returns the cause.
func (f *Refusal) Unwrap() error { return f.cause }

// WithOutcome returns a copy with another outcome.
func (f *Refusal) WithOutcome(outcome classifier.Outcome) *Refusal {
	c := *f
	c.outcome = outcome
	return &c
}

// Write answers with the refusal in the name of the given instance, and
// returns the HTTP status that it used.
func (f *Refusal) Write(w http.ResponseWriter, instance string) int {
	status := f.status()
	body := fmt.Sprintf("banyanscale: %s (%s)\n", f.reason, f.outcome)
	h := w.Header()
	h.Set(classifier.HeaderOutcome, f.outcome.String())
	h.Set(classifier.HeaderReason, string(f.reason))
	h.Set(classifier.HeaderInstance, instance)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retried {
		h.Set(classifier.HeaderRetried, "1")
	}
	if f.retryAfter > 0 || status == http.StatusServiceUnavailable {
		h.Set(classifier.HeaderRetryAfter, retryAfterSeconds(f.retryAfter))
		if f.retryAfter > 0 {
			h.Set(classifier.HeaderRetryAfterMS, strconv.FormatInt(f.retryAfter.Milliseconds(), 10))
		}
	}
	w.WriteHeader(status)
	fmt.Fprint(w, body)
	return status
}

// retryAfterSeconds rounds up, since coming back early only meets the next refusal.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func (f *Refusal) status() int {
	switch f.reason {
	case classifier.ReasonNoService:
		return http.StatusNotFound
	case classifier.ReasonBadRequest:
		return http.StatusBadRequest
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
	if f.outcome == classifier.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
