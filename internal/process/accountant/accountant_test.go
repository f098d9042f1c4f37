package accountant

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

var errDown = errors.New("no answer")

// memory is a Store in memory.
type memory struct {
	blobs map[string][]byte
	full  bool
}

func newMemory() *memory { return &memory{blobs: make(map[string][]byte)} }

func (m *memory) WriteBlob(name string, data []byte) error {
	if m.full {
		return journaler.ErrFull
	}
	m.blobs[name] = data
	return nil
}

func (m *memory) ReadBlob(name string) ([]byte, error) {
	data, ok := m.blobs[name]
	if !ok {
		return nil, journaler.ErrNotFound
	}
	return data, nil
}

func openLedger(t *testing.T, s Store) *Ledger {
	t.Helper()
	l, err := NewLedger(s, zerolog.Nop(), tally.NoopScope)
	assert.NilError(t, err)
	return l
}

func all(l *Ledger) []*controlwire.UsageCounter {
	return l.Usage(&controlwire.UsageRequest{ToDay: ^uint32(0)}).GetCounters()
}

func assertCounters(t *testing.T, got, want []*controlwire.UsageCounter) {
	t.Helper()
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Fatalf("counters differ (-want +got):\n%s", diff)
	}
}

func instance(incarnation uint64) *registrar.Instance {
	return registrar.NewInstance(registrar.Spec{
		ID: "vitrina-1", Incarnation: incarnation, State: registrar.StateWarming, Service: "vitrina", Owner: "oaxaca", Slots: 6,
	})
}

func TestMeterSplitsSlotTimeByCause(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	m := NewMeter(instance(1), start)
	m.InFlightChanged(at(1), 2, 6) // 6 slot-seconds of warming.
	m.SetState(at(2), registrar.StateReady)
	m.InFlightChanged(at(3), 1, 4) // 2 busy and 4 warming, then 2 busy and 4 idle.
	m.SetState(at(4), registrar.StateLeaving)
	m.Tick(at(5)) // 1 busy, 3 idle, 2 held back; then 1 busy, 5 leaving.
	m.Tick(at(60))
	m.RefusedWhileIdle()
	got := m.Counters(at(60))
	assertCounters(t, got, []*controlwire.UsageCounter{{
		Instance: "vitrina-1", Incarnation: 1, Service: "vitrina", Owner: "oaxaca", Slots: 6, Day: dayOf(start),
		BusySlotMs: 6000, IdleSlotMs: 7000, WarmingSlotMs: 12000, LeavingSlotMs: 5000, Requests: 2, RefusedWhileIdle: 1,
		SinceUnixMs: start.UnixMilli(), UntilUnixMs: at(60).UnixMilli(),
	}})
}

func TestMeterStartsANewCounterEachDayAndIncarnation(t *testing.T) {
	midnight := endOfDay(20_000)
	m := NewMeter(instance(1), midnight.Add(-time.Second))
	m.SetState(midnight.Add(-time.Second), registrar.StateReady)
	m.Tick(midnight.Add(time.Second))
	m.SetInstance(midnight.Add(2*time.Second), instance(2))
	first := m.Counters(midnight.Add(3 * time.Second))
	assert.Equal(t, len(first), 3)
	for i, want := range []struct{ idle, incarnation uint64 }{{6000, 1}, {12000, 1}, {6000, 2}} {
		assert.Equal(t, first[i].GetIdleSlotMs(), want.idle)
		assert.Equal(t, first[i].GetIncarnation(), want.incarnation)
	}
	m.Reported(first[:1])
	assert.Equal(t, len(m.Counters(midnight.Add(3*time.Second))), 2)
}

// history returns growing reports of several instances and incarnations.
func history(random *rand.Rand, today uint32) []*controlwire.UsageCounter {
	var reports []*controlwire.UsageCounter
	for i := range 6 {
		c := &controlwire.UsageCounter{
			Instance: string(rune('a' + i/2)), Incarnation: uint64(1 + i%2), Service: "s", Owner: "o", Day: today, SinceUnixMs: int64(i),
		}
		for step := range 5 {
			c = proto.CloneOf(c)
			c.BusySlotMs += random.Uint64N(1000)
			c.IdleSlotMs += random.Uint64N(1000)
			c.Requests += random.Uint64N(10)
			c.UntilUnixMs += 30_000
			c.Ended = step == 4
			reports = append(reports, c)
		}
	}
	return reports
}

