package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/estimator"
)

// goalToWork is the assumed ratio of a route's latency goal to its work, until a request
// has completed. Without an assumption, a node that has just started would send work to
// upstreams at moments when it takes several times as long.
const goalToWork = 3

// workEstimates holds the estimated unslowed work per request of each route.
type workEstimates struct{ byRoute sync.Map } // Route name to *atomic.Int64, in nanoseconds.

// expected returns the estimate of a route. Until a request has completed, it is a share
// of the route's latency goal, or 0 if the route has none.
func (w *workEstimates) expected(r *route) time.Duration {
	if found, ok := w.byRoute.Load(r.name); ok {
		return time.Duration(found.(*atomic.Int64).Load())
	}
	return r.latencyGoal / goalToWork
}

// observe updates the estimate of a route with the unslowed work of one request.
func (w *workEstimates) observe(route string, work time.Duration) {
	value, _ := w.byRoute.LoadOrStore(route, &atomic.Int64{})
	estimate := value.(*atomic.Int64)
	for {
		old := estimate.Load()
		next := int64(estimator.Next(float64(old), float64(work)))
		if estimate.CompareAndSwap(old, next) {
			return
		}
	}
}
