package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// maxHeldRateWait is the longest wait for a cold rate for which waiting requests stay. A doubt about a
// warm upstream seldom lasts longer, and a refusal after a wait costs its caller most.
const maxHeldRateWait = 50 * time.Millisecond

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

// wait returns the time until the given numbers of requests may start by the two limits, or 0 if they
// may start now, and the reason for the wait.
func (r rateLimiters) wait(byAdvertised, byCold int, now time.Time) (time.Duration, classifier.Reason) {
	advertised, cold := r.advertised.Wait(byAdvertised, now), r.cold.Wait(byCold, now)
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

// arrivalRateRefusal returns a refusal if a limit does not let a new request start now, after those
// that wait. The cold rate does not count waiting requests of lower priority, which start later.
func (a *Admitter) arrivalRateRefusal(priority compiler.Priority, now time.Time) *Refusal {
	reserved := a.rateReserve.forHigher(priority, now)
	return a.rateRefusal(a.queue.len()+1+reserved, a.queue.lenFrom(priority)+1+reserved, now)
}

// rateRefusal returns a refusal if a limit does not let as many requests start now, since another
// instance may take them at once. Its RetryAfter is the time until it does.
func (a *Admitter) rateRefusal(byAdvertised, byCold int, now time.Time) *Refusal {
	wait, reason := a.rateLimits.wait(byAdvertised, byCold, now)
	if wait == 0 {
		return nil
	}
	return &Refusal{reason: reason, retryAfter: wait}
}

// holdForRate reports whether waiting requests stay although the rate lets none of them start now. They
// are reviewed again when it may. The mutex must be held.
func (a *Admitter) holdForRate(refusal *Refusal) bool {
	if refusal.reason != classifier.ReasonCold || refusal.retryAfter > maxHeldRateWait {
		return false
	}
	if !a.rateHeld {
		a.rateHeld = true
		time.AfterFunc(refusal.retryAfter, a.endHold)
	}
	return true
}

// endHold reviews requests that have stayed for a cold rate.
func (a *Admitter) endHold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rateHeld = false
	now := time.Now()
	a.review(now)
	a.notify(now)
}
