package admitter

import "time"

const (
	// successPeriod is for how long an answer of the upstream outweighs what its
	// health endpoint says.
	successPeriod = 2 * time.Second
	// hintPeriod is how long a hint counts before requests try the upstream again.
	hintPeriod = 30 * time.Second
	// hintMaxAge is how long after the newest reading a hint still counts.
	hintMaxAge = 15 * time.Second
)

// hint is what the health endpoint of the upstream says, beside what requests
// saw. It only makes an upstream look worse, and only while no request to it
// has succeeded lately: such endpoints lag and mislead.
type hint struct {
	unhealthy   bool
	since       time.Time // When the endpoint began to say what it says now.
	lastRead    time.Time // When it was read last.
	lastSuccess time.Time // When a request succeeded last.
}

// record takes in one reading of the endpoint.
func (h *hint) record(healthy bool, now time.Time) {
	if h.unhealthy == healthy {
		h.unhealthy = !healthy
		h.since = now
	}
	h.lastRead = now
}

// applies reports whether the upstream is to be taken for unhealthy.
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
