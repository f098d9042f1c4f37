package launcher

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// cutOffPeriod is how long cutOffDuring cuts a node off.
const cutOffPeriod = 10 * time.Second

// cutOffDuring returns an event that cuts a node off from gossip.
func cutOffDuring(i int) func(*testing.T, *evacuatedFleet) {
	return func(_ *testing.T, f *evacuatedFleet) {
		f.setCutOff(i, true)
		time.Sleep(cutOffPeriod)
		f.setCutOff(i, false)
	}
}

// TestEvacuatedUpstreamsGetNothing counts what reaches upstreams that are evacuated and
// returned, while something fails.
func TestEvacuatedUpstreamsGetNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		size  int
		loss  float64
		event func(t *testing.T, f *evacuatedFleet)
		// notInTouch is how long a node of the failure domain is not in touch.
		notInTouch time.Duration
	}{
		"6 nodes":      {size: 6},
		"30 nodes":     {size: 30},
		"a fifth lost": {size: 12, loss: 0.2},
		"nodes restart": {size: 12, event: func(t *testing.T, f *evacuatedFleet) {
			for i := range 6 {
				f.restart(t, i)
			}
		}},
		"a node elsewhere is cut off": {size: 12, event: cutOffDuring(3)},
		// It goes on to use its own upstream until it is back.
		"a node there is cut off": {size: 12, event: cutOffDuring(4), notInTouch: cutOffPeriod},
		"stale gossip": {size: 12, event: func(_ *testing.T, f *evacuatedFleet) {
			for i := range 10 {
				f.node(i).gossiper.SetEvacuation(&controlwire.Evacuation{Revision: 1})
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuatedFleet(t, tc.size, func(t *testing.T, f *evacuatedFleet) {
				f.datagrams.setLoss(tc.loss)
				stop := f.sendUntil(20)
				defer stop()
				f.order("oax-costa")
				var wg sync.WaitGroup
				if tc.event != nil {
					wg.Go(func() { tc.event(t, f) })
				}
				ordered := f.order(emptiedDomain)
				time.Sleep(20 * time.Second)
				ended := f.order()
				f.assertEmpty(t, ordered.Add(tc.notInTouch+evacuationBound), ended)
				f.assertUsed(t, "oax-costa", ordered.Add(evacuationBound), ended)
				wg.Wait()
				time.Sleep(2 * evacuationBound)
				f.assertUsed(t, emptiedDomain, ended.Add(evacuationBound), time.Now())
				assertOnlyOK(t, stop())
			})
		})
	}
}

// sendAtOnce sends requests to one node at the same moment and asserts that all are served.
func (f *evacuatedFleet) sendAtOnce(t *testing.T, entry, count int) {
	t.Helper()
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() { assert.Check(t, f.send(entry, http.MethodPost, "").StatusCode == http.StatusOK) })
	}
	wg.Wait()
}

// TestNodeThatDoesNotKnowIsRefused checks that the nodes beside the evacuated upstreams refuse
// the requests of a node that has not learned of the order, which tries others.
func TestNodeThatDoesNotKnowIsRefused(t *testing.T) {
	runEvacuatedFleet(t, 3, func(t *testing.T, f *evacuatedFleet) {
		f.order(evacuationDomains[0]) // So that the node does not prefer its own upstream.
		time.Sleep(time.Second)
		f.setCutOff(0, true)
		began := time.Now()
		f.sendAtOnce(t, 0, 300)
		f.assertUsed(t, emptiedDomain, began, time.Now())
		ordered := f.order(evacuationDomains[0], emptiedDomain)
		time.Sleep(time.Second)
		f.sendAtOnce(t, 0, 300)
		f.assertEmpty(t, ordered.Add(time.Second), time.Now())
	})
}

