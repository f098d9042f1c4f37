package admitter

import (
	"sync/atomic"
	"time"
)

// maxCorrectableSlowness is the slowness, in percent, up to which the unslowed latency
// is estimated. It covers the slowness of a cold start, but not of a slowdown.
const maxCorrectableSlowness = 250

// Result is the result of an admitted request.
type Result struct {
	// Latency is the time until the upstream's response began.
	Latency time.Duration
	// Failed means that the upstream failed the request. It counts towards the
	// failure rate that is reported to other nodes; the latency is ignored.
	Failed bool
	// Abandoned means that the request ended for a reason other than the upstream,
	// such as a caller that canceled it. Latency and Failed are ignored.
	Abandoned bool
}

// Permit allows one request to run. It holds one slot until Done.
type Permit struct {
	admitter *Admitter
	run      run
	done     atomic.Bool
}

// run records the conditions at the start of one request in flight.
type run struct {
	startedAt time.Time
	// expectedWork is the expected duration of the work without a slowdown, or 0.
	expectedWork time.Duration
	// inFlight is the number of requests in flight at the start, itself included.
	inFlight int
	// slownessPercent is the slowness of the upstream at the start.
	slownessPercent int
}

// unslowedLatency returns the latency that the request would have had without a
// slowdown. It returns false if the slowness is unknown or too high for a useful
// estimate.
func (r run) unslowedLatency(latency time.Duration) (time.Duration, bool) {
	if r.slownessPercent <= 0 || r.slownessPercent > maxCorrectableSlowness {
		return 0, false
	}
	return latency * fullPercent / time.Duration(r.slownessPercent), true
}

func newPermit(a *Admitter, r run) *Permit { return &Permit{admitter: a, run: r} }

// UnslowedLatency returns the latency that the request would have had without a
// slowdown, given its actual latency. It returns false if no useful estimate is
// possible.
func (p *Permit) UnslowedLatency(latency time.Duration) (time.Duration, bool) {
	return p.run.unslowedLatency(latency)
}

// Done records the result and frees the slot. Further calls have no effect.
func (p *Permit) Done(result Result) {
	if p.done.CompareAndSwap(false, true) {
		p.admitter.finish(result, p.run)
	}
}
