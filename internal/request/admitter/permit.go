package admitter

import (
	"sync/atomic"
	"time"
)

// Result tells how admitted work ended.
type Result struct {
	// Latency is the time that the exchange with the upstream took.
	Latency time.Duration
	// Failed means that the latency says nothing about the upstream's speed,
	// as after a broken connection or a canceled request.
	Failed bool
}

// Permit is the right to run one request.
type Permit struct {
	admitter *Admitter
	done     atomic.Bool
}

// Done gives the slot back. Only the first call counts.
func (p *Permit) Done(result Result) {
	if p.done.CompareAndSwap(false, true) {
		p.admitter.end(result)
	}
}