// TestRestartedNodeWaitsForOthers checks that a node that restarts in an evacuated failure domain
// serves callers by the upstreams elsewhere, also before it knows those.
func TestRestartedNodeWaitsForOthers(t *testing.T) {
	runEvacuatedFleet(t, 6, func(t *testing.T, f *evacuatedFleet) {
		ordered := f.order(emptiedDomain)
		time.Sleep(evacuationBound)
		for range 5 {
			f.restart(t, 1)
			for f.node(1).snapshots.Snapshot().View().Evacuation() == nil {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, f.send(1, http.MethodPost, "").StatusCode, http.StatusOK)
		}
		f.assertEmpty(t, ordered.Add(evacuationBound), time.Now())
	})
}

func TestEvacuationOfAllIsRefusedAtOnce(t *testing.T) {
	for _, key := range []string{"", "k-1"} {
		t.Run("key "+key, func(t *testing.T) {
			runEvacuatedFleet(t, 3, func(t *testing.T, f *evacuatedFleet) {
				f.order(evacuationDomains...)
				time.Sleep(evacuationBound)
				start := time.Now()
				resp := f.send(0, http.MethodPost, key)
				assert.Equal(t, time.Since(start), time.Duration(0))
				assert.Equal(t, resp.Header.Get(classifier.HeaderReason), string(classifier.ReasonEvacuated))
			})
		})
	}
}

// TestRequestsInFlightEndWhole checks that requests that an upstream runs when its evacuation
// begins are not cut off.
func TestRequestsInFlightEndWhole(t *testing.T) {
	runEvacuatedFleet(t, 3, func(t *testing.T, f *evacuatedFleet) {
		for _, u := range f.upstreams {
			u.latency = time.Second
		}
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() { assert.Check(t, f.send(1, http.MethodPost, "").StatusCode == http.StatusOK) })
		}
		time.Sleep(100 * time.Millisecond)
		f.order(emptiedDomain)
		wg.Wait()
		f.assertUsed(t, emptiedDomain, time.Now().Add(-2*time.Second), time.Now())
	})
}

// TestQueuedRequestsAreNotStarted checks that requests that wait for a slot when the evacuation
// begins are refused as not run.
func TestQueuedRequestsAreNotStarted(t *testing.T) {
	n := newTestNode(t, "vitrina-1", "vitrina", netip.MustParseAddrPort("127.0.0.1:9"))
	synctest.Test(t, func(t *testing.T) {
		u := &countingUpstream{latency: 500 * time.Millisecond}
		spec := n.service().Spec()
		n.assembleAdmitter(zerolog.Nop(), spec)
		n.admitter.Update(1, 1, spec.QueueLength, 0)
		n.assembleServer(zerolog.Nop(), u)
		results := make(chan error, 2)
		for i := range 2 {
			go func() { results <- sendRequest(n, fmt.Sprint(i)) }()
			time.Sleep(10 * time.Millisecond)
		}
		n.setEvacuation(&controlwire.Evacuation{Revision: 1, FailureDomains: []string{"d"}})
		assert.NilError(t, <-results)
		refusal := refuser.FromError(<-results)
		assert.Equal(t, refusal.Reason(), classifier.ReasonEvacuated)
		assert.Equal(t, refusal.Outcome(), classifier.NotRun)
		assert.Equal(t, len(u.arrivals), 1)
	})
}

// TestKeyedRequestsMoveToAnotherHome checks that the keys whose home is evacuated run elsewhere,
// and that a resent key gets the response of its first run.
func TestKeyedRequestsMoveToAnotherHome(t *testing.T) {
	runEvacuatedFleet(t, 6, func(t *testing.T, f *evacuatedFleet) {
		for i := range 20 {
			assert.Equal(t, f.send(i%6, http.MethodPost, fmt.Sprintf("before-%d", i)).StatusCode, http.StatusOK)
		}
		ordered := f.order(emptiedDomain)
		time.Sleep(time.Second)
		sent := len(f.allArrivals())
		for i := range 20 {
			assert.Equal(t, f.send((i+1)%6, http.MethodPost, fmt.Sprintf("before-%d", i)).StatusCode, http.StatusOK)
		}
		assert.Equal(t, len(f.allArrivals()), sent, "a key ran twice")
		for i := range 20 {
			assert.Equal(t, f.send(i%6, http.MethodPost, fmt.Sprintf("after-%d", i)).StatusCode, http.StatusOK)
		}
		f.assertEmpty(t, ordered.Add(time.Second), time.Now())
	})
}

