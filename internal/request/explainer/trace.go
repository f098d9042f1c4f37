package explainer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// inlineAttempts is the number of attempts that a trace holds without another
// allocation.
const inlineAttempts = 2

// Attempt describes one attempt of a request at one instance.
type Attempt struct {
	// Instance is the id of the instance that was chosen.
	Instance string
	// Candidates are the instances that the choice was made from, with the data on
	// which it was based. They are written as JSON.
	Candidates any
	// Choice writes the basis of the choice to the log line. It may be nil.
	Choice zerolog.LogObjectMarshaler
	// Cause is why this attempt was made: ReasonNone for the first one, otherwise the
	// reason of the retry, or ReasonHedge.
	Cause classifier.Reason
	// Start is when the attempt started, End when the response headers arrived or it
	// failed.
	Start, End time.Time
	// Status is the HTTP status of the response, or 0 without a response.
	Status int
	// Outcome and Reason describe how the attempt ended. Reason is ReasonNone for a
	// response.
	Outcome classifier.Outcome
	Reason  classifier.Reason
	// Denied is why no retry followed although the failure could have been retried.
	Denied classifier.Reason
}

// Trace records the processing of one request. It is not safe for concurrent use
// until it is added to an Explainer; from then on it is immutable.
type Trace struct {
	id, method, path, service string
	start, end                time.Time
	status                    int
	outcome                   classifier.Outcome
	reason                    classifier.Reason
	bytes                     int64
	resumed                   int
	attempts                  []Attempt
	inline                    [inlineAttempts]Attempt
}

// NewTrace returns the trace of a request that arrived at start.
func NewTrace(id, method, path string, start time.Time) *Trace {
	t := &Trace{id: id, method: method, path: path, start: start}
	t.attempts = t.inline[:0]
	return t
}

// AddAttempt adds an attempt that has ended.
func (t *Trace) AddAttempt(a Attempt) { t.attempts = append(t.attempts, a) }

// Attempts returns the attempts, in the order in which they ended.
func (t *Trace) Attempts() []Attempt { return t.attempts }

// DenyRetry records why no retry followed the last attempt.
func (t *Trace) DenyRetry(reason classifier.Reason) {
	if n := len(t.attempts); n > 0 {
		t.attempts[n-1].Denied = reason
	}
}

// End records how the request ended.
func (t *Trace) End(now time.Time, status int, outcome classifier.Outcome, reason classifier.Reason) {
	t.end = now
	t.status = status
	t.outcome = outcome
	t.reason = reason
}

// ID returns the request's id.
func (t *Trace) ID() string { return t.id }

// AddResumption records that the rest of a truncated response was fetched from another
// instance.
func (t *Trace) AddResumption() { t.resumed++ }

// Reason returns why the request failed, or ReasonNone.
func (t *Trace) Reason() classifier.Reason { return t.reason }

// Outcome returns the outcome that was reported to the caller.
func (t *Trace) Outcome() classifier.Outcome { return t.outcome }

// SetBytes records the number of bytes of the response body that were sent to the
// caller.
func (t *Trace) SetBytes(n int64) { t.bytes = n }

// SetService records the service that the request was routed to.
func (t *Trace) SetService(name string) { t.service = name }

// MarshalZerologObject writes the fields of the request's log line.
func (t *Trace) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", t.id).Str("method", t.method).Str("path", t.path).Str("service", t.service).
		Int("status", t.status).Stringer("outcome", t.outcome).Str("reason", string(t.reason)).
		Float64("ms", milliseconds(t.end.Sub(t.start))).Int64("bytes", t.bytes)
	if t.resumed > 0 {
		e.Int("resumed", t.resumed)
	}
	e.Array("attempts", attemptsLogArray{t})
}

// attemptsLogArray writes the attempts of a request to its log line.
type attemptsLogArray struct{ trace *Trace }

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attemptsLogArray) MarshalZerologArray(a *zerolog.Array) {
	for i := range l.trace.attempts {
		a.Object(attemptLogObject{&l.trace.attempts[i], l.trace.start})
	}
}

// attemptLogObject writes one attempt to a log line. Times are in milliseconds since
// requestStart.
type attemptLogObject struct {
	*Attempt
	requestStart time.Time
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLogObject) MarshalZerologObject(e *zerolog.Event) {
	e.Str("instance", a.Instance).Float64("start-ms", milliseconds(a.Start.Sub(a.requestStart))).
		Float64("end-ms", milliseconds(a.End.Sub(a.requestStart))).Stringer("outcome", a.Outcome)
	if a.Status > 0 {
		e.Int("status", a.Status)
	}
	for _, reason := range []struct {
		key   string
		value classifier.Reason
	}{{"cause", a.Cause}, {"reason", a.Reason}, {"denied", a.Denied}} {
		if reason.value != classifier.ReasonNone {
			e.Str(reason.key, string(reason.value))
		}
	}
	if a.Choice != nil {
		e.Object("choice", a.Choice)
	}
}

// Status returns the HTTP status that was sent to the caller, or 0.
func (t *Trace) Status() int { return t.status }

// Incomplete reports whether the outcome is not Done: the request has not run, or its
// response was lost or ended early.
func (t *Trace) Incomplete() bool { return t.outcome != classifier.Done }

// Duration returns how long the request took.
func (t *Trace) Duration() time.Duration { return t.end.Sub(t.start) }

// Service returns the service that the request was routed to, or "".
func (t *Trace) Service() string { return t.service }

// MarshalJSON returns the JSON that the explain command shows. Times of attempts are
// in milliseconds since the request arrived.
func (t *Trace) MarshalJSON() ([]byte, error) {
	view := traceView{
		ID: t.id, Method: t.method, Path: t.path, Service: t.service,
		Start: t.start.UTC(), Milliseconds: milliseconds(t.end.Sub(t.start)), Status: t.status,
		Outcome: t.outcome.String(), Reason: t.reason, Bytes: t.bytes, Resumed: t.resumed,
	}
	for _, a := range t.attempts {
		view.Attempts = append(view.Attempts, attemptView{
			Instance: a.Instance, Candidates: a.Candidates, Cause: a.Cause,
			StartMs: milliseconds(a.Start.Sub(t.start)), EndMs: milliseconds(a.End.Sub(t.start)),
			Status: a.Status, Outcome: a.Outcome.String(), Reason: a.Reason, Denied: a.Denied,
		})
	}
	p, err := json.Marshal(view)
	if err != nil {
		return nil, fmt.Errorf("marshal trace: %w", err)
	}
	return p, nil
}

type traceView struct {
	ID           string            `json:"id"`
	Method       string            `json:"method"`
	Path         string            `json:"path"`
	Service      string            `json:"service,omitempty"`
	Start        time.Time         `json:"start"`
	Milliseconds float64           `json:"milliseconds"`
	Status       int               `json:"status"`
	Outcome      string            `json:"outcome"`
	Reason       classifier.Reason `json:"reason,omitempty"`
	Bytes        int64             `json:"bytes"`
	Resumed      int               `json:"resumed,omitempty"`
	Attempts     []attemptView     `json:"attempts"`
}

type attemptView struct {
	Instance   string            `json:"instance"`
	Candidates any               `json:"candidates,omitempty"`
	Cause      classifier.Reason `json:"cause,omitempty"`
	StartMs    float64           `json:"start-ms"`
	EndMs      float64           `json:"end-ms"`
	Status     int               `json:"status,omitempty"`
	Outcome    string            `json:"outcome"`
	Reason     classifier.Reason `json:"reason,omitempty"`
	Denied     classifier.Reason `json:"denied,omitempty"`
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
