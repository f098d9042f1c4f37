package accountant

import (
	"math/bits"
	"sort"
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// unreachableLimit is the longest time that a silent instance counts as
	// capacity. It is as long as membership remembers a failed instance.
	unreachableLimit = time.Hour
	// reportGrace is how long the latest report may be old before the
	// instance counts as unreachable.
	reportGrace = 3 * ReportInterval
)

// Line is what one owner's instances of one service were used for, in
// milliseconds of slots, and what the owner pays for those not busy.
type Line struct {
	owner, service               string
	busy, idle, warming, leaving uint64
	unreachable                  uint64
	requests, refusedWhileIdle   uint64
	credit, shared               uint64
}

// Owner returns the owner who pays.
func (l *Line) Owner() string { return l.owner }

// Service returns the name of the service.
func (l *Line) Service() string { return l.service }

// Busy returns the slot time in which requests ran, in milliseconds.
func (l *Line) Busy() uint64 { return l.busy }

// Idle returns the slot time that was offered and not used, in milliseconds.
func (l *Line) Idle() uint64 { return l.idle }

// Warming returns the slot time that the instances held back, in milliseconds.
func (l *Line) Warming() uint64 { return l.warming }

// Leaving returns the slot time that stood empty while instances left, in milliseconds.
func (l *Line) Leaving() uint64 { return l.leaving }

// Unreachable returns the slot time in which nobody could reach the
// instances, in milliseconds.
func (l *Line) Unreachable() uint64 { return l.unreachable }

// Credit returns the part of the idle slot time that requests could have used
// which were refused elsewhere, in milliseconds.
func (l *Line) Credit() uint64 { return l.credit }

// Shared returns the part of the shared pool that the owner bears, in milliseconds.
func (l *Line) Shared() uint64 { return l.shared }

// Pays returns the slot time that the owner pays for, in milliseconds.
func (l *Line) Pays() uint64 { return l.idle - l.credit + l.warming + l.leaving + l.shared }

// Bill says who pays for the capacity that was not busy.
type Bill struct{ lines []*Line }

// Lines returns one line for each owner and service, ordered by these. The
// caller must not change the slice.
func (b *Bill) Lines() []*Line { return b.lines }

// NewBill works out the bill of the given counters. An instance that has not
// reported lately before now counts as unreachable since its last report.
func NewBill(counters []*controlwire.UsageCounter, now time.Time) *Bill {
	lines := make(map[[2]string]*Line)
	gaps := unreachable(counters, now)
	for i, c := range counters {
		id := [2]string{c.GetOwner(), c.GetService()}
		l := lines[id]
		if l == nil {
			l = &Line{owner: c.GetOwner(), service: c.GetService()}
			lines[id] = l
		}
		l.busy += c.GetBusySlotMs()
		l.idle += c.GetIdleSlotMs()
		l.warming += c.GetWarmingSlotMs()
		l.leaving += c.GetLeavingSlotMs()
		l.unreachable += c.GetUnreachableSlotMs() + gaps[i]
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
	b.credit()
	b.share()
	return b
}

// credit relieves the owners of a service of the idle slot time that its
// refused requests could have used, by their share of the service's idle time.
func (b *Bill) credit() {
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
		amount := min(idle, scale(refused, busy, requests))
		split(amount, lines, func(l *Line) uint64 { return l.idle }, func(l *Line, part uint64) { l.credit = part })
	}
}

// share splits what no owner caused among all by their busy slot time.
func (b *Bill) share() {
	var pool, busy uint64
	for _, l := range b.lines {
		pool += l.credit + l.unreachable
		busy += l.busy
	}
	weight := func(l *Line) uint64 { return l.busy }
	if busy == 0 {
		weight = func(l *Line) uint64 { return l.idle + l.warming + l.leaving + l.unreachable }
	}
	split(pool, b.lines, weight, func(l *Line, part uint64) { l.shared = part })
}

// split hands out amount in parts proportional to weight. The parts add up to
// amount.
func split(amount uint64, lines []*Line, weight func(*Line) uint64, set func(*Line, uint64)) {
	var total, before, handedOut uint64
	for _, l := range lines {
		total += weight(l)
	}
	if total == 0 {
		return
	}
	for _, l := range lines {
		before += weight(l)
		upTo := scale(amount, before, total)
		set(l, upTo-handedOut)
		handedOut = upTo
	}
}

// scale returns a * b / c, rounded down, or the largest number if that is too
// large. c must not be 0.
func scale(a, b, c uint64) uint64 {
	high, low := bits.Mul64(a, b)
	if high >= c {
		return ^uint64(0)
	}
	quotient, _ := bits.Div64(high, low, c)
	return quotient
}

// unreachable returns for each counter the slot time in which its instance
// was not metered although it had not left, in milliseconds.
func unreachable(counters []*controlwire.UsageCounter, now time.Time) []uint64 {
	gaps := make([]uint64, len(counters))
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
			next := silentUntil(counters[index], now)
			if i+1 < len(indexes) {
				next = counters[indexes[i+1]].GetSinceUnixMs()
			}
			gaps[index] = inner(counters[index]) + after(counters[index], next)
		}
	}
	return gaps
}

// silentUntil returns the end of the gap after an instance's last report: now,
// if the report is older than the grace.
func silentUntil(c *controlwire.UsageCounter, now time.Time) int64 {
	if now.Sub(time.UnixMilli(c.GetUntilUnixMs())) <= reportGrace {
		return c.GetUntilUnixMs()
	}
	return now.UnixMilli()
}

// inner returns the slot time within a counter that was not metered.
func inner(c *controlwire.UsageCounter) uint64 {
	metered := c.GetBusySlotMs() + c.GetIdleSlotMs() + c.GetWarmingSlotMs() + c.GetLeavingSlotMs() + c.GetUnreachableSlotMs()
	total := slotTime(c, c.GetUntilUnixMs()-c.GetSinceUnixMs())
	if slack := roundingSlack + uint64(c.GetSlots()); total <= metered+slack || c.GetEnded() {
		return 0
	}
	return total - metered
}

// roundingSlack is the most that the rounding of the causes to milliseconds
// takes from a counter, beside one millisecond of each slot.
const roundingSlack = 4

// after returns the slot time between a counter and next.
func after(c *controlwire.UsageCounter, next int64) uint64 {
	if c.GetEnded() {
		return 0
	}
	return slotTime(c, min(next-c.GetUntilUnixMs(), unreachableLimit.Milliseconds()))
}

func slotTime(c *controlwire.UsageCounter, milliseconds int64) uint64 {
	if milliseconds <= 0 {
		return 0
	}
	return uint64(milliseconds) * uint64(c.GetSlots())
}
