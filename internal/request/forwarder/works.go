package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/estimator"
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
		next := int64(estimator.Next(float64(old), float64(latency)))
		if estimate.CompareAndSwap(old, next) {
			return
		}
	}
}
