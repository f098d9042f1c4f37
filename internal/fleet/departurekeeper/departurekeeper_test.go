package departurekeeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/departurekeeper"
	"github.com/banyanscale/banyanscale/internal/testbed/switcher"
)

var (
	node        = netip.MustParseAddrPort("10.0.0.9:7600")
	errDisk     = errors.New("disk failed")
	storeMargin = 700 * time.Millisecond
)

// departure returns the departure of the incarnation that started at the given second.
func departure(id string, startedAt int64) departurekeeper.Departure {
	return departurekeeper.Departure{Upstream: id, StartedAt: time.Unix(startedAt, 0)}
}

// disk is the journal of a control instance.
type disk struct {
	mu      sync.Mutex
	records [][]byte
	fails   bool
	delay   time.Duration
}

func (d *disk) Records() [][]byte { return d.records }

func (d *disk) Append(records ...[]byte) error {
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fails {
		return errDisk
	}
	d.records = append(d.records, records...)
	return nil
}

func (d *disk) Rewrite(records [][]byte) error {
	d.records = nil
	return d.Append(records...)
}

func (d *disk) Appended() int64 { return 0 }

// fleet is a node and some control instances.
type fleet struct {
	t        *testing.T
	network  *switcher.Switcher
	controls []netip.AddrPort
	disks    []*disk
	archives []*departurekeeper.Archive
	// running and configured are the control instances that the node knows.
	running, configured []netip.AddrPort
	starts              uint64

	keeper *departurekeeper.Keeper
	mu     sync.Mutex
	// recalled holds the departures that the node learnt since its start, and settledAt is when
	// that ended.
	recalled  []departurekeeper.Departure
	settledAt time.Time
}

// runFleet runs a test in fake time with a node and control instances.
func runFleet(t *testing.T, controls int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, network: switcher.New(1)}
		for i := range controls {
			f.controls = append(f.controls, netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:8620", i+1)))
			f.disks = append(f.disks, &disk{delay: 500 * time.Microsecond})
			f.archives = append(f.archives, nil)
			f.startControl(i)
		}
		f.running = f.controls
		f.startNode()
		test(t, f)
		assert.NilError(t, f.keeper.Stop())
		for i := range f.archives {
			f.stopControl(i)
		}
	})
}

func (f *fleet) startControl(i int) {
	f.archives[i] = departurekeeper.NewArchive(departurekeeper.ArchiveConfig{
		Journal: f.disks[i], Transport: f.network.Endpoint(f.controls[i]), Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	f.archives[i].Start()
}

func (f *fleet) stopControl(i int) { assert.NilError(f.t, f.archives[i].Stop()) }

// restartControl restarts a control instance, which keeps its disk or has an empty one.
func (f *fleet) restartControl(i int, keepsDisk bool) {
	f.stopControl(i)
	if !keepsDisk {
		f.disks[i] = &disk{}
	}
	f.startControl(i)
}

func (f *fleet) startNode() {
	f.starts++
	f.recalled, f.settledAt = nil, time.Time{}
	f.keeper = departurekeeper.New(departurekeeper.Config{
		Instance: "vitrina-1",
		Controls: func() departurekeeper.Controls {
			return departurekeeper.Controls{Running: f.running, Configured: f.configured, Known: len(f.controls)}
		},
		Transport: f.network.Endpoint(node),
		OnDeparture: func(d departurekeeper.Departure) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.recalled = append(f.recalled, d)
		},
		OnSettled: func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.settledAt = time.Now()
		},
		Random: rand.New(rand.NewPCG(f.starts, 1)),
		Scope:  tally.NoopScope,
		Log:    zerolog.Nop(),
	})
	f.keeper.Start()
}

func (f *fleet) restartNode() {
	assert.NilError(f.t, f.keeper.Stop())
	f.startNode()
}

// store stores a departure, as before an acknowledgement.
func (f *fleet) store(d departurekeeper.Departure) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), storeMargin)
	defer cancel()
	return f.keeper.Store(ctx, d)
}

// assertRecalled asserts that the node has learnt of a departure before it settled, or of none.
func (f *fleet) assertRecalled(want ...departurekeeper.Departure) {
	f.t.Helper()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(f.t, !f.settledAt.IsZero())
	assert.Equal(f.t, len(f.recalled), len(want))
	for i := range want {
		assert.Equal(f.t, f.recalled[i].Upstream, want[i].Upstream)
		assert.Assert(f.t, f.recalled[i].StartedAt.Equal(want[i].StartedAt))
	}
}

// TestStoredDepartureIsKnownAfterRestarts guards against a departure that was acknowledged and is forgotten when processes end.
func TestStoredDepartureIsKnownAfterRestarts(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"of the node":              func(*fleet) {},
		"of all processes at once": func(f *fleet) { f.restartControls(0, 1, 2, 3, 4) },
		"with a lost disk": func(f *fleet) {
			f.restartControl(0, false)
			f.restartControls(1, 2, 3, 4)
		},
		"with two lost disks": func(f *fleet) {
			f.restartControl(0, false)
			f.restartControl(4, false)
		},
		"while datagrams are lost": func(f *fleet) { f.network.SetLoss(0.3) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 5, func(t *testing.T, f *fleet) {
				assert.NilError(t, f.store(departure("i-1", 1)))
				fault(f)
				f.restartNode()
				f.assertRecalled(departure("i-1", 1))
			})
		})
	}
}

