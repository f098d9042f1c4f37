package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Observer receives each change of the number of requests in flight, in order.
// InFlightChanged is called with the admitter locked: it must be quick and must
// not call the admitter.
type Observer interface {
	InFlightChanged(now time.Time, inFlight, limit int)
}

// RateLimiter limits the rate at which requests start.
type RateLimiter interface {
	// Wait returns the time until n requests may start, or 0 if they may start now.
	Wait(n int, now time.Time) time.Duration
	// Take records that a request starts.
	Take(now time.Time)
	// Report returns the limit for the load report.
	Report(now time.Time) sampler.RateLimit
}

// Config lists the settings of an Admitter.
type Config struct {
	// Slots is how many requests the upstream runs concurrently, at least 1.
	Slots int
	// Connections is how many connections the upstream accepts, at least 1.
	Connections int
	// QueueLength is the maximum number of waiting requests; 0 disables the queue.
	QueueLength int
	// ColdStart is the time that the limit takes after New to rise to its full value.
	ColdStart time.Duration
	// LimitIgnoresLatency disables the adaptation of the limit to latency, for an
	// upstream that is slowed by other processes rather than by its own work. The
	// limit is then the smaller of Slots and Connections, or that of low occupancy
	// while contention is detected.
	LimitIgnoresLatency bool
	// Slowdown returns the current slowdown of the upstream; nil if that is unknown.
	Slowdown func(now time.Time) sampler.Slowdown
	// LinkWait returns how long a large response waits for the network link; nil if
	// that is unknown.
	LinkWait func() time.Duration
	// Overload is what decides which requests wait or are refused beyond capacity.
	Overload compiler.Overload
	// RateLimiter limits the rate at which requests start; nil for no limit.
	RateLimiter RateLimiter
	// ColdLimiter limits that rate while the upstream is cold; nil for no limit.
	ColdLimiter RateLimiter
	// Observer receives changes of the requests in flight; nil for none.
	Observer Observer
}

// Request describes a request to be admitted.
type Request struct {
	// Priority is the priority class.
	Priority compiler.Priority
	// Deadline is when the response is needed at the latest; the zero time for none.
	Deadline time.Time
	// LatencyGoalTime is the time until which a response is worth most; the zero time
	// if the request has only a deadline.
	LatencyGoalTime time.Time
	// ExpectedWork is the expected duration of the work if nothing slows the
	// upstream; 0 if that is unknown.
	ExpectedWork time.Duration
	// Retried marks a retry. Since another instance refused an earlier attempt, it may
	// wait as long as it can meet its deadline. If it would miss its latency goal, its
	// response must be expected within half of the time until the deadline.
	Retried bool
	// PreferLocal lets a first attempt wait as long as a retry, except at a straggler,
	// because a response from this instance after a wait is better than one from
	// another instance.
	PreferLocal bool
	// Organisation is the name of the caller's organisation; empty if it has none.
	Organisation string
	// Nested means that a running request made the call and waits for the response.
	Nested bool
	// arrivedLate means that the latency goal could no longer be met on arrival.
	arrivedLate bool
	// goalOnArrival is the time until the latency goal on arrival, 0 if that is unknown or past.
	goalOnArrival time.Duration
}
