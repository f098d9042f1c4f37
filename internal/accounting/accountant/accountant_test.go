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

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

var errNoResponse = errors.New("no response")

// memoryStore is an in-memory Store that can be full.
type memoryStore struct {
	blobs map[string][]byte
	full  bool
}

func newMemoryStore() *memoryStore { return &memoryStore{blobs: make(map[string][]byte)} }

func (m *memoryStore) WriteBlob(name string, data []byte) error {
	if m.full {
		return journaler.ErrDiskFull
	}
	m.blobs[name] = data
	return nil
}

func (m *memoryStore) ReadBlob(name string) ([]byte, error) {
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

func allCounters(l *Ledger) []*controlwire.UsageCounter {
	return l.Usage(&controlwire.UsageRequest{ToDay: ^uint32(0)}).GetCounters()
}

func assertCounters(t *testing.T, got, want []*controlwire.UsageCounter) {
	t.Helper()
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Fatalf("counters differ (-want +got):\n%s", diff)
	}
}

func newInstance(incarnation uint64) *registrar.Instance {
	return registrar.NewInstance(registrar.Spec{
		ID: "vitrina-1", Incarnation: incarnation, State: registrar.StateWarming, Service: "vitrina", Owner: "oaxaca", Slots: 6,
	})
}

func TestMeterSplitsSlotTimeByCategory(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	secondsAfterStart := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	m := NewMeter(newInstance(1), start)
	m.InFlightChanged(secondsAfterStart(1), 2, 6) // Until 1 s: 6 warming.
	m.SetState(secondsAfterStart(2), registrar.StateReady)
	m.InFlightChanged(secondsAfterStart(3), 1, 4) // Until 2 s: 2 busy, 4 warming. Until 3 s: 2 busy, 4 idle.
	m.SetState(secondsAfterStart(4), registrar.StateLeaving)
	m.Tick(secondsAfterStart(5))  // Until 4 s: 1 busy, 3 idle, 2 withheld. Until 5 s: 1 busy, 5 leaving.
	m.Tick(secondsAfterStart(60)) // The gap is not metered.
	m.CountRefusedWhileIdle()
	got := m.Counters(secondsAfterStart(60))
	assertCounters(t, got, []*controlwire.UsageCounter{{
		Instance: "vitrina-1", Incarnation: 1, Service: "vitrina", Owner: "oaxaca", Slots: 6, Day: dayOf(start),
		BusySlotMs: 6000, IdleSlotMs: 7000, WarmingSlotMs: 12000, LeavingSlotMs: 5000, Requests: 2, RefusedWhileIdle: 1,
		SinceUnixMs: start.UnixMilli(), UntilUnixMs: secondsAfterStart(60).UnixMilli(),
	}})
}

func TestMeterStartsNewCounterEachDayAndIncarnation(t *testing.T) {
	midnight := endOfDay(20_000)
	m := NewMeter(newInstance(1), midnight.Add(-time.Second))
	m.SetState(midnight.Add(-time.Second), registrar.StateReady)
	m.Tick(midnight.Add(time.Second))
	m.SetInstance(midnight.Add(2*time.Second), newInstance(2))
	counters := m.Counters(midnight.Add(3 * time.Second))
	assert.Equal(t, len(counters), 3)
	for i, want := range []struct{ idle, incarnation uint64 }{{6000, 1}, {12000, 1}, {6000, 2}} {
		assert.Equal(t, counters[i].GetIdleSlotMs(), want.idle)
		assert.Equal(t, counters[i].GetIncarnation(), want.incarnation)
	}
	m.MarkReported(counters[:1])
	assert.Equal(t, len(m.Counters(midnight.Add(3*time.Second))), 2)
}

// cumulativeReports returns successive reports, with growing counters, of three instances
// with two incarnations each.
func cumulativeReports(random *rand.Rand, today uint32) []*controlwire.UsageCounter {
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
		reports := cumulativeReports(random, dayOf(time.Now()))
		expected := openLedger(t, newMemoryStore())
		expected.Merge(reports)
		a, b := openLedger(t, newMemoryStore()), openLedger(t, newMemoryStore())
		for _, i := range random.Perm(len(reports)) {
			a.Merge(reports[i : i+1])
			if random.IntN(2) == 0 {
				b.Merge(reports[i : i+1])
			}
			if random.IntN(4) == 0 {
				a.Merge(allCounters(b))
				b.Merge(allCounters(a))
			}
		}
		b.Merge(allCounters(a))
		a.Merge(allCounters(b))
		assertCounters(t, allCounters(a), allCounters(expected))
		assertCounters(t, allCounters(b), allCounters(expected))
		changed := a.Usage(&controlwire.UsageRequest{}).GetChanged()
		a.Merge(reports)
		assert.Equal(t, a.Usage(&controlwire.UsageRequest{}).GetChanged(), changed, "seed %d", seed)
	}
}

