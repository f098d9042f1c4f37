package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/estimator"
)

// workEstimates holds the estimated unslowed work per request of each route.
type workEstimates struct{ byRoute sync.Map } // Route name to *atomic.Int64, in nanoseconds.

// expected returns the estimate of a route, or 0 if no request has completed yet.
func (w *workEstimates) expected(route string) time.Duration {
	if found, ok := w.byRoute.Load(route); ok {
		return time.Duration(found.(*atomic.Int64).Load())
	}
	return 0
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
