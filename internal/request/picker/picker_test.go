package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// picks is the number of choices that countPicks makes.
const picks = 2000

// fleet holds the instances of a service, their load samples and a picker.
type fleet struct {
	pool      *sampler.Pool
	picker    *Picker
	service   *compiler.Service
	instances []*registrar.Instance
	now       time.Time
}

func newFleet(t testing.TB, specs ...registrar.Spec) *fleet {
	t.Helper()
	f := &fleet{
		pool:    sampler.New(sampler.Config{}),
		service: compiler.NewService(compiler.DefaultServiceSpec("s")),
		now:     time.Now(),
	}
	for i, spec := range specs {
		if spec.ID == "" {
			spec.ID = fmt.Sprint(i)
		}
		if spec.State == 0 {
			spec.State = registrar.StateReady
		}
		if spec.Region == "" {
			spec.Region, spec.FailureDomain = "sur", "oax-centro"
		}
		if spec.Slots == 0 {
			spec.Slots = 6
		}
		f.instances = append(f.instances, registrar.NewInstance(spec))
	}
	f.picker = f.newPicker(t, PolicyLeastExpectedLatency)
	return f
}

func (f *fleet) newPicker(t testing.TB, policy string) *Picker {
	t.Helper()
	p, err := New(Config{
		Pool: f.pool, Self: "self", Region: "sur", FailureDomain: "oax-centro", Policy: policy,
		Random: rand.New(rand.NewPCG(1, 2)).Uint64,
	})
	assert.NilError(t, err)
	return p
}

// sample records a load sample of an instance, with 6 slots and incarnation 0.
func (f *fleet) sample(id string, inFlight int, latency time.Duration) {
	l := sampler.NewLoad(sampler.LoadSpec{InFlight: inFlight, Limit: 6, Latency: latency, WarmPercent: 100})
	f.pool.Observe(id, 0, l, f.now)
}

// countPicks returns how many times each instance is chosen.
func (f *fleet) countPicks(exclude ...string) map[string]int {
	counts := make(map[string]int)
	for range picks {
		choice, ok := f.picker.Pick(Query{Service: f.service, Instances: f.instances, Exclude: exclude, Now: f.now})
		if ok {
			counts[choice.Instance().ID()]++
		}
	}
	return counts
}

func TestOnlyRoutableInstancesAreChosen(t *testing.T) {
	fleetOf := func(list ...registrar.State) *fleet {
		var specs []registrar.Spec
		for _, s := range list {
			specs = append(specs, registrar.Spec{State: s})
		}
		return newFleet(t, specs...)
	}
	f := fleetOf(registrar.StateReady, registrar.StateLeaving, registrar.StateLeft, registrar.StateFailed, registrar.StateSuspect)
	f.sample("1", 0, time.Microsecond) // A leaving instance is not chosen even if idle.
	f.sample("4", 0, time.Microsecond)
	assertAlwaysPicked(t, f.countPicks(), "0")
	assertAlwaysPicked(t, f.countPicks("0"), "4")
	assert.Equal(t, len(f.countPicks("0", "4")), 0)
	assert.Equal(t, len(fleetOf(registrar.StateLeaving).countPicks()), 0)
	assert.Equal(t, len(newFleet(t).countPicks()), 0)
}

func TestLeastExpectedLatency(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{}, registrar.Spec{})
	f.sample("0", 6, time.Millisecond) // Hot.
	f.sample("1", 5, 9*time.Millisecond)
	f.sample("2", 5, 8*time.Millisecond)
	assertAlwaysPicked(t, f.countPicks(), "2")
	for _, id := range []string{"1", "2"} {
		f.sample(id, 9, 9*time.Millisecond)
	}
	assertAlwaysPicked(t, f.countPicks(), "0") // All are hot; "0" has the shortest wait.
}

func TestSampleOfEarlierIncarnationIsIgnored(t *testing.T) {
	f := newFleet(t, registrar.Spec{Incarnation: 1}, registrar.Spec{})
	f.sample("0", 0, time.Microsecond) // Of incarnation 0.
	f.sample("1", 0, time.Millisecond)
	assertAlwaysPicked(t, f.countPicks(), "1")
}

