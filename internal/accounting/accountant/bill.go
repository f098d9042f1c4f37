package accountant

import (
	"math/bits"
	"sort"
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// maxUnreachable limits how long an instance without reports counts as
	// capacity. The gossiper keeps a failed instance for the same time.
	maxUnreachable = time.Hour
	// reportGrace is the maximum age of the latest report before the instance
	// counts as unreachable.
	reportGrace = 3 * ReportInterval
)

// Line is the entry of a bill for one owner's instances of one service: their slot
// time by category, and the unused slot time charged to the owner. Times are in
// milliseconds of one slot.
type Line struct {
	owner, service               string
	busy, idle, warming, leaving uint64
	unreachable                  uint64
	requests, refusedWhileIdle   uint64
	credit, shared               uint64
}

// Owner returns the owner of the instances, who is charged.
func (l *Line) Owner() string { return l.owner }

// Service returns the name of the service.
func (l *Line) Service() string { return l.service }

// Busy returns the slot time spent on requests, in milliseconds.
func (l *Line) Busy() uint64 { return l.busy }

// Idle returns the slot time that was offered but not used, in milliseconds.
func (l *Line) Idle() uint64 { return l.idle }

// Warming returns the slot time that the instances withheld while they warmed up or
// their concurrency limit was below their slots, in milliseconds.
func (l *Line) Warming() uint64 { return l.warming }

// Leaving returns the unused slot time of leaving instances, in milliseconds.
func (l *Line) Leaving() uint64 { return l.leaving }

// Unreachable returns the slot time that was not metered although the instances had
// not left, in milliseconds.
func (l *Line) Unreachable() uint64 { return l.unreachable }

// Credit returns the part of the idle slot time that could have served requests
// refused by other instances of the service, in milliseconds. The owner is
// not charged for it.
func (l *Line) Credit() uint64 { return l.credit }

// Shared returns the part of the shared pool (credits and unreachable time of all
// owners) that is charged to the owner, in milliseconds.
func (l *Line) Shared() uint64 { return l.shared }

// Charged returns the unused slot time that is charged to the owner, in milliseconds.
func (l *Line) Charged() uint64 { return l.idle - l.credit + l.warming + l.leaving + l.shared }

// Bill allocates the cost of unused capacity to the owners.
type Bill struct{ lines []*Line }

// Lines returns one line per owner and service, sorted by owner and service. The caller
// must not modify the slice.
func (b *Bill) Lines() []*Line { return b.lines }

// NewBill computes the bill for the given counters as of now. If the latest report of an
// instance is then older than reportGrace, the instance counts as unreachable since that
// report, for at most maxUnreachable.
func NewBill(counters []*controlwire.UsageCounter, now time.Time) *Bill {
	lines := make(map[[2]string]*Line)
	unmetered := unmeteredSlotTime(counters, now)
	for i, c := range counters {
		key := [2]string{c.GetOwner(), c.GetService()}
		l := lines[key]
		if l == nil {
			l = &Line{owner: c.GetOwner(), service: c.GetService()}
			lines[key] = l
		}
		l.busy += c.GetBusySlotMs()
		l.idle += c.GetIdleSlotMs()
		l.warming += c.GetWarmingSlotMs()
		l.leaving += c.GetLeavingSlotMs()
		l.unreachable += c.GetUnreachableSlotMs() + unmetered[i]
		l.requests += c.GetRequests()
		l.refusedWhileIdle += c.GetRefusedWhileIdle()
	}
	b := &Bill{}
	for _, l := range lines {
		b.lines = append(b.lines, l)
	}
	sort.Slice(b.lines, func(i, j int) bool {
		if b.lines[i].owner != b.lines[j].owner {
			return b.lines[i].owner < b.lines[j].owner
		}
		return b.lines[i].service < b.lines[j].service
	})
	b.applyCredits()
	b.distributeShared()
	return b
}

// applyCredits credits the owners of a service with the idle slot time that its refused
// requests could have used, in proportion to each owner's idle time. A refused request
// is assumed to need the service's mean slot time per request.
func (b *Bill) applyCredits() {
	byService := make(map[string][]*Line)
	for _, l := range b.lines {
		byService[l.service] = append(byService[l.service], l)
	}
	for _, lines := range byService {
		var busy, idle, requests, refused uint64
		for _, l := range lines {
			busy += l.busy
			idle += l.idle
			requests += l.requests
			refused += l.refusedWhileIdle
		}
		if requests == 0 {
			continue
		}
		amount := min(idle, mulDiv(refused, busy, requests))
		apportion(amount, lines, func(l *Line) uint64 { return l.idle }, func(l *Line, part uint64) { l.credit = part })
	}
}

