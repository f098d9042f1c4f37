package forwarder

import (
	"sync"
	"time"
)

const (
	// timeoutTolerance is the difference up to which two timeouts count as equal.
	timeoutTolerance = 10 * time.Millisecond
	// fullShareWeight is the weight of one request in fullShare.
	fullShareWeight = 1.0 / 32
	// minFullShare is the share of requests that must arrive with the full timeout
	// before a shorter one is attributed to an earlier attempt. Below it, callers are
	// assumed to use different timeouts.
	minFullShare = 0.3
	// fullTimeoutMaxAge is how long the full timeout is kept without being seen again.
	fullTimeoutMaxAge = time.Minute
)

// timeoutTracker estimates how long a caller of one route has been waiting since its
// first attempt. A caller that retries after a refusal sends only the rest of its
// timeout, and such a request may already be past the latency goal. The longest recent
// timeout is taken as the timeout of a first attempt.
type timeoutTracker struct {
	mu          sync.Mutex
	fullTimeout time.Duration
	lastSeen    time.Time // When the full timeout was last seen.
	fullShare   float64   // Moving share of requests that arrive with the full timeout.
}

// elapsed records the remaining timeout of a request and returns how long its caller
// has been waiting.
func (t *timeoutTracker) elapsed(remaining time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if remaining > t.fullTimeout+timeoutTolerance || now.Sub(t.lastSeen) > fullTimeoutMaxAge {
		t.fullTimeout, t.fullShare = remaining, 0
	}
	elapsed := t.fullTimeout - remaining
	if elapsed <= timeoutTolerance {
		t.lastSeen = now
		t.fullShare += fullShareWeight * (1 - t.fullShare)
		return 0
	}
	t.fullShare -= fullShareWeight * t.fullShare
	if t.fullShare < minFullShare {
		return 0
	}
	return elapsed
}

// timeoutTrackers holds one timeoutTracker per route.
type timeoutTrackers struct{ byRoute sync.Map } // Route name to *timeoutTracker.

// forRoute returns the tracker of a route, creating it on first use.
func (t *timeoutTrackers) forRoute(route string) *timeoutTracker {
	if found, ok := t.byRoute.Load(route); ok {
		return found.(*timeoutTracker)
	}
	found, _ := t.byRoute.LoadOrStore(route, &timeoutTracker{})
	return found.(*timeoutTracker)
}
