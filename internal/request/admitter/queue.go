package admitter

import (
	"container/list"
	"time"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// shareWeight is the weight of one request in the shares of the classes.
	shareWeight = 1.0 / 64
	// minClassShare bounds how far a class's wait is stretched by higher ones.
	minClassShare = 0.1
	// agingInterval is how often a request of a lower class goes first: once in so many
	// turns. Of a full queue, one place in as many is kept for each lower class.
	agingInterval = 20
)

// queue holds the waiting requests, one list for each priority in order of
// arrival. Each operation takes constant time.
type queue struct {
	capacity    int
	size        int
	arrivals    uint64 // Requests that ever waited.
	dispatched  uint64 // Requests that got their turn from the queue.
	classes     [compiler.PriorityHigh + 1]list.List
	startShares [compiler.PriorityHigh + 1]float64 // Of the work begun lately, by class.
}

// position returns the position of a new request.
func (q *queue) position(work Work) position {
	own := &q.classes[classOf(work.Priority)]
	n := own.Len()
	for e := own.Back(); e != nil && work.before(e.Value.(*waiter).work); e = e.Prev() {
		n--
	}
	pos := position{sameClass: float64(n), ahead: float64(n)}
	for class := classOf(work.Priority) + 1; class < len(q.classes); class++ {
		pos.ahead += float64(q.classes[class].Len())
	}
	return pos
}

// before reports whether work goes before other work of its class that came
// earlier: it is due earlier, or the other was late when it came.
func (w Work) before(other Work) bool {
	if w.Due.IsZero() || other.Due.IsZero() {
		return false
	}
	if w.arrivedLate != other.arrivedLate {
		return other.arrivedLate
	}
	if w.arrivedLate {
		return w.Deadline.Before(other.Deadline)
	}
	return w.Due.Before(other.Due)
}

// recordStart takes in the priority of a request that begins to run.
func (q *queue) recordStart(priority compiler.Priority) {
	for p := range q.startShares {
		q.startShares[p] -= shareWeight * q.startShares[p]
	}
	q.startShares[classOf(priority)] += shareWeight
}

// shareUpTo returns the share of the work begun lately that was not of a higher
// class than the given priority.
func (q *queue) shareUpTo(priority compiler.Priority) float64 {
	share := 1.0
	for p := classOf(priority) + 1; p < len(q.startShares); p++ {
		share -= q.startShares[p]
	}
	return max(share, minClassShare)
}

// next returns the request whose turn is next, or nil: of the highest class
// the one with the least time left by the given measure, or now and then the one
// of a lower class that waits longest. What is not ready has no turn.
func (q *queue) next(timeLeft func(Work) time.Duration, ready func(Work) bool) *waiter {
	next := q.mostUrgent(timeLeft, ready)
	if next == nil || q.dispatched%agingInterval != agingInterval-1 {
		return next
	}
	var oldest *waiter
	for p := range classOf(next.work.Priority) {
		if e := q.classes[p].Front(); e != nil {
			if w := e.Value.(*waiter); ready(w.work) && (oldest == nil || w.number < oldest.number) {
				oldest = w
			}
		}
	}
	if oldest != nil {
		return oldest
	}
	return next
}

// victim returns the request that leaves a full queue for a new one of the
// given priority: the newest of the lowest class that has more than the places
// that are kept for it. It returns nil if no lower class has.
func (q *queue) victim(priority compiler.Priority) *waiter {
	for p := range classOf(priority) {
		if q.classes[p].Len() > q.capacity/agingInterval {
			return q.lastOf(compiler.Priority(p))
		}
	}
	return nil
}

// mostUrgent returns the request of the highest class that has any ready with
// the least time left, the first of several, or nil.
func (q *queue) mostUrgent(timeLeft func(Work) time.Duration, ready func(Work) bool) *waiter {
	for p := len(q.classes) - 1; p >= 0; p-- {
		var best *waiter
		var least time.Duration
		for e := q.classes[p].Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if !ready(w.work) {
				continue
			}
			if left := timeLeft(w.work); best == nil || left < least {
				best, least = w, left
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// first returns the first request of the highest priority, or nil.
func (q *queue) first() *waiter {
	for p := len(q.classes) - 1; p >= 0; p-- {
		if e := q.classes[p].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// last returns the request whose turn is last, or nil.
func (q *queue) last() *waiter {
	for p := range q.classes {
		if w := q.lastOf(compiler.Priority(p)); w != nil {
			return w
		}
	}
	return nil
}

// lastOf returns the last request of one priority, or nil.
func (q *queue) lastOf(priority compiler.Priority) *waiter {
	if e := q.classes[classOf(priority)].Back(); e != nil {
		return e.Value.(*waiter)
	}
	return nil
}

func (q *queue) len() int { return q.size }

func (q *queue) push(w *waiter) {
	q.arrivals++
	w.number = q.arrivals
	w.element = q.insert(w)
	q.size++
}

// insert puts w into the list of its class.
func (q *queue) insert(w *waiter) *list.Element {
	class := &q.classes[classOf(w.work.Priority)]
	last := class.Back()
	for last != nil && w.work.before(last.Value.(*waiter).work) {
		last = last.Prev()
	}
	if last == nil {
		return class.PushFront(w)
	}
	return class.InsertAfter(w, last)
}

func (q *queue) remove(w *waiter) {
	q.classes[classOf(w.work.Priority)].Remove(w.element)
	w.element = nil
	q.size--
}

// classOf returns the index of a priority's list.
func classOf(priority compiler.Priority) int {
	return int(min(priority, compiler.PriorityHigh))
}
