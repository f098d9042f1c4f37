package recognizer

import (
	"sync"
	"time"
)

const (
	// fullTimeoutSpread is the share of the longest timeout by which the timeouts of first
	// attempts differ.
	fullTimeoutSpread = 0.2
	// fullTimeoutWeight is the weight of one request in the moving averages. Until there
	// are that many requests, all have equal weight.
	fullTimeoutWeight = 1.0 / 32
	// minFullShare is the share of requests that must arrive with a full timeout
	// before a shorter one is attributed to an earlier attempt. Below it, callers are
	// assumed to use different timeouts.
	minFullShare = 0.3
	// minFullTimeouts is how many full timeouts must be seen before that.
	minFullTimeouts = 3
	// fullTimeoutMaxAge is how long the longest timeout is kept without another full one.
	fullTimeoutMaxAge = time.Minute
)

// timeoutTracker estimates how long a caller of one route has been waiting since its
// first attempt. A caller that retries sends only the rest of its timeout. Timeouts
// within fullTimeoutSpread of the longest recent one count as full, which means that
// they are those of first attempts.
type timeoutTracker struct {
	mu       sync.Mutex
	longest  time.Duration
	lastFull time.Time // When a full timeout was last seen.
	// requests and full count the requests and the full timeouts since longest changed.
	requests, full int
	meanFull       float64 // Moving average of the full timeouts.
	fullShare      float64 // Moving share of requests with a full timeout.
}

// elapsed records the remaining timeout of a request and returns how long its caller
// has been waiting.
func (t *timeoutTracker) elapsed(remaining time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if remaining > t.longest || now.Sub(t.lastFull) > fullTimeoutMaxAge {
		t.setLongest(remaining, now)
	}
	t.requests++
	weight := max(fullTimeoutWeight, 1/float64(t.requests))
	if float64(remaining) >= (1-fullTimeoutSpread)*float64(t.longest) {
		t.full++
		t.lastFull = now
		t.fullShare += weight * (1 - t.fullShare)
		t.meanFull += max(fullTimeoutWeight, 1/float64(t.full)) * (float64(remaining) - t.meanFull)
		return 0
	}
	t.fullShare -= weight * t.fullShare
	if t.full < minFullTimeouts || t.fullShare < minFullShare {
		return 0
	}
	return time.Duration(t.meanFull) - remaining
}

// setLongest records a new longest timeout. The counts start again, unless the earlier
// full timeouts are still full by the new longest one.
func (t *timeoutTracker) setLongest(remaining time.Duration, now time.Time) {
	known := t.meanFull >= (1-fullTimeoutSpread)*float64(remaining) && now.Sub(t.lastFull) <= fullTimeoutMaxAge
	t.longest = remaining
	t.lastFull = now
	if !known {
		t.requests, t.full, t.fullShare, t.meanFull = 0, 0, 0, 0
	}
}
