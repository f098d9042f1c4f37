package explainer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// inlineAttempts is how many attempts a trace holds without a further allocation.
const inlineAttempts = 2

// Attempt is one try of a request at one instance.
type Attempt struct {
	// Instance is the id of the instance that was chosen.
	Instance string
	// Candidates is what the choice was made from; its JSON form is shown.
	Candidates any
	// Choice tells in a log line what the choice rests on; nil for nothing.
	Choice zerolog.LogObjectMarshaler
	// Cause is why this attempt was made: none for the first, else the reason
	// of the retry, or ReasonHedge.
	Cause classifier.Reason
	// Start is when the attempt started, End when its answer's head arrived or it failed.
	Start, End time.Time
	// Status is the HTTP status of the answer, or 0.
	Status int
	// Outcome and Reason tell how it ended. Reason is none for an answer.
	Outcome classifier.Outcome
	Reason  classifier.Reason
	// Denied is why no other attempt followed although it might have helped.
	Denied classifier.Reason
}

// Trace is what happened to one request. Only one goroutine may change it,
// until it is added to an Explainer.
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

// NewTrace returns the trace of a request that came at start.
func NewTrace(id, method, path string, start time.Time) *Trace {
	t := &Trace{id: id, method: method, path: path, start: start}
	t.attempts = t.inline[:0]
	return t
}

// AddAttempt adds an attempt that has ended.
func (t *Trace) AddAttempt(a Attempt) { t.attempts = append(t.attempts, a) }

// Attempts returns the attempts, in the order in which they ended.
func (t *Trace) Attempts() []Attempt { return t.attempts }

// Deny tells why no attempt followed the last one.
func (t *Trace) Deny(reason classifier.Reason) {
	if n := len(t.attempts); n > 0 {
		t.attempts[n-1].Denied = reason
	}
}

// End tells how the request ended.
func (t *Trace) End(now time.Time, status int, outcome classifier.Outcome, reason classifier.Reason) {
	t.end = now
	t.status = status
	t.outcome = outcome
	t.reason = reason
}

// ID returns the request's id.
func (t *Trace) ID() string { return t.id }

// Resume tells that the answer went on at another instance.
func (t *Trace) Resume() { t.resumed++ }

// Reason returns why the request failed, or ReasonNone.
func (t *Trace) Reason() classifier.Reason { return t.reason }

// Outcome returns what the caller was told.
func (t *Trace) Outcome() classifier.Outcome { return t.outcome }

// SetBytes tells how many bytes of the answer's body reached the caller.
func (t *Trace) SetBytes(n int64) { t.bytes = n }

// SetService tells the service that the request was routed to.
func (t *Trace) SetService(name string) { t.service = name }

// MarshalZerologObject writes what a log line tells of the request.
func (t *Trace) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", t.id).Str("method", t.method).Str("path", t.path).Str("service", t.service).
		Int("status", t.status).Stringer("outcome", t.outcome).Str("reason", string(t.reason)).
		Float64("ms", milliseconds(t.end.Sub(t.start))).Int64("bytes", t.bytes)
	if t.resumed > 0 {
		e.Int("resumed", t.resumed)
	}
	e.Array("attempts", attemptLines{t})
}

// attemptLines writes the attempts of a request into a log line.
type attemptLines struct{ trace *Trace }

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attemptLines) MarshalZerologArray(a *zerolog.Array) {
	for i := range l.trace.attempts {
		a.Object(attemptLine{&l.trace.attempts[i], l.trace.start})
	}
}

// attemptLine writes one attempt. Its times are milliseconds since start.
type attemptLine struct {
	*Attempt
	start time.Time
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLine) MarshalZerologObject(e *zerolog.Event) {
	e.Str("instance", a.Instance).Float64("start-ms", milliseconds(a.Start.Sub(a.start))).
		Float64("end-ms", milliseconds(a.End.Sub(a.start))).Stringer("outcome", a.Outcome)
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

// Status returns the status that the caller got, or 0.
func (t *Trace) Status() int { return t.status }

// Broken reports whether the caller did not get a whole answer.
func (t *Trace) Broken() bool { return t.outcome != classifier.Done }

// Duration returns how long the request took.
func (t *Trace) Duration() time.Duration { return t.end.Sub(t.start) }

// Service returns the service that the request was routed to, or "".
func (t *Trace) Service() string { return t.service }

// MarshalJSON returns the view of a trace for the explain command. Times of
// attempts are milliseconds since the request came.
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