// distributeShared distributes credits and unreachable time, which no single owner
// caused, among all owners in proportion to their busy slot time, or to their unused
// slot time if none was busy.
func (b *Bill) distributeShared() {
	var pool, busy uint64
	for _, l := range b.lines {
		pool += l.credit + l.unreachable
		busy += l.busy
	}
	weight := func(l *Line) uint64 { return l.busy }
	if busy == 0 {
		weight = func(l *Line) uint64 { return l.idle + l.warming + l.leaving + l.unreachable }
	}
	apportion(pool, b.lines, weight, func(l *Line, part uint64) { l.shared = part })
}

// apportion divides amount among lines in proportion to weight. Rounding the running
// total instead of each part makes the parts add up to amount.
func apportion(amount uint64, lines []*Line, weight func(*Line) uint64, set func(*Line, uint64)) {
	var totalWeight, cumulativeWeight, assigned uint64
	for _, l := range lines {
		totalWeight += weight(l)
	}
	if totalWeight == 0 {
		return
	}
	for _, l := range lines {
		cumulativeWeight += weight(l)
		cumulativeAmount := mulDiv(amount, cumulativeWeight, totalWeight)
		set(l, cumulativeAmount-assigned)
		assigned = cumulativeAmount
	}
}

// mulDiv returns a * b / c, rounded down, or the maximum uint64 on overflow. c must not
// be 0.
func mulDiv(a, b, c uint64) uint64 {
	high, low := bits.Mul64(a, b)
	if high >= c {
		return ^uint64(0)
	}
	quotient, _ := bits.Div64(high, low, c)
	return quotient
}

// unmeteredSlotTime returns, for each counter, the slot time in milliseconds that was not
// metered although the instance had not left: within the counter, and between it and the
// instance's next counter or now.
func unmeteredSlotTime(counters []*controlwire.UsageCounter, now time.Time) []uint64 {
	unmetered := make([]uint64, len(counters))
	byInstance := make(map[string][]int)
	for i, c := range counters {
		byInstance[c.GetInstance()] = append(byInstance[c.GetInstance()], i)
	}
	for _, indexes := range byInstance {
		sort.Slice(indexes, func(i, j int) bool {
			a, b := counters[indexes[i]], counters[indexes[j]]
			if a.GetSinceUnixMs() != b.GetSinceUnixMs() {
				return a.GetSinceUnixMs() < b.GetSinceUnixMs()
			}
			return a.GetIncarnation() < b.GetIncarnation()
		})
		for i, index := range indexes {
			until := trailingGapEnd(counters[index], now)
			if i+1 < len(indexes) {
				until = counters[indexes[i+1]].GetSinceUnixMs()
			}
			unmetered[index] = unmeteredWithin(counters[index]) + unmeteredAfter(counters[index], until)
		}
	}
	return unmetered
}

// trailingGapEnd returns the end of the gap after an instance's last counter: now if its
// latest report is older than reportGrace, else the time of the report (no gap).
func trailingGapEnd(c *controlwire.UsageCounter, now time.Time) int64 {
	if now.Sub(time.UnixMilli(c.GetUntilUnixMs())) <= reportGrace {
		return c.GetUntilUnixMs()
	}
	return now.UnixMilli()
}

// unmeteredWithin returns the slot time between the start and end of a counter that was
// not metered, in milliseconds.
func unmeteredWithin(c *controlwire.UsageCounter) uint64 {
	metered := c.GetBusySlotMs() + c.GetIdleSlotMs() + c.GetWarmingSlotMs() + c.GetLeavingSlotMs() + c.GetUnreachableSlotMs()
	elapsed := slotTime(c, c.GetUntilUnixMs()-c.GetSinceUnixMs())
	if tolerance := roundingTolerance + uint64(c.GetSlots()); elapsed <= metered+tolerance || c.GetEnded() {
		return 0
	}
	return elapsed - metered
}

// roundingTolerance is the maximum slot time, in milliseconds, that a counter loses by
// rounding the slot times of its four categories down to milliseconds. Rounding its start
// and end accounts for up to one more millisecond per slot.
const roundingTolerance = 4

// unmeteredAfter returns the slot time from the end of a counter until the given Unix
// time in milliseconds, limited to maxUnreachable, or 0 if the instance left gracefully.
func unmeteredAfter(c *controlwire.UsageCounter, until int64) uint64 {
	if c.GetEnded() {
		return 0
	}
	return slotTime(c, min(until-c.GetUntilUnixMs(), maxUnreachable.Milliseconds()))
}

// slotTime returns the time of all slots of an instance in a period, or 0 if the period is
// negative.
func slotTime(c *controlwire.UsageCounter, milliseconds int64) uint64 {
	if milliseconds <= 0 {
		return 0
	}
	return uint64(milliseconds) * uint64(c.GetSlots())
}
