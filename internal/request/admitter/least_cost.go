package admitter

import (
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// overShareCost multiplies the cost of requests of an organisation above its share, so that
	// they are left out before those of others that need more work.
	overShareCost = 4
	// demandPeriod is the time over which the demand of requests in time is averaged.
	demandPeriod = 2 * time.Second
	// spareShare is the share of the room that requests in time leave which late requests count
	// on, since those that return compete for it, too.
	spareShare = 0.5
	// minLateShare is the least share of the slots that late requests count on.
	minLateShare = 0.03
)

// leastCost decides which requests wait, run or are refused by what that costs callers. It
// answers a load beyond the capacity of the slots.
type leastCost struct {
	planner   planner
	occupancy occupancy
	accounts  accounts
	// demand is the work in seconds that each class asked for in time in demandPeriod.
	demand     [compiler.PriorityHigh + 1]decayingSum
	overtaking [compiler.PriorityHigh + 1]overtaking

	// The last plan, made at plannedAt: the candidates of all classes, when a further request of
	// each class would start, and when each slot in use becomes free.
	plannedAt  time.Time
	candidates [compiler.PriorityHigh + 1][]candidate
	rooms      [compiler.PriorityHigh + 1]room
	free       []time.Duration
}

// SetOverload sets what decides which requests wait or are refused beyond capacity.
func (a *Admitter) SetOverload(overload compiler.Overload) {
	a.mu.Lock()
	defer a.mu.Unlock()
	enabled := overload == compiler.OverloadLeastCost
	if enabled == (a.leastCost != nil) {
		return
	}
	a.leastCost = nil
	if enabled {
		a.leastCost = &leastCost{}
		a.leastCost.planner.cost = a.leastCost.cost
	}
}

// arrive records that a request arrives, and returns it as plans take it: without a latency
// goal, its deadline is its goal.
func (a *Admitter) arrive(req Request, now time.Time) Request {
	if req.LatencyGoalTime.IsZero() {
		req.LatencyGoalTime = req.Deadline
	}
	req.goalOnArrival = max(req.LatencyGoalTime.Sub(now), 0)
	work := a.accountedWork(req, now)
	a.leastCost.accounts.ask(req, work, now)
	if !req.Retried && !a.missesGoal(req, now) {
		a.leastCost.demand[classOf(req.Priority)].add(work.Seconds(), now, demandPeriod)
	}
	return req
}

// queueLeastCost queues or refuses a request that cannot start at once.
func (a *Admitter) queueLeastCost(req Request, now time.Time) (*waiter, *Refusal) {
	w := newWaiter(req)
	w.leastCost = true
	w.account = a.leastCost.accounts.account(req.Organisation, now)
	a.queue.push(w)
	c := a.plan(w, now)
	reason := a.entryReason(c, now)
	if reason == classifier.ReasonNone && a.queue.len() > a.queue.capacity {
		victim, victimReason := a.leastCostVictim(c)
		if victim == c {
			reason = victimReason
		} else {
			a.refuseCandidate(victim, victimReason, now)
		}
	}
	if reason != classifier.ReasonNone {
		a.queue.remove(w)
		return nil, a.leastCostRefusal(req, reason, now)
	}
	a.dispatchPlan(now)
	a.refuseByPlan(now)
	return w, nil
}

// reviewLeastCost starts and refuses waiting requests after a change.
func (a *Admitter) reviewLeastCost(now time.Time) {
	a.observeStartDelay(now)
	if a.queue.len() == 0 {
		return
	}
	a.plan(nil, now)
	a.dispatchPlan(now)
	a.refuseByPlan(now)
}

// observeStartDelay records whether a slowdown delays the start of usual work.
func (a *Admitter) observeStartDelay(now time.Time) {
	delayed := a.slowdownAt(now).StartDelay(a.slotTime(now), now) > 0
	if o := &a.leastCost.occupancy; delayed != o.delayed {
		o.setDelayed(delayed, now)
	}
}

// plan makes the plan of all waiting requests. It returns the candidate of the waiter that is
// new, if any.
func (a *Admitter) plan(newWaiter *waiter, now time.Time) *candidate {
	l := a.leastCost
	a.observeStartDelay(now)
	l.plannedAt = now
	l.free = l.occupancy.appendFree(l.free[:0], now)
	for range a.inFlight - len(l.free) { // Those that started before the plans.
		l.free = append(l.free, a.slotTime(now))
	}
	l.planner.reset(l.free, a.limiter.limit(now))
	l.accounts.beginPlan()
	slowdown := a.slowdownAt(now)
	var found *candidate
	for class := range a.queue.classes {
		l.candidates[class] = l.candidates[class][:0]
		for e := a.queue.classes[class].Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			l.candidates[class] = append(l.candidates[class], a.candidate(w, slowdown, now))
			c := &l.candidates[class][len(l.candidates[class])-1]
			if w == newWaiter {
				c.entering = true
			}
			l.accounts.wait(w.account, c.work)
		}
	}
	if newWaiter != nil {
		found = l.find(newWaiter)
		found.excess = max(l.accounts.excess(newWaiter.account, found.work, now), 1)
	}
	for class := len(l.candidates) - 1; class >= 0; class-- {
		pace := a.pace(class, now)
		l.rooms[class] = l.planner.plan(l.candidates[class], pace)
	}
	return found
}

