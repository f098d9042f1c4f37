package picker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// stubRefresher refreshes load samples from a table, and records the refreshed instances.
type stubRefresher struct {
	pool      *sampler.Pool
	loads     map[string]sampler.LoadSpec
	refreshed []string
}

// Refresh implements picker.Refresher.
func (s *stubRefresher) Refresh(_ *compiler.ServiceSpec, instances []*registrar.Instance, _ time.Duration) {
	for _, in := range instances {
		s.refreshed = append(s.refreshed, in.ID())
		spec := s.loads[in.ID()]
		spec.Limit = 6
		s.pool.Observe(in.ID(), 1, sampler.NewLoad(spec), time.Now())
	}
}

// scenario is a choice under given loads, by the node of instance a-1 in failure domain a.
type scenario struct {
	loads         map[string]sampler.LoadSpec
	largeResponse bool
}

func (sc scenario) pick(t *testing.T) (chosen string, refreshed []string) {
	t.Helper()
	refresher, p, query := sc.newPicker(t)
	choice, ok := p.Pick(query)
	assert.Assert(t, ok)
	return choice.Instance().ID(), refresher.refreshed
}

// newPicker returns a picker with its refresher, and a query.
func (sc scenario) newPicker(t *testing.T) (*stubRefresher, *picker.Picker, picker.Query) {
	t.Helper()
	refresher := &stubRefresher{pool: sampler.New(sampler.Config{}), loads: sc.loads}
	var instances []*registrar.Instance
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2"} {
		instances = append(instances, registrar.NewInstance(registrar.Spec{
			ID: id, Incarnation: 1, State: registrar.StateReady, Service: "vitrina", FailureDomain: id[:1], Region: "sur", Slots: 6,
		}))
	}
	// The load of the node's own instance is known without a refresh.
	refresher.Refresh(nil, instances[:1], 0)
	refresher.refreshed = nil
	p, err := picker.New(picker.Config{
		Pool: refresher.pool, Self: "a-1", Region: "sur", FailureDomain: "a", Policy: picker.PolicyLeastExpectedFinish, Refresher: refresher,
	})
	assert.NilError(t, err)
	return refresher, p, picker.Query{
		Service: compiler.NewService(compiler.DefaultServiceSpec("vitrina")), Instances: instances,
		ExpectedWork: 90 * time.Millisecond, TimeToGoal: 300 * time.Millisecond, LargeResponse: sc.largeResponse, Now: time.Now(),
	}
}

// TestLeastExpectedFinish checks which instance is chosen, and how many are refreshed, when
// load and slowness differ between instances.
func TestLeastExpectedFinish(t *testing.T) {
	full := sampler.LoadSpec{InFlight: 6, Queued: 3, Latency: 90 * time.Millisecond}
	slowed := sampler.LoadSpec{SlownessPercent: 500}
	slowedBriefly := sampler.LoadSpec{SlownessPercent: 500, SlowdownLeft: 60 * time.Millisecond}
	idle := sampler.LoadSpec{}
	for name, tc := range map[string]struct {
		scenario
		chosen    string // The id of the instance, or a prefix of it.
		refreshes int
	}{
		"own instance has free slots":                                                        {scenario{map[string]sampler.LoadSpec{"a-1": {InFlight: 2}}, false}, "a-1", 0},
		"own instance slowed, other local one is not":                                        {scenario{map[string]sampler.LoadSpec{"a-1": slowed, "a-2": idle}, false}, "a-2", 1},
		"own failure domain full":                                                            {scenario{map[string]sampler.LoadSpec{"a-1": full, "a-2": full, "b-1": idle, "b-2": full}, false}, "b-1", 3},
		"large response waits for the end of a short local slowdown":                         {scenario{map[string]sampler.LoadSpec{"a-1": slowedBriefly, "a-2": slowed, "b-1": idle, "b-2": idle}, true}, "a-1", 1},
		"large response comes from another failure domain if all local instances are slowed": {scenario{map[string]sampler.LoadSpec{"a-1": slowed, "a-2": slowed, "b-1": idle, "b-2": idle}, true}, "b-", 3},
		"small response waits for the shortest slowdown if all are slowed":                   {scenario{map[string]sampler.LoadSpec{"a-1": slowed, "a-2": slowed, "b-1": slowedBriefly, "b-2": slowed}, false}, "b-1", 3},
		"small response comes from another failure domain if all local instances are slowed": {scenario{map[string]sampler.LoadSpec{"a-1": slowed, "a-2": slowed, "b-1": idle, "b-2": slowed}, false}, "b-1", 3},
	} {
		t.Run(name, func(t *testing.T) {
			chosen, refreshed := tc.pick(t)
			assert.Equal(t, chosen[:len(tc.chosen)], tc.chosen)
			assert.Equal(t, len(refreshed), tc.refreshes, "%v", refreshed)
		})
	}
}

// TestUploadStaysAtOwnInstanceIfTheLinkIsSlow guards against an upload that is sent to another node over a link that takes longer for it than the own upstream does.
func TestUploadStaysAtOwnInstanceIfTheLinkIsSlow(t *testing.T) {
	slowed := sampler.LoadSpec{SlownessPercent: 300}
	sc := scenario{loads: map[string]sampler.LoadSpec{"a-1": slowed, "a-2": {}, "b-1": {}, "b-2": {}}}
	for sendTime, want := range map[time.Duration]string{0: "a-2", 500 * time.Millisecond: "a-1"} {
		_, p, query := sc.newPicker(t)
		query.LargeRequest, query.SendTime = true, sendTime
		choice, ok := p.Pick(query)
		assert.Assert(t, ok)
		assert.Equal(t, choice.Instance().ID(), want, "%v", sendTime)
	}
}

// TestFullInstancesAreNotRefreshedAgain checks that the next attempt of a request refreshes
// no instances that were full 10 ms before, while it refreshes those with free slots.
func TestFullInstancesAreNotRefreshedAgain(t *testing.T) {
	full := sampler.LoadSpec{InFlight: 6, Queued: 3, Latency: 90 * time.Millisecond}
	slowed := sampler.LoadSpec{InFlight: 5, SlownessPercent: 500}
	for name, tc := range map[string]struct {
		load      sampler.LoadSpec
		refreshes int // At the second attempt, with three instances left.
	}{"full": {full, 0}, "slowed, with free slots": {slowed, 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := scenario{loads: map[string]sampler.LoadSpec{"a-1": tc.load, "a-2": tc.load, "b-1": tc.load, "b-2": tc.load}}
				refresher, p, query := sc.newPicker(t)
				_, ok := p.Pick(query)
				assert.Assert(t, ok)
				refresher.refreshed = nil
				time.Sleep(10 * time.Millisecond)
				query.Now = time.Now()
				query.Exclude = []string{"a-1"}
				_, ok = p.Pick(query)
				assert.Assert(t, ok)
				assert.Equal(t, len(refresher.refreshed), tc.refreshes, "%v", refresher.refreshed)
			})
		})
	}
}