func TestLedgerSurvivesRestart(t *testing.T) {
	store := newMemoryStore()
	l := openLedger(t, store)
	reports := cumulativeReports(rand.New(rand.NewPCG(1, 1)), dayOf(time.Now()))
	store.full = true
	l.Merge(reports)
	assert.ErrorIs(t, l.Save(), journaler.ErrDiskFull)
	store.full = false
	assert.NilError(t, l.Save())
	assertCounters(t, allCounters(openLedger(t, store)), allCounters(l))
}

func TestNewLedgerFailsOnCorruptBlob(t *testing.T) {
	store := newMemoryStore()
	store.blobs[blobName(dayOf(time.Now()))] = []byte{0xff}
	_, err := NewLedger(store, zerolog.Nop(), tally.NoopScope)
	assert.ErrorContains(t, err, "decode ledger")
}

func TestLedgerExpiresOldDaysAndRejectsInvalidCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		l := openLedger(t, store)
		l.Start()
		today := dayOf(time.Now())
		l.Merge(cumulativeReports(rand.New(rand.NewPCG(1, 1)), today))
		l.Merge([]*controlwire.UsageCounter{{Day: today}, {Instance: "a", Incarnation: 1, Day: today + 9}, nil})
		assert.Equal(t, len(allCounters(l)), 6)
		time.Sleep((RetentionDays + 2) * dayLength)
		synctest.Wait()
		assert.Equal(t, len(allCounters(l)), 0)
		assert.Equal(t, len(store.blobs[blobName(today)]), 0)
		assert.NilError(t, l.Stop())
	})
}

// lossySender is a Sender that loses every second request, and the response to every
// third.
type lossySender struct {
	ledger *Ledger
	calls  int
}

func (s *lossySender) ReportUsage(_ context.Context, _ netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	s.calls++
	if s.calls%2 == 0 {
		return errNoResponse
	}
	s.ledger.Merge(req.GetCounters())
	if s.calls%3 == 0 {
		return errNoResponse
	}
	return nil
}

func TestReporterReportsAllUsageUntilStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, newMemoryStore())
		time.Sleep(dayLength - 2*time.Minute)
		m := NewMeter(newInstance(1), time.Now())
		r := NewReporter(ReporterConfig{
			Meter: m, Self: func() *registrar.Instance { return newInstance(1) },
			InForce:          func() *controlwire.VersionDigest { return nil },
			ControlAddresses: func() []netip.AddrPort { return make([]netip.AddrPort, 3) },
			Sender:           &lossySender{ledger: l}, Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)),
		})
		r.Start()
		m.SetState(time.Now(), registrar.StateReady)
		time.Sleep(5 * time.Minute)
		m.SetState(time.Now(), registrar.StateLeft)
		assert.NilError(t, r.Stop())
		var idle uint64
		counters := allCounters(l)
		for _, c := range counters {
			idle += c.GetIdleSlotMs()
		}
		assert.Equal(t, idle, uint64(6*5*time.Minute.Milliseconds()))
		assert.Assert(t, counters[len(counters)-1].GetEnded())
	})
}

// versionRecorder is a Sender that records the reported versions in force.
type versionRecorder struct{ numbers []uint64 }

func (r *versionRecorder) ReportUsage(_ context.Context, _ netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	r.numbers = append(r.numbers, req.GetInForce().GetVersion().GetNumber())
	return nil
}

func TestReporterReportsVersionChangePromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inForce atomic.Pointer[controlwire.VersionDigest]
		sender := &versionRecorder{}
		r := NewReporter(ReporterConfig{
			Meter: NewMeter(newInstance(1), time.Now()), Self: func() *registrar.Instance { return newInstance(1) },
			InForce: inForce.Load, Sender: sender,
			ControlAddresses: func() []netip.AddrPort { return make([]netip.AddrPort, 1) },
			Logger:           zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)),
		})
		r.Start()
		time.Sleep(maxFirstReportDelay + 2*tickInterval)
		inForce.Store(&controlwire.VersionDigest{Number: 7})
		time.Sleep(maxVersionReportDelay + 2*tickInterval)
		synctest.Wait()
		assert.DeepEqual(t, sender.numbers, []uint64{0, 7})
		assert.NilError(t, r.Stop())
	})
}

