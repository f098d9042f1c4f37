// Package classifier reads from a response whether the request ran, why it was
// refused, and when to retry it. It also names the headers that carry this.
//
// # Usage
//
// A caller that uses net/http derives the verdict from the response:
//
//	resp, err := client.Do(req)
//	verdict := classifier.FromResponse(resp, err)
//	if verdict.Outcome() == classifier.NotRun {
//		time.Sleep(verdict.RetryAfter()) // The request did not run: a retry is safe.
//	}
//
// An upstream that sheds a request before doing any work sets HeaderOutcome to
// "not-run" on its 503 response. A status code alone does not prove that a request
// did not run.
package classifier

import (
	"github.com/pkg/errors"
)

// Outcome states what is known about the execution of a request.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Done means that the upstream responded to the request.
	Done
	// NotRun means that the request is proven not to have run: no byte of it reached
	// an upstream, or the upstream itself stated that it did no work.
	NotRun
)

// ErrOutcome means that a name is not one of "unknown", "done" and "not-run".
var ErrOutcome = errors.New("unrecognized outcome")

var outcomeNames = [...]string{Unknown: "unknown", Done: "done", NotRun: "not-run"}

// ParseOutcome returns the outcome with the given name. For any other text it returns
// Unknown, since that proves nothing, and ErrOutcome.
func ParseOutcome(s string) (Outcome, error) {
	for o, name := range outcomeNames {
		if s == name {
			return Outcome(o), nil
		}
	}
	return Unknown, errors.Wrapf(ErrOutcome, "%q", s)
}

// String returns the outcome's name, as used in HeaderOutcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}
