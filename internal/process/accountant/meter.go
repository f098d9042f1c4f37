// Package accountant keeps the owners' ledger: what the slots of each instance
// were used for, and who pays for those that stood idle.
//
// # Usage
//
// A node meters its own upstream and reports to control:
//
//	m := accountant.NewMeter(gossiper.Self())
//	m.InFlightChanged(time.Now(), 3, 6) // by the admitter
//	m.SetState(time.Now(), registrar.StateLeaving)
//	r := accountant.NewReporter(accountant.ReporterConfig{Meter: m, ...})
//	r.Start()
//	...
//	err := r.Stop() // sends the last report
//
// A control instance merges the reports, and lets others read the ledger:
//
//	l, err := accountant.NewLedger(store, logger, scope)
//	l.Merge(req.GetCounters())
//	l.Start()
//
// A Bill is worked out from the counters of a period:
//
//	bill := accountant.NewBill(counters, now)
//
// # Counters
//
// A counter belongs to one instance, one incarnation and one day, and its
// numbers only ever grow. Two copies are merged by the larger of each number,
// so that reports may be lost, doubled, late or out of order, and control
// instances may merge each other's ledgers in any order.
package accountant

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// meterGap is the longest time without a Tick that is metered. In a longer
	// one the process stood still and its upstream could not be reached.
	meterGap = 3 * time.Second
	// finishedKept bounds the counters of finished days and incarnations that
	// wait to be reported.
	finishedKept = 8

	dayLength = 24 * time.Hour
)

// usage is slot time by cause, in nanoseconds.
type usage struct{ busy, idle, warming, leaving time.Duration }

// Meter integrates what the slots of one instance are used for.
type Meter struct {
	mu       sync.Mutex
	counter  *controlwire.UsageCounter // Without the slot time.
	used     usage
	finished []*controlwire.UsageCounter // Of earlier days and incarnations, not reported yet.
	state    registrar.State
	inFlight int
	limit    int
	updated  time.Time
}

// NewMeter returns a meter for an instance in the state that it announces.
func NewMeter(in *registrar.Instance, now time.Time) *Meter {
	m := &Meter{state: in.State(), limit: in.Slots(), updated: now}
	m.counter = newCounter(in, now)
	return m
}

func newCounter(in *registrar.Instance, now time.Time) *controlwire.UsageCounter {
	return &controlwire.UsageCounter{
		Instance:    in.ID(),
		Incarnation: in.Incarnation(),
		Service:     in.Service(),
		Owner:       in.Owner(),
		Site:        in.Site(),
		Day:         dayOf(now),
		Slots:       uint32(in.Slots()),
		SinceUnixMs: now.UnixMilli(),
		UntilUnixMs: now.UnixMilli(),
	}
}

func dayOf(t time.Time) uint32 { return uint32(t.Unix() / int64(dayLength/time.Second)) }

// InFlightChanged tells how many slots are busy from now on, and how many the
// instance offers. Each rise counts as that many requests.
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

// SetState tells the state that the instance announces from now on.
func (m *Meter) SetState(now time.Time, state registrar.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.state = state
	if state == registrar.StateLeft {
		m.counter.Ended = true
	}
}

// SetInstance tells that the instance goes on under a new incarnation.
func (m *Meter) SetInstance(now time.Time, in *registrar.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.Incarnation() == m.counter.GetIncarnation() {
		return
	}
	m.advance(now)
	m.finish(newCounter(in, now))
}

// RefusedWhileIdle counts a request that was refused by this node while
// another instance of the service had an idle slot.
func (m *Meter) RefusedWhileIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.RefusedWhileIdle++
}

// Tick meters up to now. It must be called at least once per second, so that
// a gap tells that the process stood still.
func (m *Meter) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
}

// Counters returns all counters that control may not have yet.
func (m *Meter) Counters(now time.Time) []*controlwire.UsageCounter {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return append(append([]*controlwire.UsageCounter(nil), m.finished...), m.current())
}

// Reported tells that control took the given counters.
func (m *Meter) Reported(counters []*controlwire.UsageCounter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := make(map[*controlwire.UsageCounter]bool, len(counters))
	for _, c := range counters {
		taken[c] = true
	}
	kept := m.finished[:0]
	for _, c := range m.finished {
		if !taken[c] {
			kept = append(kept, c)
		}
	}
	m.finished = kept
}

// advance meters the time since the last call in the state until now, and
// starts a new counter at the end of a day.
func (m *Meter) advance(now time.Time) {
	for midnight := endOfDay(m.counter.GetDay()); !now.Before(midnight); midnight = endOfDay(m.counter.GetDay()) {
		m.meter(midnight)
		next := proto.CloneOf(m.counter)
		next.Requests = 0
		next.RefusedWhileIdle = 0
		next.Day++
		next.SinceUnixMs = midnight.UnixMilli()
		next.UntilUnixMs = midnight.UnixMilli()
		m.finish(next)
	}
	m.meter(now)
}

func endOfDay(day uint32) time.Time {
	return time.Unix(int64(day+1)*int64(dayLength/time.Second), 0)
}

// meter adds the time until now. A gap, or a clock that went back, adds none.
func (m *Meter) meter(now time.Time) {
	elapsed := now.Sub(m.updated)
	if elapsed < 0 {
		return
	}
	m.updated = now
	m.counter.UntilUnixMs = max(m.counter.GetUntilUnixMs(), now.UnixMilli())
	if elapsed > meterGap || m.state == registrar.StateLeft {
		return
	}
	slots := int(m.counter.GetSlots())
	busy := min(m.inFlight, slots)
	offered := min(max(m.limit, busy), slots)
	rest := elapsed * time.Duration(slots-busy)
	m.used.busy += elapsed * time.Duration(busy)
	switch m.state {
	case registrar.StateStarting, registrar.StateWarming:
		m.used.warming += rest
	case registrar.StateLeaving:
		m.used.leaving += rest
	default:
		m.used.idle += elapsed * time.Duration(offered-busy)
		m.used.warming += elapsed * time.Duration(slots-offered)
	}
}

// finish keeps the present counter for the next report and goes on with next.
func (m *Meter) finish(next *controlwire.UsageCounter) {
	m.finished = append(m.finished, m.current())
	if len(m.finished) > finishedKept {
		m.finished = m.finished[len(m.finished)-finishedKept:]
	}
	m.counter = next
	m.used = usage{}
}

// current returns a copy of the present counter with its slot time.
func (m *Meter) current() *controlwire.UsageCounter {
	c := proto.CloneOf(m.counter)
	c.BusySlotMs = uint64(m.used.busy.Milliseconds())
	c.IdleSlotMs = uint64(m.used.idle.Milliseconds())
	c.WarmingSlotMs = uint64(m.used.warming.Milliseconds())
	c.LeavingSlotMs = uint64(m.used.leaving.Milliseconds())
	return c
}
