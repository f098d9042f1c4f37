package forwarder

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workQuantile is the share of the latencies of a route that are shorter than
	// its work: the others hold waits and slow spells.
	workQuantile = 0.35
	// workStep is by how much of itself the estimate moves with one latency.
	workStep = 0.08
)

// works holds, for each route, how long its requests take where nothing slows them.
type works struct{ byRoute sync.Map } // Name to *atomic.Int64, in nanoseconds.

// expected returns how long requests of the route take, or 0 if none has ended.
func (w *works) expected(route string) time.Duration {
	if found, ok := w.byRoute.Load(route); ok {
		return time.Duration(found.(*atomic.Int64).Load())
	}
	return 0
}

// observe takes in the latency of one request of the route.
func (w *works) observe(route string, latency time.Duration) {
	found, _ := w.byRoute.LoadOrStore(route, &atomic.Int64{})
	estimate := found.(*atomic.Int64)
	for {
		old := estimate.Load()
		if estimate.CompareAndSwap(old, nextEstimate(old, int64(latency))) {
			return
		}
	}
}

// nextEstimate moves the estimate so that it settles where workQuantile of the
// latencies lie below it.
func nextEstimate(old, latency int64) int64 {
	step := workStep * float64(old)
	switch {
	case old == 0:
		return latency
	case latency < old:
		return max(old-int64(step*(1-workQuantile)), latency)
	default:
		return min(old+int64(step*workQuantile), latency)
	}
}
