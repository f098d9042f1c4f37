package admitter

import (
	"cmp"
	"slices"
	"time"
)

// verdict is what the plan expects of a waiting request.
type verdict uint8

const (
	// verdictInTime means that the response is expected within the latency goal.
	verdictInTime verdict = iota
	// verdictLate means that the response is expected after the goal, within the deadline.
	verdictLate
	// verdictHopeless means that the response is expected after the deadline.
	verdictHopeless
)

const (
	// never is later than any goal or deadline.
	never = 1 << 62
	// maxExchanges is how many times a plan tries to leave out one request for another in each
	// class. More are needed only if many requests become late at once, and then a later plan
	// goes on.
	maxExchanges = 4
	// entryMargin multiplies the expected wait of a new request, and stayMargin that of a waiting
	// one, so that small errors of estimates do not get a request refused that was queued before.
	entryMargin = 1.5
	stayMargin  = 0.9
	// displaceRatio is how many times more a request must cost than another one to be left out for
	// it, since a refusal after a wait costs its caller more than one at once.
	displaceRatio = 2
)

// candidate is one waiting request of a plan. All times are counted from now.
type candidate struct {
	waiter *waiter
	// work is how long the request holds a slot.
	work time.Duration
	// delay is the earliest start, because of a slowdown.
	delay time.Duration
	// goal and deadline are never if the request has none.
	goal, deadline time.Duration
	// share is the part of the slots of its class that requests which have yet to arrive leave
	// to it.
	share float64
	// excess is how many times its share the organisation of an entering request has, at least 1.
	excess float64
	// entering means that the request is new and does not wait yet.
	entering bool
	// lateByOthers means that the request was left out for another one.
	lateByOthers bool

	verdict verdict
	start   time.Duration // Expected start; never if hopeless.
	order   int           // The place among the candidates of the class.
}

// margin returns the factor for the expected wait of the request.
func (c *candidate) margin() float64 {
	if c.entering {
		return entryMargin * c.excess
	}
	return stayMargin
}

// pace is how fast the slots that become free serve the requests of one class.
type pace struct {
	// share is the share of the slots that the class gets, lateShare the one that its late
	// requests get.
	share, lateShare float64
	// turn is the longest time from one start of the class to the next, never if unbounded.
	turn time.Duration
}

// room is when a further request of a class would start: inTime after all that are in time, late
// after all.
type room struct{ inTime, late time.Duration }

// planner plans which of the waiting requests run, in which order, and which are left out. It
// answers a load beyond the capacity of the slots: served in order of arrival, all requests
// wait until their goals are missed. It leaves out those that need the most work (the rule
// of Moore and Hodgson), so that the most requests are in time.
type planner struct {
	// cost returns what a candidate costs others if it runs. Of the requests that cannot all be in
	// time, the one with the greatest cost is left out. One with cost 0 is left out for no other.
	cost func(*candidate) float64
	// free holds when each slot becomes free, as a heap with the earliest first.
	free []time.Duration
	// begin holds free as it was before the current class.
	begin []time.Duration
	// inTime and late hold the indices of the candidates with these verdicts, in order.
	inTime, late []int
	exchanges    int // Tried in the current class.
}

// reset sets when each slot becomes free. It takes the first of the slots if there are more
// than limit.
func (p *planner) reset(running []time.Duration, limit int) {
	p.free = append(p.free[:0], running...)
	slices.Sort(p.free) // A sorted list is a heap.
	if excess := len(p.free) - limit; excess > 0 {
		p.free = p.free[excess:]
	}
	for len(p.free) < limit {
		p.free = slices.Insert(p.free, 0, 0)
	}
}

// plan sets verdicts and starts of the candidates of one class, which are in order of their
// goals, and takes their time from the slots. It returns when further requests of the class
// would start.
func (p *planner) plan(class []candidate, pace pace) room {
	p.begin = append(p.begin[:0], p.free...)
	p.inTime, p.late, p.exchanges = p.inTime[:0], p.late[:0], 0
	for i := range class {
		c := &class[i]
		if c.delay+c.work > c.goal || !p.fits(c, pace) && !p.makeRoom(class, i, pace) {
			p.late = append(p.late, i)
			continue
		}
		p.inTime = append(p.inTime, i)
		p.take(c, pace, len(p.inTime))
	}
	for n, i := range p.inTime {
		class[i].verdict, class[i].order = verdictInTime, n
	}
	inTime := time.Duration(float64(p.free[0]) / pace.share)
	p.planLate(class, pace)
	return room{inTime: inTime, late: time.Duration(float64(p.free[0]) / min(pace.share, pace.lateShare))}
}

