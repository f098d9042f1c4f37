package forwarder

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workWeight is the weight of a new latency in the moving average of a route.
	workWeight = 1.0 / 16
	// workExcess is how many times the average one latency counts at most, so
	// that a stall does not stand for the work.
	workExcess = 3
)

// works holds, for each route, how long its requests take.
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
	average := found.(*atomic.Int64)
	for {
		old := average.Load()
		next := int64(latency)
		if old > 0 {
			next = old + int64(workWeight*float64(min(next, workExcess*old)-old))
		}
		if average.CompareAndSwap(old, next) {
			return
		}
	}
}
