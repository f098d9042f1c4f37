package admitter

import "time"

const (
	// successPeriod is how long a successful request overrides the health endpoint.
	successPeriod = 2 * time.Second
	// hintPeriod is how long a hint applies. Requests then try the upstream again.
	hintPeriod = 30 * time.Second
	// hintMaxAge is the maximum age of the latest reading for which a hint applies.
	hintMaxAge = 15 * time.Second
)

// hint is the state reported by the health endpoint of the upstream. Since such
// endpoints lag and mislead, it can only make the upstream look worse than its
// requests do, and only while none of them has succeeded recently.
type hint struct {
	unhealthy   bool
	since       time.Time // When the endpoint first reported its current state.
	lastRead    time.Time // When the endpoint was last read.
	lastSuccess time.Time // When a request last succeeded.
}

// record records one reading of the endpoint.
func (h *hint) record(healthy bool, now time.Time) {
	if h.unhealthy == healthy {
		h.unhealthy = !healthy
		h.since = now
	}
	h.lastRead = now
}

// applies reports whether the upstream counts as unhealthy.
func (h *hint) applies(now time.Time) bool {
	if !h.unhealthy || now.Sub(h.lastRead) > hintMaxAge {
		return false
	}
	from := h.since
	if outweighed := h.lastSuccess.Add(successPeriod); outweighed.After(from) {
		from = outweighed
	}
	return !now.Before(from) && now.Sub(from) < hintPeriod
}