// find returns the candidate of a waiter.
func (l *leastCost) find(w *waiter) *candidate {
	class := l.candidates[classOf(w.req.Priority)]
	return &class[slices.IndexFunc(class, func(c candidate) bool { return c.waiter == w })]
}

// candidate returns the candidate of a waiting request.
func (a *Admitter) candidate(w *waiter, slowdown sampler.Slowdown, now time.Time) candidate {
	c := candidate{waiter: w, goal: never, deadline: never, share: 1}
	if !w.req.Deadline.IsZero() {
		c.deadline = w.req.Deadline.Sub(now)
	}
	if !w.req.LatencyGoalTime.IsZero() {
		c.goal = w.req.LatencyGoalTime.Sub(now)
		c.share = a.leastCost.overtaking[classOf(w.req.Priority)].shareLeft(c.goal)
	}
	work := w.req.ExpectedWork
	if work <= 0 {
		c.work = a.slotTime(now)
		return c
	}
	if delay := slowdown.StartDelay(work, now); delay > 0 && delay+work <= c.deadline {
		c.delay = delay
		c.work = a.leastCost.occupancy.hold(slowdown.DurationAfter(work))
		return c
	}
	c.work = a.leastCost.occupancy.hold(sampler.SlowedDuration(work, slowdown.SlownessPercent))
	return c
}

// pace returns how fast the slots serve a class.
func (a *Admitter) pace(class int, now time.Time) pace {
	l := a.leastCost
	open := l.occupancy.open(now)
	p := pace{
		share:     a.queue.shareUpTo(compiler.Priority(class)) * open,
		lateShare: max(spareShare*(open-a.demandShare(class, now)), minLateShare),
		turn:      never,
	}
	if class < len(l.candidates)-1 {
		p.turn = agingInterval * a.slotTime(now) / time.Duration(a.limiter.limit(now))
	}
	return p
}

// demandShare returns the share of the slots that requests in time of a class and of higher
// ones need.
func (a *Admitter) demandShare(class int, now time.Time) float64 {
	demand := 0.0
	for higher := class; higher < len(a.leastCost.demand); higher++ {
		demand += a.leastCost.demand[higher].value(now, demandPeriod)
	}
	return demand / (demandPeriod.Seconds() * float64(a.limiter.limit(now)))
}

// cost returns what a candidate costs others: its work, weighted by the excess of its
// organisation. A call of a running request costs nothing: leaving it out would waste the
// work of all that wait for it.
func (l *leastCost) cost(c *candidate) float64 {
	if c.waiter.req.Nested {
		return 0
	}
	cost := c.work.Seconds()
	excess := l.accounts.excess(c.waiter.account, c.work, l.plannedAt)
	if excess > 1 {
		return overShareCost * excess * cost
	}
	return excess * cost
}

// entryReason returns why a new request must not wait, or ReasonNone.
func (a *Admitter) entryReason(c *candidate, now time.Time) classifier.Reason {
	req := c.waiter.req
	elsewhere := a.mayBeInTimeElsewhere(req, now)
	switch {
	case c.verdict == verdictHopeless:
		return classifier.ReasonDeadline
	case c.verdict == verdictLate && elsewhere:
		return classifier.ReasonGoal
	case c.verdict == verdictLate && c.start+c.work > c.deadline/lateResponseDivisor:
		return classifier.ReasonGoal
	case c.verdict == verdictInTime && elsewhere && req.Priority != compiler.PriorityHigh &&
		c.start > c.goal/firstAttemptWaitDivisor:
		return classifier.ReasonQueueSlow
	}
	return classifier.ReasonNone
}

// mayBeInTimeElsewhere reports whether another instance may still meet the goal of a request.
func (a *Admitter) mayBeInTimeElsewhere(req Request, now time.Time) bool {
	return !req.Retried && !req.PreferLocal && !a.missesGoal(req, now)
}

// refuseByPlan refuses the waiting requests that the plan leaves out, as soon as that is
// clear: those that would miss their deadline, and those that would miss their goal while
// another instance may still meet it.
func (a *Admitter) refuseByPlan(now time.Time) {
	for class := range a.leastCost.candidates {
		for i := range a.leastCost.candidates[class] {
			c := &a.leastCost.candidates[class][i]
			if c.waiter.element == nil {
				continue
			}
			req := c.waiter.req
			switch {
			case c.verdict == verdictHopeless:
				a.refuseCandidate(c, a.leftOutReason(c, classifier.ReasonDeadline, now), now)
			case c.verdict == verdictLate && a.mayBeInTimeElsewhere(req, now):
				a.refuseCandidate(c, a.leftOutReason(c, classifier.ReasonGoal, now), now)
			}
		}
	}
}

