package classifier

import (
	"net/http"
	"strconv"
	"time"
)

// Verdict is what a caller may conclude from one response.
type Verdict struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
}

// FromResponse returns the verdict on a response of a node, or on the error that
// http.Client.Do returned instead. An error, or a response without a valid
// HeaderOutcome, proves nothing: the outcome is Unknown.
func FromResponse(resp *http.Response, err error) Verdict {
	if err != nil || resp == nil {
		return Verdict{outcome: Unknown}
	}
	outcome, parseErr := ParseOutcome(resp.Header.Get(HeaderOutcome))
	if parseErr != nil {
		return Verdict{outcome: Unknown}
	}
	return Verdict{
		outcome:    outcome,
		reason:     Reason(resp.Header.Get(HeaderReason)),
		retryAfter: retryAfter(resp.Header, time.Now()),
	}
}

// retryAfter returns the time until a retry. It prefers the header in milliseconds,
// which is more precise.
func retryAfter(h http.Header, now time.Time) time.Duration {
	if ms, err := strconv.ParseUint(h.Get(HeaderRetryAfterMS), 10, 31); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return parseRetryAfter(h.Get(HeaderRetryAfter), now)
}

// Outcome states whether the request ran.
func (v Verdict) Outcome() Outcome { return v.outcome }

// Reason returns the cause of a refusal, or ReasonNone.
func (v Verdict) Reason() Reason { return v.reason }

// RetryAfter returns the time to wait before a retry, or 0 if the response does not
// state it.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// parseRetryAfter parses both forms of Retry-After that RFC 9110 permits: whole
// seconds and an HTTP date. It returns 0 if the header is invalid or the date past.
func parseRetryAfter(s string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(s, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil && at.After(now) {
		return at.Sub(now)
	}
	return 0
}
