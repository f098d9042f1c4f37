package admitter

import "time"

const (
	// successPeriod is how long a successful request overrides the health endpoint.
	successPeriod = 2 * time.Second
	// healthReportPeriod is how long an unhealthy report applies. Requests then try the
	// upstream again.
	healthReportPeriod = 30 * time.Second
	// healthReadMaxAge is the maximum age of the latest reading for which an unhealthy
	// report applies.
	healthReadMaxAge = 15 * time.Second
)

// healthReport is the state reported by the health endpoint of the upstream. Since such
// endpoints lag and mislead, it can only make the upstream look worse than its
// requests do, and only while none of them has succeeded recently.
type healthReport struct {
	unhealthy   bool
	since       time.Time // When the endpoint first reported its current state.
	lastRead    time.Time // When the endpoint was last read.
	lastSuccess time.Time // When a request last succeeded.
}

// record records one reading of the endpoint.
func (h *healthReport) record(healthy bool, now time.Time) {
	if h.unhealthy == healthy {
		h.unhealthy = !healthy
		h.since = now
	}
	h.lastRead = now
}

// indicatesFailure reports whether the upstream counts as unhealthy.
func (h *healthReport) indicatesFailure(now time.Time) bool {
	if !h.unhealthy || now.Sub(h.lastRead) > healthReadMaxAge {
		return false
	}
	from := h.since
	if overriddenUntil := h.lastSuccess.Add(successPeriod); overriddenUntil.After(from) {
		from = overriddenUntil
	}
	return !now.Before(from) && now.Sub(from) < healthReportPeriod
}
