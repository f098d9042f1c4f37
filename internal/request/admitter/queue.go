package admitter

import (
	"container/list"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// shareWeight is the weight of one request in the shares of the classes.
	shareWeight = 1.0 / 64
	// minShareBelow bounds how far a class's wait is stretched by higher ones.
	minShareBelow = 0.1
)

// queue holds the waiting requests, one list for each priority in order of
// arrival. Each operation takes constant time.
type queue struct {
	capacity int
	n        int
	classes  [compiler.PriorityHigh + 1]list.List
	shares   [compiler.PriorityHigh + 1]float64 // Of the work begun lately, by class.
}

// ahead returns how many waiting requests go before a new one of the given
// priority.
func (q *queue) ahead(priority compiler.Priority) int {
	n := 0
	for p := classOf(priority); p < len(q.classes); p++ {
		n += q.classes[p].Len()
	}
	return n
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

// first returns the request whose turn is next, or nil.
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
	w.element = q.classes[classOf(w.work.Priority)].PushBack(w)
	q.n++
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
