// Package accountant meters the use of each instance's slots, collects the counters in
// a ledger that control instances replicate, and allocates the cost of unused slots to
// the owners.
//
// # Usage
//
// A node meters its own upstream and reports to control:
//
//	m := accountant.NewMeter(gossiper.Self(), time.Now())
//	m.InFlightChanged(time.Now(), 3, 6) // by the admitter
//	m.SetState(time.Now(), registrar.StateLeaving)
//	r := accountant.NewReporter(accountant.ReporterConfig{Meter: m, ...})
//	r.Start()
//	...
//	err := r.Stop() // sends a final report
//
// A control instance merges the reports, and serves the ledger to operators and other
// control instances:
//
//	l, err := accountant.NewLedger(store, logger, scope)
//	l.Merge(req.GetCounters())
//	l.Start()
//
// A Bill is computed from the counters of a period:
//
//	bill := accountant.NewBill(counters, now)
//
// # Counters
//
// A counter belongs to one instance, incarnation and day, and its values never decrease.
// Copies are merged by taking the maximum of each value. Reports may therefore be lost,
// duplicated, delayed or reordered, and control instances may merge each other's ledgers
// in any order.
package accountant

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// maxTickGap is the longest time between updates that is metered. A longer gap
	// means that the process was suspended and its upstream unreachable.
	maxTickGap = 3 * time.Second
	// maxFinished limits the unreported counters of past days and incarnations. The
	// oldest are dropped.
	maxFinished = 8

	dayLength = 24 * time.Hour
)

// slotUsage is slot time by category.
type slotUsage struct{ busy, idle, warming, leaving time.Duration }

// Meter measures the slot time of one instance by category. It is safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	counter   *controlwire.UsageCounter // Current counter; its slot times are in usage.
	usage     slotUsage
	finished  []*controlwire.UsageCounter // Unreported, of earlier days and incarnations.
	state     registrar.State
	inFlight  int
	limit     int
	updatedAt time.Time
}

// NewMeter returns a meter for the instance, starting in its announced state.
func NewMeter(instance *registrar.Instance, now time.Time) *Meter {
	m := &Meter{state: instance.State(), limit: instance.Slots(), updatedAt: now}
	m.counter = newCounter(instance, now)
	return m
}

func newCounter(instance *registrar.Instance, now time.Time) *controlwire.UsageCounter {
	return &controlwire.UsageCounter{
		Instance:    instance.ID(),
		Incarnation: instance.Incarnation(),
		Service:     instance.Service(),
		Owner:       instance.Owner(),
		Site:        instance.Site(),
		Day:         dayOf(now),
		Slots:       uint32(instance.Slots()),
		SinceUnixMs: now.UnixMilli(),
		UntilUnixMs: now.UnixMilli(),
	}
}

// dayOf returns the UTC day of t, counted from 1970-01-01.
func dayOf(t time.Time) uint32 { return uint32(t.Unix() / int64(dayLength/time.Second)) }

// InFlightChanged sets the number of busy slots and of slots that the instance offers
// from now on. An increase of inFlight counts as that many requests.
func (m *Meter) InFlightChanged(now time.Time, inFlight, limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	if inFlight > m.inFlight {
		m.counter.Requests += uint64(inFlight - m.inFlight)
	}
	m.inFlight = inFlight
	m.limit = limit
}

// SetState sets the state that the instance announces from now on. StateLeft marks the
// counter as ended, so that the time after it does not count as unreachable.
func (m *Meter) SetState(now time.Time, state registrar.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.state = state
	if state == registrar.StateLeft {
		m.counter.Ended = true
	}
}

// SetInstance starts a new counter if the instance has a new incarnation.
func (m *Meter) SetInstance(now time.Time, instance *registrar.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance.Incarnation() == m.counter.GetIncarnation() {
		return
	}
	m.advance(now)
	m.rollOver(newCounter(instance, now))
}

// CountRefusedWhileIdle counts a request that this node refused while another instance
// of the service had an idle slot.
func (m *Meter) CountRefusedWhileIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.RefusedWhileIdle++
}

// Tick accumulates usage up to now. It must be called at least once per second; a gap
// longer than maxTickGap means that the process was suspended.
func (m *Meter) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
}

// Counters returns the current counter and all unreported ones, updated to now.
func (m *Meter) Counters(now time.Time) []*controlwire.UsageCounter {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return append(append([]*controlwire.UsageCounter(nil), m.finished...), m.snapshot())
}

// MarkReported drops the given counters, which control has accepted. The current
// counter continues.
func (m *Meter) MarkReported(counters []*controlwire.UsageCounter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reported := make(map[*controlwire.UsageCounter]bool, len(counters))
	for _, c := range counters {
		reported[c] = true
	}
	remaining := m.finished[:0]
	for _, c := range m.finished {
		if !reported[c] {
			remaining = append(remaining, c)
		}
	}
	m.finished = remaining
}

// advance accumulates usage up to now in the current state, and starts a new counter at
// each UTC midnight since the last update.
func (m *Meter) advance(now time.Time) {
	for midnight := endOfDay(m.counter.GetDay()); !now.Before(midnight); midnight = endOfDay(m.counter.GetDay()) {
		m.accumulate(midnight)
		next := proto.CloneOf(m.counter)
		next.Requests = 0
		next.RefusedWhileIdle = 0
		next.Day++
		next.SinceUnixMs = midnight.UnixMilli()
		next.UntilUnixMs = midnight.UnixMilli()
		m.rollOver(next)
	}
	m.accumulate(now)
}

// endOfDay returns the midnight at the end of the day.
func endOfDay(day uint32) time.Time {
	return time.Unix(int64(day+1)*int64(dayLength/time.Second), 0)
}

// accumulate adds the slot time since the last update. A gap longer than maxTickGap or a
// clock that moved backwards adds none.
func (m *Meter) accumulate(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if elapsed < 0 {
		return
	}
	m.updatedAt = now
	m.counter.UntilUnixMs = max(m.counter.GetUntilUnixMs(), now.UnixMilli())
	if elapsed > maxTickGap || m.state == registrar.StateLeft {
		return
	}
	slots := int(m.counter.GetSlots())
	busy := min(m.inFlight, slots)
	offered := min(max(m.limit, busy), slots)
	unused := elapsed * time.Duration(slots-busy)
	m.usage.busy += elapsed * time.Duration(busy)
	switch m.state {
	case registrar.StateStarting, registrar.StateWarming:
		m.usage.warming += unused
	case registrar.StateLeaving:
		m.usage.leaving += unused
	default:
		m.usage.idle += elapsed * time.Duration(offered-busy)
		m.usage.warming += elapsed * time.Duration(slots-offered)
	}
}

// rollOver moves the current counter to finished and continues with next.
func (m *Meter) rollOver(next *controlwire.UsageCounter) {
	m.finished = append(m.finished, m.snapshot())
	if len(m.finished) > maxFinished {
		m.finished = m.finished[len(m.finished)-maxFinished:]
	}
	m.counter = next
	m.usage = slotUsage{}
}

// snapshot returns a copy of the current counter with its slot times.
func (m *Meter) snapshot() *controlwire.UsageCounter {
	c := proto.CloneOf(m.counter)
	c.BusySlotMs = uint64(m.usage.busy.Milliseconds())
	c.IdleSlotMs = uint64(m.usage.idle.Milliseconds())
	c.WarmingSlotMs = uint64(m.usage.warming.Milliseconds())
	c.LeavingSlotMs = uint64(m.usage.leaving.Milliseconds())
	return c
}