// leftOutReason returns the reason of a candidate that is left out: that of its own, unless it
// is left out for another.
func (a *Admitter) leftOutReason(c *candidate, own classifier.Reason, now time.Time) classifier.Reason {
	if !c.lateByOthers {
		return own
	}
	if a.leastCost.accounts.excess(c.waiter.account, c.work, now) > 1 {
		return classifier.ReasonOverShare
	}
	return classifier.ReasonDisplaced
}

// leastCostVictim returns which request leaves a full queue for the new one, maybe the new one
// itself: one of the lowest class that exceeds its reserved share of the queue, if that is
// lower, otherwise one of the same class.
func (a *Admitter) leastCostVictim(added *candidate) (*candidate, classifier.Reason) {
	own := classOf(added.waiter.req.Priority)
	for class := range own {
		if a.queue.classes[class].Len() > a.queue.capacity/agingInterval {
			return a.leastCost.mostCostly(class), classifier.ReasonPreempted
		}
	}
	victim := a.leastCost.mostCostly(own)
	if victim == added || a.leastCost.planner.cost(victim) <= displaceRatio*a.leastCost.planner.cost(added) {
		return added, a.capacityReason()
	}
	victim.lateByOthers = true
	return victim, a.leftOutReason(victim, classifier.ReasonQueueFull, a.leastCost.plannedAt)
}

// mostCostly returns the candidate of a class whose refusal costs least: a late one before those
// in time, and of these the one that costs others most.
func (l *leastCost) mostCostly(class int) *candidate {
	var worst *candidate
	for i := range l.candidates[class] {
		c := &l.candidates[class][i]
		if worst == nil || c.verdict > worst.verdict || (c.verdict == worst.verdict && l.planner.cost(c) >= l.planner.cost(worst)) {
			worst = c
		}
	}
	return worst
}

// dispatchPlan starts waiting requests in the order of the plan while slots are free.
func (a *Admitter) dispatchPlan(now time.Time) {
	for a.inFlight < a.limiter.limit(now) {
		c := a.nextCandidate(now)
		if c == nil {
			return
		}
		w := c.waiter
		if !a.canFinish(w.req, now) {
			a.refuseCandidate(c, classifier.ReasonDeadline, now)
			continue
		}
		if !a.startWaiter(w, now) {
			return
		}
	}
}

// nextCandidate returns the candidate to start next, or nil if none is ready: the first of the
// highest class, but in one of agingInterval turns the oldest of the first ones of the lower
// classes.
func (a *Admitter) nextCandidate(now time.Time) *candidate {
	ready := func(req Request) bool { return a.startDelay(req, now) == 0 }
	var next, oldest *candidate
	for class := len(a.leastCost.candidates) - 1; class >= 0; class-- {
		first := a.leastCost.firstReady(class, ready)
		switch {
		case first == nil:
		case next == nil:
			next = first
			if a.queue.dispatched%agingInterval != agingInterval-1 {
				return next
			}
		case oldest == nil || first.waiter.arrival < oldest.waiter.arrival:
			oldest = first
		}
	}
	if oldest != nil {
		return oldest
	}
	return next
}

// firstReady returns the first candidate of a class in the order of the plan that still waits and
// is ready, or nil.
func (l *leastCost) firstReady(class int, ready func(Request) bool) *candidate {
	var first *candidate
	for i := range l.candidates[class] {
		c := &l.candidates[class][i]
		if c.waiter.element == nil || c.verdict == verdictHopeless || !ready(c.waiter.req) {
			continue
		}
		if first == nil || c.order < first.order {
			first = c
		}
	}
	return first
}

// recordLeastCostStart records that a request starts.
func (a *Admitter) recordLeastCostStart(req Request, now time.Time) {
	l := a.leastCost
	if req.goalOnArrival > 0 {
		l.overtaking[classOf(req.Priority)].record(req.goalOnArrival, a.accountedWork(req, now))
	}
	hold := a.candidate(&waiter{req: req}, a.slowdownAt(now), now).work
	l.occupancy.start(now, hold)
	l.accounts.start(req, a.accountedWork(req, now), now)
}

// accountedWork returns the work of a request for the account of its organisation.
func (a *Admitter) accountedWork(req Request, now time.Time) time.Duration {
	if req.ExpectedWork > 0 {
		return req.ExpectedWork
	}
	return a.slotTime(now)
}

func (a *Admitter) refuseCandidate(c *candidate, reason classifier.Reason, now time.Time) {
	a.queue.remove(c.waiter)
	c.waiter.settle(a.leastCostRefusal(c.waiter.req, reason, now))
}

// leastCostRefusal returns a refusal. Its RetryAfter is when the plan has room for the request: in
// time if its goal can still be met then, otherwise for a late one.
func (a *Admitter) leastCostRefusal(req Request, reason classifier.Reason, now time.Time) *Refusal {
	l := a.leastCost
	class := classOf(req.Priority)
	room := l.rooms[class].inTime
	if now.Add(room + a.accountedWork(req, now)).After(req.LatencyGoalTime) {
		room = l.rooms[class].late
	}
	perRequest := a.slotTime(now) / time.Duration(a.limiter.limit(now))
	return &Refusal{reason: reason, retryAfter: max(room, perRequest)}
}
