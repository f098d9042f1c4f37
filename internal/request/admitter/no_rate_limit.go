package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

// noRateLimit is the RateLimiter of an upstream without a rate limit.
type noRateLimit struct{}

// Wait implements RateLimiter.
func (noRateLimit) Wait(int, time.Time) time.Duration { return 0 }

// Take implements RateLimiter.
func (noRateLimit) Take(time.Time) {}

// Report implements RateLimiter.
func (noRateLimit) Report(time.Time) sampler.RateLimit { return sampler.RateLimit{} }
