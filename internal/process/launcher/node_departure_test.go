package launcher

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/departurekeeper"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/testbed/switcher"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// memoryJournal implements departurekeeper.Journal.
type memoryJournal struct {
	mu      sync.Mutex
	records [][]byte
}

func (j *memoryJournal) Records() [][]byte { return j.records }

func (j *memoryJournal) Append(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, records...)
	return nil
}

func (j *memoryJournal) Rewrite(records [][]byte) error {
	j.records = nil
	return j.Append(records...)
}

func (j *memoryJournal) Appended() int64 { return 0 }

// departureFleet is a node with its upstream and three control instances that store departures.
type departureFleet struct {
	t        *testing.T
	n        *Node
	u        *limitedUpstream
	network  *switcher.Switcher
	journals []*memoryJournal
	archives []*departurekeeper.Archive
}

// runDepartures runs a test in fake time of a node that has just started.
func runDepartures(t *testing.T, test func(f *departureFleet)) {
	t.Helper()
	n := newTestNode(t, "vitrina-1", "vitrina", netip.MustParseAddrPort("127.0.0.1:9"), "upstream-heartbeats = yes",
		"control-addresses = 127.0.0.1:11, 127.0.0.1:12, 127.0.0.1:13")
	synctest.Test(t, func(t *testing.T) {
		f := &departureFleet{t: t, n: n, u: &limitedUpstream{}, network: switcher.New(1)}
		for range n.settings.ControlAddresses() {
			f.journals = append(f.journals, &memoryJournal{})
		}
		f.startControls()
		f.startNode()
		time.Sleep(time.Second)
		test(f)
		assert.NilError(t, n.departures.Stop())
		f.stopControls()
	})
}

func (f *departureFleet) startControls() {
	f.archives = nil
	for i, address := range f.n.settings.ControlAddresses() {
		a := departurekeeper.NewArchive(departurekeeper.ArchiveConfig{
			Journal: f.journals[i], Transport: f.network.Endpoint(address), Scope: tally.NoopScope, Log: zerolog.Nop(),
		})
		a.Start()
		f.archives = append(f.archives, a)
	}
}

func (f *departureFleet) stopControls() {
	for _, a := range f.archives {
		assert.NilError(f.t, a.Stop())
	}
}

// startNode replaces the parts of the node that know its upstream.
func (f *departureFleet) startNode() {
	f.n.assembleEnroller(zerolog.Nop())
	f.n.assembleDepartures(zerolog.Nop(), f.network.Endpoint(f.n.settings.PeerAddress()))
	restartServing(f.n, f.u)
	f.n.recallDeparture()
}

// restartNode kills the node and starts it again.
func (f *departureFleet) restartNode() {
	assert.NilError(f.t, f.n.departures.Stop())
	f.startNode()
}

// record passes a heartbeat to the node, and acknowledges a departure as the platform does.
func (f *departureFleet) record(h enroller.Heartbeat) error {
	_ = f.n.enroller.RecordHeartbeat(h) // Stale ones are acknowledged, too.
	if !h.Draining {
		return nil
	}
	return f.n.StoreDeparture(f.t.Context(), h.ID, h.StartedAt)
}

// deregister passes the deregistration of upstream "i-1" to the node.
func (f *departureFleet) deregister(startedAt time.Time) error {
	f.n.enroller.Deregister("i-1", startedAt)
	return f.n.StoreDeparture(f.t.Context(), "i-1", startedAt)
}

// assertServed asserts whether requests are served.
func (f *departureFleet) assertServed(served bool) {
	f.t.Helper()
	err := sendRequest(f.n, fmt.Sprint(time.Now().UnixNano()))
	if served {
		assert.NilError(f.t, err)
		return
	}
	assertRefused(f.t, err, classifier.ReasonUpstream)
}

// TestAcknowledgedDepartureHoldsAfterRestart guards against an upstream that gets requests long after its departure was acknowledged, because its node was restarted and a late heartbeat arrived.
func TestAcknowledgedDepartureHoldsAfterRestart(t *testing.T) {
	for what, depart := range map[string]func(f *departureFleet) error{
		"draining": func(f *departureFleet) error {
			h := heartbeat(f.n, "i-1", 1, 3)
			h.Draining = true
			return f.record(h)
		},
		"deregistered": func(f *departureFleet) error { return f.deregister(time.Unix(1, 0)) },
		"deregistered without a start time": func(f *departureFleet) error {
			return f.deregister(time.Time{})
		},
	} {
		for when, restart := range map[string]func(f *departureFleet){
			"node":          (*departureFleet).restartNode,
			"all processes": (*departureFleet).restartAll,
			"node, without control for a second": func(f *departureFleet) {
				f.cutControls(1)
				f.restartNode()
				time.AfterFunc(time.Second, func() { f.cutControls(0) })
			},
		} {
			t.Run(what+", then restart of "+when, func(t *testing.T) {
				runDepartures(t, func(f *departureFleet) {
					late := heartbeat(f.n, "i-1", 1, 2)
					assert.NilError(t, f.record(heartbeat(f.n, "i-1", 1, 1)))
					f.assertServed(true)
					assert.NilError(t, depart(f))
					f.assertServed(false)
					restart(f)
					assert.NilError(t, f.record(late))
					f.n.enroller.Identify("i-1")
					time.Sleep(3 * time.Second)
					f.assertServed(false)
					assert.NilError(t, f.record(late))
					f.assertServed(false)
					assert.NilError(t, f.record(heartbeat(f.n, "i-1", 9, 1)), "it has started again")
					f.assertServed(true)
				})
			})
		}
	}
}

