package picker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// asked answers questions for load from a table, and notes who was asked.
type asked struct {
	pool  *sampler.Pool
	loads map[string]sampler.LoadSpec
	ids   []string
}

// Refresh implements picker.Refresher.
func (a *asked) Refresh(_ *compiler.ServiceSpec, instances []*registrar.Instance, _ time.Duration) {
	for _, in := range instances {
		a.ids = append(a.ids, in.ID())
		spec := a.loads[in.ID()]
		spec.Limit = 6
		a.pool.Observe(in.ID(), 1, sampler.NewLoad(spec), time.Now())
	}
}

// placement is one choice of a node in failure domain a, beside instance a-1.
type placement struct {
	loads map[string]sampler.LoadSpec
	large bool
}

func (p placement) pick(t *testing.T) (chosen string, considered []string) {
	t.Helper()
	a, choose, query := p.picker(t)
	choice, ok := choose.Pick(query)
	assert.Assert(t, ok)
	return choice.Instance().ID(), a.ids
}

// picker returns the picker of the placement with what it asks, and a query.
func (p placement) picker(t *testing.T) (*asked, *picker.Picker, picker.Query) {
	t.Helper()
	a := &asked{pool: sampler.New(sampler.Config{}), loads: p.loads}
	var instances []*registrar.Instance
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2"} {
		instances = append(instances, registrar.NewInstance(registrar.Spec{
			ID: id, Incarnation: 1, State: registrar.StateReady, Service: "vitrina", FailureDomain: id[:1], Region: "sur", Slots: 6,
		}))
	}
	// The own load is known without a question.
	a.Refresh(nil, instances[:1], 0)
	a.ids = nil
	choose, err := picker.New(picker.Config{
		Pool: a.pool, Self: "a-1", Region: "sur", FailureDomain: "a", Policy: picker.PolicyLeastExpectedFinish, Refresher: a,
	})
	assert.NilError(t, err)
	return a, choose, picker.Query{
		Service: compiler.NewService(compiler.DefaultServiceSpec("vitrina")), Instances: instances,
		Work: 90 * time.Millisecond, Goal: 300 * time.Millisecond, Large: p.large, Now: time.Now(),
	}
}

// TestLeastExpectedFinish plays choices under load that differs from instance
// to instance, and checks where the request goes and who had to be asked.
func TestLeastExpectedFinish(t *testing.T) {
	full := sampler.LoadSpec{InFlight: 6, Queued: 3, Latency: 90 * time.Millisecond}
	slow := sampler.LoadSpec{SlownessPercent: 500}
	briefly := sampler.LoadSpec{SlownessPercent: 500, SpellLeft: 60 * time.Millisecond}
	idle := sampler.LoadSpec{}
	for name, tc := range map[string]struct {
		placement
		chosen string
		asked  int
	}{
		"own instance with room":          {placement{map[string]sampler.LoadSpec{"a-1": {InFlight: 2}}, false}, "a-1", 0},
		"own is slow, one at home is not": {placement{map[string]sampler.LoadSpec{"a-1": slow, "a-2": idle}, false}, "a-2", 1},
		"home is full":                    {placement{map[string]sampler.LoadSpec{"a-1": full, "a-2": full, "b-1": idle, "b-2": full}, false}, "b-1", 3},
		"large answers wait at home":      {placement{map[string]sampler.LoadSpec{"a-1": briefly, "a-2": slow, "b-1": idle, "b-2": idle}, true}, "a-1", 1},
		"large ones leave a slow home":    {placement{map[string]sampler.LoadSpec{"a-1": slow, "a-2": slow, "b-1": idle, "b-2": idle}, true}, "b-", 3},
		"small ones wait if all are slow": {placement{map[string]sampler.LoadSpec{"a-1": slow, "a-2": slow, "b-1": briefly, "b-2": slow}, false}, "b-1", 3},
		"small ones leave a slow home":    {placement{map[string]sampler.LoadSpec{"a-1": slow, "a-2": slow, "b-1": idle, "b-2": slow}, false}, "b-1", 3},
	} {
		t.Run(name, func(t *testing.T) {
			chosen, ids := tc.pick(t)
			assert.Equal(t, chosen[:len(tc.chosen)], tc.chosen)
			assert.Equal(t, len(ids), tc.asked, "%v", ids)
		})
	}
}

// TestFullInstancesAreNotAskedAgain checks that a request which found all instances
// full does not ask them again at its next attempt, while those with room are
// asked each time.
func TestFullInstancesAreNotAskedAgain(t *testing.T) {
	full := sampler.LoadSpec{InFlight: 6, Queued: 3, Latency: 90 * time.Millisecond}
	idle := sampler.LoadSpec{InFlight: 5, SlownessPercent: 500}
	for name, tc := range map[string]struct {
		load  sampler.LoadSpec
		asked int // At the second attempt, of three.
	}{"full": {full, 0}, "slow, with room": {idle, 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := placement{loads: map[string]sampler.LoadSpec{"a-1": tc.load, "a-2": tc.load, "b-1": tc.load, "b-2": tc.load}}
				a, choose, query := p.picker(t)
				_, ok := choose.Pick(query)
				assert.Assert(t, ok)
				a.ids = nil
				time.Sleep(10 * time.Millisecond)
				query.Now = time.Now()
				query.Exclude = []string{"a-1"}
				_, ok = choose.Pick(query)
				assert.Assert(t, ok)
				assert.Equal(t, len(a.ids), tc.asked, "%v", a.ids)
			})
		})
	}
}
