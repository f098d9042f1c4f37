package sampler

import (
	"math"
	"time"
)

// ratePrecision is the number of distinct rate limits between two whole numbers.
const ratePrecision = 1000

// RateLimit is the rate of requests that an upstream says it accepts, as its serving node
// enforces it. The zero value stands for no limit.
type RateLimit struct {
	// PerSecond is the number of requests a second; 0 for no limit.
	PerSecond float64
	// Age is the time since the upstream last advertised the limit.
	Age time.Duration
	// Left is the number of requests that may start at once.
	Left int
	// Wait is the time until a request may start; 0 if Left is greater than 0.
	Wait time.Duration
}

// Limited reports whether there is a limit.
func (r RateLimit) Limited() bool { return r.PerSecond > 0 }

// clamped returns r with each field within its bounds, the rate rounded to a multiple of
// 1/ratePrecision, the age rounded down and the wait up to milliseconds. A limit never
// becomes none.
func (r RateLimit) clamped() RateLimit {
	if !r.Limited() {
		return RateLimit{}
	}
	return RateLimit{
		PerSecond: math.Round(min(max(r.PerSecond, 1.0/ratePrecision), maxRatePerSecond)*ratePrecision) / ratePrecision,
		Age:       min(max(r.Age, 0), maxRateAge).Truncate(time.Millisecond),
		Left:      clamp(r.Left, maxCount),
		Wait:      min(max(r.Wait, 0)+time.Millisecond-1, maxRateWait).Truncate(time.Millisecond),
	}
}
