package admitter

import (
	"sync/atomic"
	"time"
)

// maxNormalizedSlowness is the slowness, in percent, up to which what work takes is
// compared with what it takes at other times: that of a cold start, not of a
// slow spell.
const maxNormalizedSlowness = 250

// Result tells how admitted work ended.
type Result struct {
	// Latency is the time until the upstream's answer began.
	Latency time.Duration
	// Failed means that the upstream failed the request. It counts towards the
	// failure rate that other nodes are told, and its latency does not count.
	Failed bool
	// Abandoned means that the exchange ended for a reason that is not the
	// upstream's, such as a caller that left. Nothing of it counts.
	Abandoned bool
}

// Permit is the right to run one request. It holds one slot until Done.
type Permit struct {
	admitter *Admitter
	run      run
	done     atomic.Bool
}

// run is one admitted request while it runs.
type run struct {
	startedAt time.Time
	// expected is how long it was expected to take, or 0.
	expected time.Duration
	// inFlight is how many requests ran when it began, itself included.
	inFlight int
	// slownessPercent is how slow the upstream was when it began, in percent.
	slownessPercent int
}

// normalizedLatency returns how long the upstream would have taken if nothing had slowed it,
// given how long it took. It reports false where too much did: what is left of
// that tells little.
func (r run) normalizedLatency(latency time.Duration) (time.Duration, bool) {
	if r.slownessPercent <= 0 || r.slownessPercent > maxNormalizedSlowness {
		return 0, false
	}
	return latency * fullPercent / time.Duration(r.slownessPercent), true
}

func newPermit(a *Admitter, r run) *Permit { return &Permit{admitter: a, run: r} }

// Work returns how long the upstream would have taken if nothing had slowed it,
// given how long it took, and whether that can be told.
func (p *Permit) Work(latency time.Duration) (time.Duration, bool) {
	return p.run.normalizedLatency(latency)
}

// Done gives the slot back. Only the first call counts.
func (p *Permit) Done(result Result) {
	if p.done.CompareAndSwap(false, true) {
		p.admitter.finish(result, p.run)
	}
}
