package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// minRetryAfterSeconds is the minimum of RetryAfterSeconds.
const minRetryAfterSeconds = 1

// Refusal is the error for a request that was not admitted and did not run.
type Refusal struct {
	reason     classifier.Reason
	retryAfter time.Duration
}

// Error returns a message with the reason.
func (r *Refusal) Error() string { return "admission refused: " + string(r.reason) }

// Reason returns why the request was refused.
func (r *Refusal) Reason() classifier.Reason { return r.reason }

// RetryAfter returns the expected time until the requests that were in flight or
// queued at the time of the refusal have finished.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up, at least 1.
func (r *Refusal) RetryAfterSeconds() int {
	return max(int((r.retryAfter+time.Second-1)/time.Second), minRetryAfterSeconds)
}