// ledgerReader is a Reader of one ledger in the same process.
type ledgerReader struct{ *Ledger }

func (r ledgerReader) Usage(_ context.Context, _ netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error) {
	return r.Ledger.Usage(req), nil
}

func TestReplicatorReadsChangesAndDetectsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := cumulativeReports(rand.New(rand.NewPCG(3, 3)), dayOf(time.Now()))
		local, remote := openLedger(t, newMemoryStore()), openLedger(t, newMemoryStore())
		remote.Merge(reports[:20])
		reader := &ledgerReader{remote}
		r := NewReplicator(local, reader, func() []netip.AddrPort { return make([]netip.AddrPort, 1) }, zerolog.Nop())
		to := netip.MustParseAddrPort("10.0.0.1:1")
		assert.NilError(t, r.read(to))
		assertCounters(t, allCounters(local), allCounters(remote))
		reader.Ledger = openLedger(t, newMemoryStore())
		reader.Merge(reports[25:])
		assert.NilError(t, r.read(to))
		assert.NilError(t, r.read(to))
		assert.Equal(t, len(allCounters(local)), 5)
	})
}

func TestBillChargesAllUnusedSlotTime(t *testing.T) {
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
		var charged, unused uint64
		for _, l := range NewBill(counters, time.UnixMilli(0)).Lines() {
			charged += l.Charged()
			unused += l.Idle() + l.Warming() + l.Leaving() + l.Unreachable()
			assert.Assert(t, l.Credit() <= l.Idle(), "seed %d", seed)
		}
		assert.Equal(t, charged, unused, "seed %d", seed)
	}
}

func TestBillCountsUnmeteredTimeAsUnreachable(t *testing.T) {
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
		{"reported recently", []*controlwire.UsageCounter{counter(1, 0, 100, 100, false)}, 150, 0},
		{"suspended", []*controlwire.UsageCounter{counter(1, 0, 100, 70, false)}, 100, 30},
		{"crashed and restarted", []*controlwire.UsageCounter{counter(2, 140, 200, 60, false), counter(1, 0, 100, 100, false)}, 200, 40},
		{"left and restarted", []*controlwire.UsageCounter{counter(2, 140, 200, 60, false), counter(1, 0, 100, 100, true)}, 200, 0},
		{"stopped reporting", []*controlwire.UsageCounter{counter(1, 0, 100, 100, false)}, 300, 200},
		{"stopped reporting longer ago than the limit", []*controlwire.UsageCounter{counter(1, 0, 100, 100, false)}, 99_999, 3600},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBill(test.counters, time.Unix(test.now, 0))
			assert.Equal(t, b.Lines()[0].Unreachable(), test.want*1000)
		})
	}
}

func FuzzMergeAndBill(f *testing.F) {
	seed, err := proto.Marshal(&controlwire.ReportUsageRequest{Counters: cumulativeReports(rand.New(rand.NewPCG(5, 5)), dayOf(time.Now()))})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &controlwire.ReportUsageRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		l := openLedger(t, newMemoryStore())
		l.Merge(req.GetCounters())
		mergedOnce := allCounters(l)
		l.Merge(req.GetCounters())
		assertCounters(t, allCounters(l), mergedOnce)
		NewBill(mergedOnce, time.Now())
	})
}

func TestReportFailsWhileSavingFails(t *testing.T) {
	store := newMemoryStore()
	l := openLedger(t, store)
	reports := cumulativeReports(rand.New(rand.NewPCG(1, 1)), dayOf(time.Now()))
	assert.NilError(t, l.Report(reports[:1]))
	store.full = true
	assert.ErrorIs(t, l.Save(), journaler.ErrDiskFull)
	assert.ErrorIs(t, l.Report(reports), journaler.ErrDiskFull)
	store.full = false
	assert.NilError(t, l.Save())
	assert.NilError(t, l.Report(reports))
	assertCounters(t, allCounters(openLedger(t, store)), allCounters(l))
}
