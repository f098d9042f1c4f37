package admitter

import (
	"container/list"
	"time"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// shareWeight is the weight of one request in the moving shares of the classes.
	shareWeight = 1.0 / 64
	// minClassShare is the minimum share of starts that the expected wait of a class
	// assumes. It bounds the effect of higher classes.
	minClassShare = 0.1
	// agingInterval is the number of turns of which one goes to a lower class. The
	// inverse is the share of the queue that is reserved for each lower class.
	agingInterval = 20
)

// queue holds the waiting requests in one list for each priority class. A list is
// in order of arrival, but requests with latency goals are sorted by before.
type queue struct {
	capacity    int
	size        int
	arrivals    uint64 // Total number of requests added.
	dispatched  uint64 // Total number of requests started from the queue.
	classes     [compiler.PriorityHigh + 1]list.List
	startShares [compiler.PriorityHigh + 1]float64 // Moving shares in the started requests.
}

// position returns the position that a new request would have.
func (q *queue) position(req Request) position {
	own := &q.classes[classOf(req.Priority)]
	n := own.Len()
	for e := own.Back(); e != nil && req.before(e.Value.(*waiter).req); e = e.Prev() {
		n--
	}
	pos := position{sameClass: float64(n), ahead: float64(n)}
	for class := classOf(req.Priority) + 1; class < len(q.classes); class++ {
		pos.ahead += float64(q.classes[class].Len())
	}
	return pos
}

// before reports whether a request is queued before another one of its class that
// arrived earlier. Requests that arrived in time for their latency goals come first,
// ordered by goal. Those that arrived too late follow, ordered by deadline. A request
// without a goal keeps its place.
func (req Request) before(other Request) bool {
	if req.LatencyGoalTime.IsZero() || other.LatencyGoalTime.IsZero() {
		return false
	}
	if req.arrivedLate != other.arrivedLate {
		return other.arrivedLate
	}
	if req.arrivedLate {
		return req.Deadline.Before(other.Deadline)
	}
	return req.LatencyGoalTime.Before(other.LatencyGoalTime)
}

// recordStart updates the moving shares for a request that starts to run.
func (q *queue) recordStart(priority compiler.Priority) {
	for p := range q.startShares {
		q.startShares[p] -= shareWeight * q.startShares[p]
	}
	q.startShares[classOf(priority)] += shareWeight
}

// shareUpTo returns the share of recently started requests whose class is not higher
// than the given priority, at least minClassShare.
func (q *queue) shareUpTo(priority compiler.Priority) float64 {
	share := 1.0
	for p := classOf(priority) + 1; p < len(q.startShares); p++ {
		share -= q.startShares[p]
	}
	return max(share, minClassShare)
}

// next returns the request to start next, or nil if none is ready. It is the most
// urgent one. In one of agingInterval turns, it is instead the oldest among the first
// requests of the lower classes that are ready, if there is one.
func (q *queue) next(orderKey func(Request) time.Duration, ready func(Request) bool) *waiter {
	next := q.mostUrgent(orderKey, ready)
	if next == nil || q.dispatched%agingInterval != agingInterval-1 {
		return next
	}
	var oldest *waiter
	for p := range classOf(next.req.Priority) {
		if e := q.classes[p].Front(); e != nil {
			if w := e.Value.(*waiter); ready(w.req) && (oldest == nil || w.arrival < oldest.arrival) {
				oldest = w
			}
		}
	}
	if oldest != nil {
		return oldest
	}
	return next
}

// victim returns the request that a new one of the given priority preempts from a
// full queue: the last of the lowest class that exceeds its reserved share of the
// queue. It returns nil if no lower class does.
func (q *queue) victim(priority compiler.Priority) *waiter {
	for p := range classOf(priority) {
		if q.classes[p].Len() > q.capacity/agingInterval {
			return q.lastOf(compiler.Priority(p))
		}
	}
	return nil
}

// mostUrgent returns the request with the least key in the highest class that has
// ready requests, or nil. Of equal keys, it returns the first one in the list.
func (q *queue) mostUrgent(orderKey func(Request) time.Duration, ready func(Request) bool) *waiter {
	for p := len(q.classes) - 1; p >= 0; p-- {
		var best *waiter
		var least time.Duration
		for e := q.classes[p].Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if !ready(w.req) {
				continue
			}
			if key := orderKey(w.req); best == nil || key < least {
				best, least = w, key
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// first returns the first request of the highest non-empty class, or nil.
func (q *queue) first() *waiter {
	for p := len(q.classes) - 1; p >= 0; p-- {
		if e := q.classes[p].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// last returns the last request of the lowest non-empty class, or nil.
func (q *queue) last() *waiter {
	for p := range q.classes {
		if w := q.lastOf(compiler.Priority(p)); w != nil {
			return w
		}
	}
	return nil
}

// lastOf returns the last request of the class of a priority, or nil.
func (q *queue) lastOf(priority compiler.Priority) *waiter {
	if e := q.classes[classOf(priority)].Back(); e != nil {
		return e.Value.(*waiter)
	}
	return nil
}

func (q *queue) len() int { return q.size }

// lenFrom returns the number of waiting requests whose class is not lower than the given priority.
func (q *queue) lenFrom(priority compiler.Priority) int {
	n := 0
	for class := classOf(priority); class < len(q.classes); class++ {
		n += q.classes[class].Len()
	}
	return n
}

func (q *queue) push(w *waiter) {
	q.arrivals++
	w.arrival = q.arrivals
	w.element = q.insert(w)
	q.size++
}

// insert inserts w into the list of its class.
func (q *queue) insert(w *waiter) *list.Element {
	class := &q.classes[classOf(w.req.Priority)]
	last := class.Back()
	for last != nil && w.req.before(last.Value.(*waiter).req) {
		last = last.Prev()
	}
	if last == nil {
		return class.PushFront(w)
	}
	return class.InsertAfter(w, last)
}

func (q *queue) remove(w *waiter) {
	q.classes[classOf(w.req.Priority)].Remove(w.element)
	w.element = nil
	q.size--
}

// classOf returns the index of the class of a priority.
func classOf(priority compiler.Priority) int {
	return int(min(priority, compiler.PriorityHigh))
}