func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		reports := history(random, dayOf(time.Now()))
		inOrder := openLedger(t, newMemory())
		inOrder.Merge(reports)
		a, b := openLedger(t, newMemory()), openLedger(t, newMemory())
		for _, i := range random.Perm(len(reports)) {
			a.Merge(reports[i : i+1])
			if random.IntN(2) == 0 {
				b.Merge(reports[i : i+1])
			}
			if random.IntN(4) == 0 {
				a.Merge(all(b))
				b.Merge(all(a))
			}
		}
		b.Merge(all(a))
		a.Merge(all(b))
		assertCounters(t, all(a), all(inOrder))
		assertCounters(t, all(b), all(inOrder))
		changed := a.Usage(&controlwire.UsageRequest{}).GetChanged()
		a.Merge(reports)
		assert.Equal(t, a.Usage(&controlwire.UsageRequest{}).GetChanged(), changed, "seed %d", seed)
	}
}

func TestLedgerSurvivesARestart(t *testing.T) {
	store := newMemory()
	l := openLedger(t, store)
	reports := history(rand.New(rand.NewPCG(1, 1)), dayOf(time.Now()))
	store.full = true
	l.Merge(reports)
	assert.ErrorIs(t, l.Save(), journaler.ErrFull)
	store.full = false
	assert.NilError(t, l.Save())
	assertCounters(t, all(openLedger(t, store)), all(l))
}

func TestLedgerReportsADamagedFile(t *testing.T) {
	store := newMemory()
	store.blobs[blobName(dayOf(time.Now()))] = []byte{0xff}
	_, err := NewLedger(store, zerolog.Nop(), tally.NoopScope)
	assert.ErrorContains(t, err, "decode ledger")
}

func TestLedgerDropsOldDaysAndRejectsStrangeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemory()
		l := openLedger(t, store)
		l.Start()
		today := dayOf(time.Now())
		l.Merge(history(rand.New(rand.NewPCG(1, 1)), today))
		l.Merge([]*controlwire.UsageCounter{{Day: today}, {Instance: "a", Incarnation: 1, Day: today + 9}, nil})
		assert.Equal(t, len(all(l)), 6)
		time.Sleep((RetentionDays + 2) * dayLength)
		synctest.Wait()
		assert.Equal(t, len(all(l)), 0)
		assert.Equal(t, len(store.blobs[blobName(today)]), 0)
		assert.NilError(t, l.Stop())
	})
}

// reports is a Sender that loses every second report on its way to control,
// and every third answer.
type reports struct {
	ledger *Ledger
	calls  int
}

func (r *reports) ReportUsage(_ context.Context, _ netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	r.calls++
	if r.calls%2 == 0 {
		return errDown
	}
	r.ledger.Merge(req.GetCounters())
	if r.calls%3 == 0 {
		return errDown
	}
	return nil
}

func TestReporterLosesNothingOnAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, newMemory())
		time.Sleep(dayLength - 2*time.Minute)
		m := NewMeter(instance(1), time.Now())
		r := NewReporter(ReporterConfig{
			Meter: m, Self: func() *registrar.Instance { return instance(1) },
			InForce: func() *controlwire.VersionDigest { return nil },
			Control: func() []netip.AddrPort { return make([]netip.AddrPort, 3) },
			Sender:  &reports{ledger: l}, Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)),
		})
		r.Start()
		m.SetState(time.Now(), registrar.StateReady)
		time.Sleep(5 * time.Minute)
		m.SetState(time.Now(), registrar.StateLeft)
		assert.NilError(t, r.Stop())
		var idle uint64
		counters := all(l)
		for _, c := range counters {
			idle += c.GetIdleSlotMs()
		}
		assert.Equal(t, idle, uint64(6*5*time.Minute.Milliseconds()))
		assert.Assert(t, counters[len(counters)-1].GetEnded())
	})
}

// inForceReports is a Sender that notes the versions reported.
type inForceReports struct{ numbers []uint64 }

func (r *inForceReports) ReportUsage(_ context.Context, _ netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	r.numbers = append(r.numbers, req.GetInForce().GetVersion().GetNumber())
	return nil
}

func TestAChangeOfTheVersionInForceIsReportedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inForce atomic.Pointer[controlwire.VersionDigest]
		sender := &inForceReports{}
		r := NewReporter(ReporterConfig{
			Meter: NewMeter(instance(1), time.Now()), Self: func() *registrar.Instance { return instance(1) },
			InForce: inForce.Load, Sender: sender,
			Control: func() []netip.AddrPort { return make([]netip.AddrPort, 1) },
			Logger:  zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)),
		})
		r.Start()
		time.Sleep(firstReport + 2*meterInterval)
		inForce.Store(&controlwire.VersionDigest{Number: 7})
		time.Sleep(inForceReport + 2*meterInterval)
		synctest.Wait()
		assert.DeepEqual(t, sender.numbers, []uint64{0, 7})
		assert.NilError(t, r.Stop())
	})
}

// usageOf is a Reader of one ledger.
type usageOf struct{ *Ledger }