func TestNearerInstancesArePreferred(t *testing.T) {
	f := newFleet(t,
		registrar.Spec{ID: "self"},
		registrar.Spec{ID: "same-domain"},
		registrar.Spec{ID: "other-domain", Region: "sur", FailureDomain: "oax-costa"},
		registrar.Spec{ID: "other-region", Region: "norte", FailureDomain: "x"})
	for _, in := range f.instances {
		f.sample(in.ID(), 0, 4*time.Millisecond)
	}
	assertAlwaysPicked(t, f.countPicks(), "self")
	assertAlwaysPicked(t, f.countPicks("self"), "same-domain")
	assertAlwaysPicked(t, f.countPicks("self", "same-domain"), "other-domain")
	f.sample("other-domain", 12, 4*time.Millisecond)
	assertAlwaysPicked(t, f.countPicks("self", "same-domain"), "other-domain") // A short wait costs less than the round trip to the other region.
	f.sample("other-domain", 600, 4*time.Millisecond)
	assertAlwaysPicked(t, f.countPicks("self", "same-domain"), "other-region")
}

func TestDrawWithoutFreshSamplesIsWeightedBySlots(t *testing.T) {
	f := newFleet(t, registrar.Spec{Slots: 2}, registrar.Spec{Slots: 6}, registrar.Spec{Slots: 6, State: registrar.StateWarming})
	f.sample("0", 0, time.Millisecond)
	f.now = f.now.Add(time.Second)
	counts := f.countPicks()
	assertShare(t, counts, "0", 2.0/8.6)
	assertShare(t, counts, "1", 6.0/8.6)
	assertShare(t, counts, "2", 0.6/8.6)
}

// TestUnderreportedLoadAttractsNoRequests checks that an instance which reports less load
// than it has is not preferred: the latency that this node measured, and its requests in
// flight there, count as well.
func TestUnderreportedLoadAttractsNoRequests(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{}, registrar.Spec{})
	for _, in := range f.instances {
		f.pool.Sent(in.ID())
		latency := 5 * time.Millisecond
		if in.ID() == "0" {
			latency = 50 * time.Millisecond
		}
		f.pool.Finished(in.ID(), sampler.Result{Latency: latency})
		f.sample(in.ID(), 0, 5*time.Millisecond)
	}
	f.sample("0", 0, time.Microsecond)
	assert.Equal(t, f.countPicks()["0"], 0)
	for range 6 { // Requests in flight from this node fill an instance that reports no load.
		f.pool.Sent("1")
	}
	f.sample("1", 0, time.Microsecond)
	assertAlwaysPicked(t, f.countPicks(), "2")
}

// TestFastFailingInstanceIsNotPreferred checks that the low latency of immediate failures
// does not attract requests.
func TestFastFailingInstanceIsNotPreferred(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{})
	for _, id := range []string{"0", "1"} {
		f.sample(id, 0, 20*time.Millisecond)
	}
	f.pool.Sent("0")
	f.pool.Finished("0", sampler.Result{Failed: true, Latency: time.Microsecond})
	f.sample("0", 0, time.Microsecond)
	assertAlwaysPicked(t, f.countPicks(), "1")
}

func TestBaselinePoliciesAndInvalidSettings(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{}, registrar.Spec{State: registrar.StateLeaving})
	f.picker = f.newPicker(t, PolicyRandom)
	assertShare(t, f.countPicks(), "0", 0.5)
	f.picker = f.newPicker(t, PolicyRoundRobin)
	assert.Equal(t, f.countPicks()["0"], picks/2)
	f.picker = f.newPicker(t, PolicyLeastOwn)
	f.pool.Sent("0")
	assertAlwaysPicked(t, f.countPicks(), "1")
	_, err := New(Config{Policy: "best"})
	assert.Assert(t, errors.Is(err, ErrPolicy))
	_, err = New(Config{Candidates: MaxCandidates + 1})
	assert.Assert(t, errors.Is(err, ErrCandidates))
}

// assertAlwaysPicked checks that all choices are the instance with the given id.
func assertAlwaysPicked(t *testing.T, counts map[string]int, id string) {
	t.Helper()
	assert.DeepEqual(t, counts, map[string]int{id: picks})
}

// assertShare checks an instance's share of the choices, to within 0.04.
func assertShare(t *testing.T, counts map[string]int, id string, share float64) {
	t.Helper()
	got := float64(counts[id]) / picks
	assert.Assert(t, got > share-0.04 && got < share+0.04, "%s: %.3f, want %.3f", id, got, share)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 15, 100} {
		b.Run(fmt.Sprint(n, " instances"), func(b *testing.B) {
			f := newFleet(b, make([]registrar.Spec, n)...)
			for _, in := range f.instances {
				f.sample(in.ID(), 1, time.Millisecond)
			}
			f.picker.random = rand.Uint64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					f.picker.Pick(Query{Service: f.service, Instances: f.instances, Now: f.now})
				}
			})
		})
	}
}
