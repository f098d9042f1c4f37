package coldlimiter

import "time"

const (
	// burstPeriod is the time whose requests may start at once after a while without any,
	// and minBurst the least number of them: two may coincide.
	burstPeriod = 300 * time.Millisecond
	minBurst    = 3
	// tokenTolerance is the number of requests by which rounding may reduce those left.
	tokenTolerance = 1e-6
)

// bucket is a token bucket that may be in debt.
type bucket struct {
	perSecond float64
	tokens    float64 // At filledAt.
	filledAt  time.Time
}

// burst returns the number of tokens that the bucket holds.
func (b *bucket) burst() float64 { return max(b.perSecond*burstPeriod.Seconds(), minBurst) }

// setRate changes the rate from now.
func (b *bucket) setRate(perSecond float64, now time.Time) {
	b.tokens = b.tokensAt(now)
	b.filledAt = now
	b.perSecond = perSecond
	b.tokens = min(b.tokens, b.burst())
}

// reset fills the bucket, but for requests that have started within the last window. The debt
// is at most what one window fills.
func (b *bucket) reset(started float64, now time.Time) {
	b.tokens = max(b.burst()-started, -b.perSecond*window.Seconds())
	b.filledAt = now
}

// take takes one token.
func (b *bucket) take(now time.Time) {
	b.tokens = b.tokensAt(now) - 1
	if now.After(b.filledAt) {
		b.filledAt = now
	}
}

// tokensAt returns the tokens at now. Time fills the bucket only up to the burst.
func (b *bucket) tokensAt(now time.Time) float64 {
	return min(b.tokens+max(now.Sub(b.filledAt), 0).Seconds()*b.perSecond, b.burst())
}

// wait returns the time until there are n tokens.
func (b *bucket) wait(n int, now time.Time) time.Duration {
	missing := float64(n) - b.tokensAt(now) - tokenTolerance
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.perSecond * float64(time.Second))
}