func (f *fleet) restartControls(list ...int) {
	for _, i := range list {
		f.restartControl(i, true)
	}
}

func TestStoreWaitsForEnoughControlInstances(t *testing.T) {
	for name, c := range map[string]struct {
		cutOff, failedDisks int
		stored              bool
	}{
		"all":                     {stored: true},
		"two of five cut off":     {cutOff: 2, stored: true},
		"three of five cut off":   {cutOff: 3},
		"two disks fail":          {failedDisks: 2, stored: true},
		"three disks fail":        {failedDisks: 3},
		"all cut off":             {cutOff: 5},
		"one cut off, two failed": {cutOff: 1, failedDisks: 2},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 5, func(t *testing.T, f *fleet) {
				for i := range c.cutOff {
					f.network.SetSide(f.controls[i], 1)
				}
				for i := range c.failedDisks {
					f.disks[4-i].fails = true
				}
				start := time.Now()
				err := f.store(departure("i-1", 1))
				assert.Equal(t, err == nil, c.stored, "%v", err)
				assert.Assert(t, time.Since(start) <= storeMargin)
			})
		})
	}
}

func TestNoCopyAloneIsEnoughWhereOthersAreKnown(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.running = f.controls[:1] // The others seem to have failed.
		assert.ErrorIs(t, f.store(departure("i-1", 1)), departurekeeper.ErrNotStored)
	})
}

func TestConfiguredControlInstancesAreAskedBeforeOthersAreKnown(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.configured = []netip.AddrPort{f.controls[0], f.controls[1], netip.MustParseAddrPort("10.0.1.99:8620")} // The last one was replaced.
		f.running = nil
		assert.NilError(t, f.store(departure("i-1", 1)))
		f.running = f.controls[2:]
		assert.NilError(t, f.store(departure("i-2", 2)))
		f.running = nil
		f.restartNode()
		f.assertRecalled(departure("i-2", 2))
	})
}

func TestDepartureIsCopiedToControlInstancesThatReturn(t *testing.T) {
	for name, lost := range map[string]int{"one that was cut off": 1, "one that lost its disk": 0} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(t *testing.T, f *fleet) {
				f.network.SetSide(f.controls[0], 1)
				assert.NilError(t, f.store(departure("i-1", 1)))
				f.network.SetSide(f.controls[0], 0)
				f.restartControl(1, false)
				time.Sleep(10 * time.Second)
				f.restartControl(2, false)
				f.network.SetSide(f.controls[lost], 1)
				f.restartNode()
				f.assertRecalled(departure("i-1", 1))
			})
		})
	}
}

// record returns the encoded departure of upstream "i" at an instance.
func record(instance string) []byte {
	b := append(make([]byte, 9), byte(len(instance)>>8), byte(len(instance)))
	b[0] = 1
	b = append(b, instance...)
	return append(b, 0, 1, 'i', 0, 0, 0, 0, 0, 0, 3, 232)
}

func TestArchiveForgetsTheOldestDepartures(t *testing.T) {
	const others = 16384
	runFleet(t, 1, func(_ *testing.T, f *fleet) {
		f.disks[0].records = [][]byte{record("vitrina-1")}
		f.restartControl(0, true)
		f.restartNode()
		f.assertRecalled(departure("i", 1))
		for i := range others {
			f.disks[0].records = append(f.disks[0].records, record(fmt.Sprint("almacen-", i)))
		}
		f.restartControl(0, true)
		f.restartNode()
		f.assertRecalled()
	})
}

func TestNodeStartsWithoutControlInstances(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		assert.NilError(t, f.store(departure("i-1", 1)))
		for _, address := range f.controls {
			f.network.SetSide(address, 1)
		}
		start := time.Now()
		f.restartNode()
		f.assertRecalled()
		assert.Assert(t, f.settledAt.Sub(start) <= 550*time.Millisecond)
		f.network.SetSide(f.controls[1], 0)
		time.Sleep(2 * time.Second)
		f.assertRecalled(departure("i-1", 1))
	})
}

func TestNewestDepartureIsKept(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		assert.NilError(t, f.store(departure("i-2", 2)))
		assert.NilError(t, f.store(departure("i-1", 1)))
		f.restartNode()
		f.assertRecalled(departure("i-2", 2))
		assert.NilError(t, f.store(departure("i-2", 3)))
		f.restartNode()
		f.assertRecalled(departure("i-2", 3))
	})
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'a', 0, 1, 'b', 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		d := &disk{records: [][]byte{data}}
		departurekeeper.NewArchive(departurekeeper.ArchiveConfig{
			Journal: d, Transport: switcher.New(1).Endpoint(node), Scope: tally.NoopScope, Log: zerolog.Nop(),
		})
	})
}