func (f *departureFleet) restartAll() {
	f.stopControls()
	f.startControls()
	f.restartNode()
}

// cutControls cuts the control instances off from the node, or ends that with side 0.
func (f *departureFleet) cutControls(side int) {
	for _, address := range f.n.settings.ControlAddresses() {
		f.network.SetSide(address, side)
	}
}

func TestDepartureThatIsNotStoredIsNotAcknowledged(t *testing.T) {
	runDepartures(t, func(f *departureFleet) {
		assert.NilError(t, f.record(heartbeat(f.n, "i-1", 1, 1)))
		f.cutControls(1)
		assert.ErrorIs(t, f.deregister(time.Unix(1, 0)), departurekeeper.ErrNotStored)
		f.assertServed(false)
		f.cutControls(0)
		assert.NilError(t, f.deregister(time.Unix(1, 0)))
	})
}

// TestDeregistrationBeforeAnyHeartbeatHolds guards against an upstream that deregisters without its start time at a node that has just started, and gets requests after a late heartbeat.
func TestDeregistrationBeforeAnyHeartbeatHolds(t *testing.T) {
	for name, known := range map[string]func(f *departureFleet){
		"no upstream known":          func(*departureFleet) {},
		"only the id known":          func(f *departureFleet) { f.n.enroller.Identify("i-1") },
		"an earlier one is departed": func(f *departureFleet) { f.n.enroller.Deregister("i-0", time.Unix(0, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			runDepartures(t, func(f *departureFleet) {
				known(f)
				assert.NilError(t, f.deregister(time.Time{}))
				for range 2 {
					assert.NilError(t, f.record(heartbeat(f.n, "i-1", 1, 1)))
					f.assertServed(false)
					f.restartNode()
					time.Sleep(time.Second)
				}
				assert.NilError(t, f.record(heartbeat(f.n, "i-1", time.Now().Unix(), 1)), "it has started again")
				f.assertServed(true)
			})
		})
	}
}

func TestDeregistrationBesideAnotherUpstreamIsNotAcknowledged(t *testing.T) {
	runDepartures(t, func(f *departureFleet) {
		assert.NilError(t, f.record(heartbeat(f.n, "i-2", 2, 1)))
		assert.ErrorIs(t, f.deregister(time.Time{}), errNotDeparted)
		assert.NilError(t, f.deregister(time.Unix(1, 0)), "it was replaced")
		f.assertServed(true)
	})
}

func TestLateDrainingHeartbeatIsNotAcknowledgedWhileUpstreamServes(t *testing.T) {
	runDepartures(t, func(f *departureFleet) {
		assert.NilError(t, f.record(heartbeat(f.n, "i-1", 1, 2)))
		late := heartbeat(f.n, "i-1", 1, 1)
		late.Draining = true
		assert.ErrorIs(t, f.record(late), errNotDeparted)
		assert.NilError(t, f.record(heartbeat(f.n, "i-2", 2, 1)))
		assert.NilError(t, f.record(late), "it was replaced")
		f.assertServed(true)
	})
}

func TestRestartedNodeServesWithinABoundedWait(t *testing.T) {
	for name, c := range map[string]struct {
		cutOff bool
		wait   time.Duration
	}{
		"control answers":           {wait: 50 * time.Millisecond},
		"control cannot be reached": {cutOff: true, wait: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runDepartures(t, func(f *departureFleet) {
				if c.cutOff {
					f.cutControls(1)
				}
				f.restartNode()
				assert.NilError(t, f.record(heartbeat(f.n, "i-1", 1, 1)))
				f.assertServed(false)
				assert.Equal(t, upstreamNotices{f.n.enroller, f.n.rateLimiter, zerolog.Nop()}.Current(), "")
				time.Sleep(c.wait)
				f.assertServed(true)
			})
		})
	}
}
