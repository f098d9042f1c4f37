package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// minRetryAfter is the shortest time to come back that whole seconds can tell.
const minRetryAfter = 1

// Refusal is the error of work that was not admitted and did not run.
type Refusal struct {
	reason     classifier.Reason
	retryAfter time.Duration
}

// Error returns a short text with the reason.
func (r *Refusal) Error() string { return "admission refused: " + string(r.reason) }

// Reason returns why the work was refused.
func (r *Refusal) Reason() classifier.Reason { return r.reason }

// RetryAfter returns the estimated time until the work that was here is done.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up, at least 1.
func (r *Refusal) RetryAfterSeconds() int {
	return max(int((r.retryAfter+time.Second-1)/time.Second), minRetryAfter)
}
