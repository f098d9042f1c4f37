package admitter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// reservePeriod is how long after the arrival of a request one request of the rate limit
	// is reserved for its class.
	reservePeriod = time.Second
	// reservedRequests is the number of requests that are reserved.
	reservedRequests = 1
)

// rateReserve keeps a part of a rate limit for urgent requests. It serves a load of several
// classes beyond the limit: without it, each class gets the limit by its share of the
// requests. A class gets what the higher ones leave, and one of agingInterval starts.
type rateReserve struct {
	arrivedAt [compiler.PriorityHigh + 1]time.Time // Of the last request of each class.
	starts    uint64
}

// forHigher records that a request of a class arrives, and returns the number of requests
// that are reserved for higher classes.
func (r *rateReserve) forHigher(priority compiler.Priority, now time.Time) int {
	class := classOf(priority)
	r.arrivedAt[class] = now
	if r.starts%agingInterval == agingInterval-1 {
		return 0
	}
	for _, arrivedAt := range r.arrivedAt[class+1:] {
		if now.Sub(arrivedAt) < reservePeriod {
			return reservedRequests
		}
	}
	return 0
}