// allArrivals returns the times of all arrivals.
func (f *evacuatedFleet) allArrivals() []time.Time {
	var all []time.Time
	for _, u := range f.upstreams {
		u.mu.Lock()
		all = append(all, u.arrivals...)
		u.mu.Unlock()
	}
	return all
}

// TestTrialsLeaveEvacuatedInstancesOut checks that requests on trial run at an instance that is
// not evacuated, and that the nodes agree on it.
func TestTrialsLeaveEvacuatedInstancesOut(t *testing.T) {
	runEvacuatedFleet(t, 6, func(t *testing.T, f *evacuatedFleet) {
		f.order(emptiedDomain)
		time.Sleep(evacuationBound)
		for period := range uint64(50) {
			trial := quarantiner.Trial{Period: period}
			chosen := trial.Choose(f.node(0).snapshots.Snapshot().View().Service("vitrina"))
			assert.Assert(t, chosen.FailureDomain() != emptiedDomain)
			for _, n := range f.nodes {
				assert.Equal(t, n.runsTrial(trial), n.settings.Instance() == chosen.ID())
			}
		}
	})
}

// TestControlInstancesAreNotEvacuated checks that nodes go on to use the control instances of an
// evacuated failure domain.
func TestControlInstancesAreNotEvacuated(t *testing.T) {
	runEvacuatedFleet(t, 3, func(t *testing.T, f *evacuatedFleet) {
		f.order("oax-centro")
		time.Sleep(evacuationBound)
		view := f.node(1).snapshots.Snapshot().View()
		assert.Equal(t, view.Instance("vitrina-1").State(), registrar.StateEvacuated)
		assert.Assert(t, slices.Equal(controlAddressesIn(view), []netip.AddrPort{controlPeerAddress}))
	})
}

func TestEndOfOwnEvacuationCallsHook(t *testing.T) {
	n := newTestNode(t, "vitrina-1", "vitrina", netip.MustParseAddrPort("127.0.0.1:9"))
	calls := 0
	n.onEvacuationEnded = func() { calls++ }
	for i, domains := range [][]string{{"x"}, {"d", "x"}, {"d"}, {"x"}, {}, {"d"}} {
		n.setEvacuation(&controlwire.Evacuation{Revision: uint64(i + 1), FailureDomains: domains})
	}
	assert.Equal(t, calls, 1)
	n.setEvacuation(&controlwire.Evacuation{Revision: 2})
	assert.Equal(t, calls, 1)
	assert.Assert(t, n.upstreamEvacuated())
	n.setEvacuation(&controlwire.Evacuation{Revision: 7})
	assert.Equal(t, calls, 2)
}

// TestStartedCallsFollowEvacuation checks that the hedges of calls that had started leave out
// what has been evacuated since, though the nodes there do not know of it.
func TestStartedCallsFollowEvacuation(t *testing.T) {
	runEvacuatedFleet(t, 3, func(t *testing.T, f *evacuatedFleet) {
		const calls = 40
		for _, u := range f.upstreams {
			u.latency = 500 * time.Millisecond
		}
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() { assert.Check(t, f.send(0, http.MethodGet, "").StatusCode == http.StatusOK) })
		}
		time.Sleep(20 * time.Millisecond)
		f.node(0).setEvacuation(&controlwire.Evacuation{Revision: 1, FailureDomains: evacuationDomains})
		wg.Wait()
		assert.Equal(t, len(f.allArrivals()), calls)
	})
}
