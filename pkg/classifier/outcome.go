// Package classifier tells callers what became of a request: whether it ran,
// why it was refused, and when to come back.
//
// # Usage
//
// A caller that uses net/http reads the verdict off the response:
//
//	resp, err := client.Do(req)
//	verdict := classifier.FromResponse(resp, err)
//	if verdict.Outcome() == classifier.NotRun {
//		time.Sleep(verdict.RetryAfter()) // The request never ran: sending it again is safe.
//	}
//
// An upstream that sheds a request before doing any work says so by setting
// HeaderOutcome to "not-run" on its 503 response. No status code alone proves
// that a request was not run.
package classifier

import (
	"github.com/pkg/errors"
)

// Outcome tells what is known about the execution of one request.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Done means that the upstream answered the request.
	Done
	// NotRun means that the request is proved not to have run: no byte of it
	// reached an upstream, or the upstream itself said that it did no work.
	NotRun
)

// ErrOutcome reports an outcome name that is not one of "unknown", "done" and
// "not-run".
var ErrOutcome = errors.New("unrecognized outcome")

var outcomeNames = [...]string{Unknown: "unknown", Done: "done", NotRun: "not-run"}

// ParseOutcome returns the outcome with the given name. It returns Unknown and
// ErrOutcome for any other text, since nothing is proved then.
func ParseOutcome(s string) (Outcome, error) {
	for o, name := range outcomeNames {
		if s == name {
			return Outcome(o), nil
		}
	}
	return Unknown, errors.Wrapf(ErrOutcome, "%q", s)
}

// String returns the outcome's name as it stands in HeaderOutcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}
