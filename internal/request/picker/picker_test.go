package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const picks = 2000

// fleet is a service's instances with what is known about them.
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

func (f *fleet) sample(id string, inFlight int, latency time.Duration) {
	l := sampler.NewLoad(sampler.LoadSpec{InFlight: inFlight, Limit: 6, Latency: latency, WarmPercent: 100})
	f.pool.Observe(id, 0, l, f.now)
}

// counts returns how often each instance is picked.
func (f *fleet) counts(exclude ...string) map[string]int {
	counts := make(map[string]int)
	for range picks {
		c, ok := f.picker.Pick(Query{Service: f.service, Instances: f.instances, Exclude: exclude, Now: f.now})
		if ok {
			counts[c.Instance().ID()]++
		}
	}
	return counts
}

func TestStates(t *testing.T) {
	states := func(list ...registrar.State) *fleet {
		var specs []registrar.Spec
		for _, s := range list {
			specs = append(specs, registrar.Spec{State: s})
		}
		return newFleet(t, specs...)
	}
	f := states(registrar.StateReady, registrar.StateLeaving, registrar.StateLeft, registrar.StateFailed, registrar.StateSuspect)
	f.sample("1", 0, time.Microsecond) // Even an idle leaving instance gets nothing.
	f.sample("4", 0, time.Microsecond)
	assertOnly(t, f.counts(), "0")
	assertOnly(t, f.counts("0"), "4")
	assert.Equal(t, len(f.counts("0", "4")), 0)
	assert.Equal(t, len(states(registrar.StateLeaving).counts()), 0)
	assert.Equal(t, len(newFleet(t).counts()), 0)
}

func TestLeastExpectedLatency(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{}, registrar.Spec{})
	f.sample("0", 6, time.Millisecond) // Hot.
	f.sample("1", 5, 9*time.Millisecond)
	f.sample("2", 5, 8*time.Millisecond)
	assertOnly(t, f.counts(), "2")
	for _, id := range []string{"1", "2"} {
		f.sample(id, 9, 9*time.Millisecond)
	}
	assertOnly(t, f.counts(), "0") // All hot: the shortest wait.
}

func TestSampleOfAnEarlierIncarnation(t *testing.T) {
	f := newFleet(t, registrar.Spec{Incarnation: 1}, registrar.Spec{})
	f.sample("0", 0, time.Microsecond) // Of incarnation 0.
	f.sample("1", 0, time.Millisecond)
	assertOnly(t, f.counts(), "1")
}

func TestDistance(t *testing.T) {
	f := newFleet(t,
		registrar.Spec{ID: "self"},
		registrar.Spec{ID: "near"},
		registrar.Spec{ID: "far", Region: "sur", FailureDomain: "oax-costa"},
		registrar.Spec{ID: "abroad", Region: "norte", FailureDomain: "x"})
	for _, in := range f.instances {
		f.sample(in.ID(), 0, 4*time.Millisecond)
	}
	assertOnly(t, f.counts(), "self")
	assertOnly(t, f.counts("self"), "near")
	assertOnly(t, f.counts("self", "near"), "far")
	f.sample("far", 12, 4*time.Millisecond)
	assertOnly(t, f.counts("self", "near"), "far") // A short wait beats the other region.
	f.sample("far", 600, 4*time.Millisecond)
	assertOnly(t, f.counts("self", "near"), "abroad")
}

func TestNoFreshSampleIsWeightedBySlots(t *testing.T) {
	f := newFleet(t, registrar.Spec{Slots: 2}, registrar.Spec{Slots: 6}, registrar.Spec{Slots: 6, State: registrar.StateWarming})
	f.sample("0", 0, time.Millisecond)
	f.now = f.now.Add(time.Second)
	counts := f.counts()
	assertShare(t, counts, "0", 2.0/8.6)
	assertShare(t, counts, "1", 6.0/8.6)
	assertShare(t, counts, "2", 0.6/8.6)
}

func TestLyingLoadDoesNotHideWhatThePathSaw(t *testing.T) {
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
	assert.Equal(t, f.counts()["0"], 0)
	for range 6 { // Own requests in flight fill an instance that claims to be idle.
		f.pool.Sent("1")
	}
	f.sample("1", 0, time.Microsecond)
	assertOnly(t, f.counts(), "2")
}

func TestFastFailerIsNotTakenForIdle(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{})
	for _, id := range []string{"0", "1"} {
		f.sample(id, 0, 20*time.Millisecond)
	}
	f.pool.Sent("0")
	f.pool.Finished("0", sampler.Result{Failed: true, Latency: time.Microsecond})
	f.sample("0", 0, time.Microsecond)
	assertOnly(t, f.counts(), "1")
}

func TestPolicies(t *testing.T) {
	f := newFleet(t, registrar.Spec{}, registrar.Spec{}, registrar.Spec{State: registrar.StateLeaving})
	f.picker = f.newPicker(t, PolicyRandom)
	assertShare(t, f.counts(), "0", 0.5)
	f.picker = f.newPicker(t, PolicyRoundRobin)
	assert.Equal(t, f.counts()["0"], picks/2)
	f.picker = f.newPicker(t, PolicyLeastOwn)
	f.pool.Sent("0")
	assertOnly(t, f.counts(), "1")
	_, err := New(Config{Policy: "best"})
	assert.Assert(t, errors.Is(err, ErrPolicy))
	_, err = New(Config{Candidates: MaxCandidates + 1})
	assert.Assert(t, errors.Is(err, ErrCandidates))
}

func assertOnly(t *testing.T, counts map[string]int, id string) {
	t.Helper()
	assert.DeepEqual(t, counts, map[string]int{id: picks})
}

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
