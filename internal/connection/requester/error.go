package requester

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Causes of failed exchanges other than network errors.
var (
	errConnectionLimit = errors.New("connection limit reached")
	errHeadTooLarge    = errors.New("response head is too large")
	errNoFraming       = errors.New("response has neither a length nor chunked encoding")
	errTwoHeads        = errors.New("response head contains another one")
	errProtocolSwitch  = errors.New("response switches protocols")
	errPoolClosed      = errors.New("pool is closed")
	errWritesEnded     = errors.New("response has ended, the rest of the request is not sent")
	errNoOrderlyEnd    = errors.New("connection ended with an error while the request was being sent")
	errBadStatus       = errors.New("response has an impossible status or protocol version")
	errBodyClosed      = errors.New("response body was closed before its end")
)

// Error describes a failed exchange and whether the request may have run.
type Error struct {
	outcome classifier.Outcome
	reason  classifier.Reason
	cause   error
}

// NewError returns an Error with the given outcome and reason that wraps cause.
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

// contextReason returns the reason of a failed exchange whose ctx has ended, or fallback
// if ctx has not ended.
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
