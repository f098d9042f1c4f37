package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// rateLimiters combines the limits on the rate at which requests start: each request must keep
// both.
type rateLimiters struct{ advertised, cold RateLimiter }

// newRateLimiters returns the combination of two limits, each of which may be nil.
func newRateLimiters(advertised, cold RateLimiter) rateLimiters {
	if advertised == nil {
		advertised = noRateLimit{}
	}
	if cold == nil {
		cold = noRateLimit{}
	}
	return rateLimiters{advertised, cold}
}

// wait returns the time until n requests may start, or 0 if they may start now, and the reason
// for the wait.
func (r rateLimiters) wait(n int, now time.Time) (time.Duration, classifier.Reason) {
	advertised, cold := r.advertised.Wait(n, now), r.cold.Wait(n, now)
	if cold > advertised {
		return cold, classifier.ReasonCold
	}
	return advertised, classifier.ReasonRateLimit
}

// take records that a request starts.
func (r rateLimiters) take(now time.Time) {
	r.advertised.Take(now)
	r.cold.Take(now)
}

// report returns the limit with the longer wait or, if neither has one, that with fewer
// requests left.
func (r rateLimiters) report(now time.Time) sampler.RateLimit {
	advertised, cold := r.advertised.Report(now), r.cold.Report(now)
	switch {
	case !cold.Limited():
		return advertised
	case !advertised.Limited() || cold.Wait > advertised.Wait:
		return cold
	case cold.Wait == advertised.Wait && cold.Left < advertised.Left:
		return cold
	}
	return advertised
}