func (u usageOf) Usage(_ context.Context, _ netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error) {
	return u.Ledger.Usage(req), nil
}

func TestReplicatorReadsChangesAndNoticesARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := history(rand.New(rand.NewPCG(3, 3)), dayOf(time.Now()))
		own, other := openLedger(t, newMemory()), openLedger(t, newMemory())
		other.Merge(history[:20])
		reader := &usageOf{other}
		r := NewReplicator(own, reader, func() []netip.AddrPort { return make([]netip.AddrPort, 1) }, zerolog.Nop())
		to := netip.MustParseAddrPort("10.0.0.1:1")
		assert.NilError(t, r.read(to))
		assertCounters(t, all(own), all(other))
		reader.Ledger = openLedger(t, newMemory())
		reader.Merge(history[25:])
		assert.NilError(t, r.read(to))
		assert.NilError(t, r.read(to))
		assert.Equal(t, len(all(own)), 5)
	})
}

func TestBillIsWhole(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 9))
		var counters []*controlwire.UsageCounter
		for i := range 20 {
			counters = append(counters, &controlwire.UsageCounter{
				Instance: string(rune('a' + i)), Incarnation: 1, Owner: string(rune('p' + i%3)), Service: string(rune('s' + i%4)), Slots: 6,
				BusySlotMs: random.Uint64N(1e12), IdleSlotMs: random.Uint64N(1e12), WarmingSlotMs: random.Uint64N(1e9),
				LeavingSlotMs: random.Uint64N(1e9), UnreachableSlotMs: random.Uint64N(1e9),
				Requests: random.Uint64N(1e9), RefusedWhileIdle: random.Uint64N(1e10),
			})
		}
		var paid, notBusy uint64
		for _, l := range NewBill(counters, time.UnixMilli(0)).Lines() {
			paid += l.Pays()
			notBusy += l.Idle() + l.Warming() + l.Leaving() + l.Unreachable()
			assert.Assert(t, l.Credit() <= l.Idle(), "seed %d", seed)
		}
		assert.Equal(t, paid, notBusy, "seed %d", seed)
	}
}

func TestBillFindsTimeWithoutReports(t *testing.T) {
	counter := func(incarnation uint64, since, until int64, idle uint64, ended bool) *controlwire.UsageCounter {
		return &controlwire.UsageCounter{
			Instance: "a", Incarnation: incarnation, Owner: "o", Service: "s", Slots: 1,
			SinceUnixMs: since * 1000, UntilUnixMs: until * 1000, IdleSlotMs: idle * 1000, Ended: ended,
		}
	}
	for _, test := range []struct {
		name     string
		counters []*controlwire.UsageCounter
		now      int64
		want     uint64
	}{
		{"healthy", []*controlwire.UsageCounter{counter(1, 0, 100, 100, false)}, 150, 0},
		{"froze", []*controlwire.UsageCounter{counter(1, 0, 100, 70, false)}, 100, 30},
		{"crashed and came back", []*controlwire.UsageCounter{counter(2, 140, 200, 60, false), counter(1, 0, 100, 100, false)}, 200, 40},
		{"left and came back", []*controlwire.UsageCounter{counter(2, 140, 200, 60, false), counter(1, 0, 100, 100, true)}, 200, 0},
		{"silent", []*controlwire.UsageCounter{counter(1, 0, 100, 100, false)}, 300, 200},
		{"silent for long", []*controlwire.UsageCounter{counter(1, 0, 100, 100, false)}, 99_999, 3600},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBill(test.counters, time.Unix(test.now, 0))
			assert.Equal(t, b.Lines()[0].Unreachable(), test.want*1000)
		})
	}
}

func FuzzMergeAndBill(f *testing.F) {
	seed, err := proto.Marshal(&controlwire.ReportUsageRequest{Counters: history(rand.New(rand.NewPCG(5, 5)), dayOf(time.Now()))})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &controlwire.ReportUsageRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		l := openLedger(t, newMemory())
		l.Merge(req.GetCounters())
		once := all(l)
		l.Merge(req.GetCounters())
		assertCounters(t, all(l), once)
		NewBill(once, time.Now())
	})
}

func TestReportsAreRefusedWhileTheLedgerCannotBeWritten(t *testing.T) {
	store := newMemory()
	l := openLedger(t, store)
	reports := history(rand.New(rand.NewPCG(1, 1)), dayOf(time.Now()))
	assert.NilError(t, l.Report(reports[:1]))
	store.full = true
	assert.ErrorIs(t, l.Save(), journaler.ErrFull)
	assert.ErrorIs(t, l.Report(reports), journaler.ErrFull)
	store.full = false
	assert.NilError(t, l.Save())
	assert.NilError(t, l.Report(reports))
	assertCounters(t, all(openLedger(t, store)), all(l))
}
