package requester

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Causes of failed exchanges that do not come from the network.
var (
	errConnectionLimit = errors.New("connection limit reached")
	errHeadTooLarge    = errors.New("head of the answer is too large")
	errNoLength        = errors.New("answer has neither a length nor chunks")
	errSwitched        = errors.New("answer switches protocols")
	errClosed          = errors.New("pool is closed")
	errBodyOutcome     = errors.New("answer ended early")
)

// Error reports a failed exchange, and whether the request may have run.
type Error struct {
	outcome classifier.Outcome
	reason  classifier.Reason
	cause   error
}

// NewError returns an error with the given outcome and reason that wraps cause.
func NewError(outcome classifier.Outcome, reason classifier.Reason, cause error) *Error {
	return &Error{outcome: outcome, reason: reason, cause: cause}
}

// Error returns the reason, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.reason, e.outcome, e.cause)
}

// Outcome returns NotRun only if no byte of the request was written to the socket.
func (e *Error) Outcome() classifier.Outcome { return e.outcome }

// Reason returns why the exchange failed.
func (e *Error) Reason() classifier.Reason { return e.reason }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// contextReason returns the reason of an exchange that ended because ctx did,
// or fallback if ctx is still alive.
func contextReason(ctx context.Context, outcome classifier.Outcome, fallback classifier.Reason) classifier.Reason {
	switch err := ctx.Err(); {
	case err == nil:
		return fallback
	case errors.Is(err, context.Canceled):
		return classifier.ReasonCanceled
	case outcome == classifier.NotRun:
		return classifier.ReasonDeadline
	default:
		return classifier.ReasonTimeout
	}
}
