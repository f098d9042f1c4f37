package admitter

import (
	"container/list"
	"time"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// shareWeight is the weight of one request in the shares of the classes.
	shareWeight = 1.0 / 64
	// minShareBelow bounds how far a class's wait is stretched by higher ones.
	minShareBelow = 0.1
	// agedTurn is how often a request of a lower class goes first: once in so many
	// turns. Of a full queue, one place in as many is kept for each lower class.
	agedTurn = 20
)

// queue holds the waiting requests, one list for each priority in order of
// arrival. Each operation takes constant time.
type queue struct {
	capacity int
	n        int
	pushed   uint64 // Requests that ever waited.
	turns    uint64 // Requests that got their turn from the queue.
	classes  [compiler.PriorityHigh + 1]list.List
	shares   [compiler.PriorityHigh + 1]float64 // Of the work begun lately, by class.
}

// place returns the place of a new request.
func (q *queue) place(work Work) place {
	own := &q.classes[classOf(work.Priority)]
	n := own.Len()
	for e := own.Back(); e != nil && work.before(e.Value.(*waiter).work); e = e.Prev() {
		n--
	}
	p := place{own: float64(n), ahead: float64(n)}
	for class := classOf(work.Priority) + 1; class < len(q.classes); class++ {
		p.ahead += float64(q.classes[class].Len())
	}
	return p
}

// before reports whether work goes before other work of its class that came
// earlier: it is due earlier, or the other was late when it came.
func (w Work) before(other Work) bool {
	if w.Due.IsZero() || other.Due.IsZero() {
		return false
	}
	if w.late != other.late {
		return other.late
	}
	if w.late {
		return w.Deadline.Before(other.Deadline)
	}
	return w.Due.Before(other.Due)
}

// begun takes in the priority of a request that begins to run.
func (q *queue) begun(priority compiler.Priority) {
	for p := range q.shares {
		q.shares[p] -= shareWeight * q.shares[p]
	}
	q.shares[classOf(priority)] += shareWeight
}

// below returns the share of the work begun lately that was not of a higher
// class than the given priority.
func (q *queue) below(priority compiler.Priority) float64 {
	share := 1.0
	for p := classOf(priority) + 1; p < len(q.shares); p++ {
		share -= q.shares[p]
	}
	return max(share, minShareBelow)
}

// next returns the request whose turn is next, or nil: of the highest class
// the one with the least time left by the given measure, or now and then the one
// of a lower class that waits longest. What is not ready has no turn.
func (q *queue) next(timeLeft func(Work) time.Duration, ready func(Work) bool) *waiter {
	next := q.mostPressing(timeLeft, ready)
	if next == nil || q.turns%agedTurn != agedTurn-1 {
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
		if q.classes[p].Len() > q.capacity/agedTurn {
			return q.lastOf(compiler.Priority(p))
		}
	}
	return nil
}

// mostPressing returns the request of the highest class that has any ready with
// the least time left, the first of several, or nil.
func (q *queue) mostPressing(timeLeft func(Work) time.Duration, ready func(Work) bool) *waiter {
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

func (q *queue) len() int { return q.n }

func (q *queue) push(w *waiter) {
	q.pushed++
	w.number = q.pushed
	w.element = q.insert(w)
	q.n++
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
	q.n--
}

// classOf returns the index of a priority's list.
func classOf(priority compiler.Priority) int {
	return int(min(priority, compiler.PriorityHigh))
}