// fits reports whether c, started after all that are in time, meets its goal.
func (p *planner) fits(c *candidate, pace pace) bool {
	start := p.startAt(c, pace.share, pace.turn, len(p.inTime)+1)
	return time.Duration(c.margin()*float64(start))+c.work <= c.goal
}

// makeRoom leaves out the request that costs most of those that are in time, if it costs much
// more than candidate i and i meets its goal without it. It reports whether it did.
func (p *planner) makeRoom(class []candidate, i int, pace pace) bool {
	if p.exchanges++; p.exchanges > maxExchanges {
		return false
	}
	worst, entering, greatest := -1, -1, displaceRatio*p.cost(&class[i])
	for n, j := range p.inTime {
		cost := p.cost(&class[j])
		if class[j].entering { // It is left out unless it costs much less than those that wait.
			entering = n
			cost *= displaceRatio * displaceRatio
		}
		if cost > greatest {
			worst, greatest = n, cost
		}
	}
	if worst >= 0 {
		left := p.inTime[worst]
		if p.fitsWithout(worst, class, i, pace) {
			class[left].lateByOthers = true
			p.late = append(p.late, left)
			return true
		}
		p.restore(worst, left, class, pace)
	}
	if entering >= 0 && entering != worst {
		left := p.inTime[entering]
		class[i].lateByOthers = p.fitsWithout(entering, class, i, pace)
		p.restore(entering, left, class, pace)
	}
	return false
}

// fitsWithout takes the n-th of those in time out and reports whether candidate i then meets its
// goal.
func (p *planner) fitsWithout(n int, class []candidate, i int, pace pace) bool {
	p.inTime = slices.Delete(p.inTime, n, n+1)
	p.replay(class, pace)
	return p.fits(&class[i], pace)
}

// restore puts back the n-th of those in time.
func (p *planner) restore(n, index int, class []candidate, pace pace) {
	p.inTime = slices.Insert(p.inTime, n, index)
	p.replay(class, pace)
}

// replay takes the time of all that are in time from the slots, anew.
func (p *planner) replay(class []candidate, pace pace) {
	p.free = append(p.free[:0], p.begin...)
	for n, i := range p.inTime {
		p.take(&class[i], pace, n+1)
	}
}

// planLate plans those that miss their goal, in order of their deadlines, after all others.
func (p *planner) planLate(class []candidate, pace pace) {
	slices.SortStableFunc(p.late, func(i, j int) int { return cmp.Compare(class[i].deadline, class[j].deadline) })
	for n, i := range p.late {
		c := &class[i]
		c.order = len(p.inTime) + n
		c.start = p.startAt(c, min(pace.share, pace.lateShare), pace.turn, c.order+1)
		if c.start+c.work > c.deadline {
			c.verdict, c.start = verdictHopeless, never
			continue
		}
		c.verdict = verdictLate
		p.occupy(c)
	}
}

// startAt returns when c starts in the slot that becomes free first, as the n-th of its class
// that gets the given share of the slots.
func (p *planner) startAt(c *candidate, share float64, turn time.Duration, n int) time.Duration {
	start := time.Duration(float64(p.free[0]) / (share * c.share))
	if turn < never/time.Duration(n) {
		start = min(start, max(p.free[0], turn*time.Duration(n)))
	}
	return max(c.delay, start)
}

// take starts c in the slot that becomes free first.
func (p *planner) take(c *candidate, pace pace, n int) {
	c.start = p.startAt(c, pace.share, pace.turn, n)
	p.occupy(c)
}

// occupy gives the slot that becomes free first to c, and restores the order of the heap.
func (p *planner) occupy(c *candidate) {
	p.free[0] = max(p.free[0], c.delay) + c.work
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(p.free); child++ {
			if p.free[child] < p.free[least] {
				least = child
			}
		}
		if least == i {
			return
		}
		p.free[i], p.free[least] = p.free[least], p.free[i]
		i = least
	}
}
