package picker_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/banyanscale/banyanscale/internal/process/prober"
	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

var (
	// compare names the table to print instead of checking one trial.
	compare = flag.String("compare", "", "print a comparison: policies, candidates, age, budget or seeds")
	entries = flag.Int("entries", 12, "number of entry nodes in a comparison")
)

const (
	meanService = 10 * time.Millisecond
	oneWay      = time.Millisecond
	length      = 10 * time.Second
	faultAt     = 2 * time.Second
)

// trial is one run of open-loop load on the real parts in fake time: requests
// reach random entry nodes, of which the first ones are the targets.
type trial struct {
	policy                          string
	candidates                      int
	entries, targets, slots, probes int
	fault                           string
	load                            float64 // Share of the capacity.
	maxAge                          time.Duration
	// health is what the endpoint of a target says; nil for no endpoints.
	health func(target int, at time.Duration) bool
	seed   uint64
	*results
}

// results are what a trial measured.
type results struct {
	mu                               sync.Mutex // Guards all below.
	latencies                        []time.Duration
	failed, refused, requests, asked int
	sent                             [16]int         // Attempts by target.
	afterFault                       int             // Attempts at target 0 after the fault.
	early                            []time.Duration // Of requests in the second after the fault.
}

type node struct {
	pool   *sampler.Pool
	picker *picker.Picker
	prober *prober.Prober
	own    *admitter.Admitter
}

type network func(to netip.AddrPort, payload []byte) error

func (n network) Send(to netip.AddrPort, payload []byte) error { return n(to, payload) }

// lockedRandom returns a generator for several goroutines.
func lockedRandom(seed uint64) func() uint64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
}

// slowness returns the factor of a target's service time at a time of the run.
func (tr trial) slowness(target int, at time.Duration) float64 {
	switch {
	case tr.fault == "noisy" && rand.New(rand.NewPCG(uint64(target), uint64(at/(20*time.Millisecond)))).Float64() < 0.1:
		return 4
	case tr.fault == "straggler" && target == 0 && at > faultAt:
		return 8
	case tr.fault == "cold" && target == 0:
		return 1 + 5*max(0, 1-at.Seconds()/3)
	}
	return 1
}

func (tr trial) run(t *testing.T) {
	spec := compiler.DefaultServiceSpec("s")
	spec.ProbeMessages, spec.ProbeBytes, spec.SampleMaxAge = tr.probes, tr.probes*100, tr.maxAge
	service := compiler.NewService(spec)
	source := publisher.New()
	source.SetConfiguration(compiler.NewConfiguration(1, "site", []*compiler.Service{service}))
	begin := time.Now()
	nodes := make([]*node, tr.entries)
	var instances []*registrar.Instance
	for i := range nodes {
		id, domain := fmt.Sprint(i), fmt.Sprint("domain-", i%3)
		n := &node{pool: sampler.New(sampler.Config{})}
		nodes[i] = n
		p, err := picker.New(picker.Config{Pool: n.pool, Self: id, FailureDomain: domain, Policy: tr.policy, Candidates: tr.candidates, Random: lockedRandom(uint64(i))})
		assert.NilError(t, err)
		n.picker = p
		here := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		cfg := prober.Config{Pool: n.pool, Source: source, Self: id, Messages: 1000, Bytes: 1 << 20, AnswerMessages: 1000, AnswerBytes: 1 << 20, Random: rand.New(rand.NewPCG(uint64(i), 2))}
		if i < tr.targets {
			settings, state := admitter.Config{Slots: tr.slots, Connections: 240, QueueLength: spec.QueueLength}, registrar.StateReady
			if tr.fault == "cold" && i == 0 {
				settings.ColdStart, state = spec.ColdStart, registrar.StateWarming
			}
			n.own = admitter.New(settings)
			cfg.Own = n.own
			instances = append(instances, registrar.NewInstance(registrar.Spec{ID: id, Service: "s", State: state, FailureDomain: domain, Slots: tr.slots, Peer: here}))
		}
		cfg.Transport = network(func(to netip.AddrPort, payload []byte) error {
			tr.count(begin)
			time.AfterFunc(oneWay, func() {
				answer := nodes[to.Addr().As4()[3]].prober.HandleProbe(here, payload)
				time.AfterFunc(oneWay, func() { n.prober.HandleAnswer(to, answer, time.Now()) })
			})
			return nil
		})
		n.prober = prober.New(cfg)
	}
	source.SetView(registrar.NewView(instances))
	dying := make(chan struct{})
	for _, n := range nodes {
		go func() { _ = n.prober.Run(dying) }()
	}
	go tr.read(nodes, begin)
	r := rand.New(rand.NewPCG(1+tr.seed, 1))
	rate := tr.load * float64(tr.targets*tr.slots) / float64(meanService)
	for time.Since(begin) < length {
		time.Sleep(time.Duration(r.ExpFloat64() / rate))
		go tr.request(nodes, r.IntN(len(nodes)), picker.Query{Service: service, Instances: instances}, begin, r.Uint64())
	}
	time.Sleep(10 * time.Second)
	close(dying)
	synctest.Wait()
	slices.Sort(tr.latencies)
	slices.Sort(tr.early)
}

// read reads the health endpoints of the targets.
func (tr trial) read(nodes []*node, begin time.Time) {
	for tr.health != nil && time.Since(begin) < length {
		for i := range tr.targets {
			nodes[i].own.Hint(tr.health(i, time.Since(begin)))
		}
		time.Sleep(time.Second)
	}
}

// fails reports whether target 0 fails all requests at a time of the run.
func (tr trial) fails(at time.Duration) bool {
	return at > faultAt && (tr.fault == "fast-failer" || tr.fault == "outage" && at < 2*faultAt)
}

// count counts a probe.
func (tr trial) count(begin time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if time.Since(begin) < length {
		tr.asked++
	}
}

// request runs one request: up to three attempts, of which only one runs.
func (tr trial) request(nodes []*node, entry int, q picker.Query, begin time.Time, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	arrived := time.Now()
	deadline := arrived.Add(2 * time.Second)
	ran, failed := false, false
	for range 3 {
		q.Now = time.Now()
		if n := nodes[entry]; n.own != nil {
			n.pool.Observe(fmt.Sprint(entry), 0, n.own.Load(), q.Now)
		}
		choice, ok := nodes[entry].picker.Pick(q)
		if !ok {
			break
		}
		q.Exclude = append(q.Exclude, choice.Instance().ID())
		if ran, failed = tr.attempt(nodes, entry, choice.Instance(), deadline, begin, r); ran {
			break
		}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.requests++
	switch {
	case !ran:
		tr.refused++
	case failed:
		tr.failed++
	default:
		tr.latencies = append(tr.latencies, time.Since(arrived))
		if at := arrived.Sub(begin); at > faultAt && at < faultAt+time.Second {
			tr.early = append(tr.early, time.Since(arrived))
		}
	}
}

func (tr trial) attempt(nodes []*node, entry int, in *registrar.Instance, deadline, begin time.Time, r *rand.Rand) (ran, failed bool) {
	var i int
	_, _ = fmt.Sscan(in.ID(), &i)
	way := oneWay
	switch {
	case i == entry:
		way = 0
	case i%3 == entry%3:
		way = oneWay / 10
	}
	pool, own := nodes[entry].pool, nodes[i].own
	pool.Sent(in.ID())
	tr.mu.Lock()
	tr.sent[i]++
	if i == 0 && time.Since(begin) > faultAt {
		tr.afterFault++
	}
	tr.mu.Unlock()
	sent := time.Now()
	time.Sleep(way)
	permit, err := own.Admit(context.Background(), admitter.Work{Priority: compiler.PriorityNormal, Deadline: deadline})
	if err == nil {
		took := time.Duration(math.Exp(0.6*r.NormFloat64()-0.18) * float64(meanService) * tr.slowness(i, time.Since(begin)))
		if failed = i == 0 && tr.fails(time.Since(begin)); failed {
			took = 200 * time.Microsecond
		}
		time.Sleep(took)
		permit.Done(admitter.Result{Latency: took, Failed: failed})
	}
	load := own.Load()
	time.Sleep(way)
	pool.Observe(in.ID(), in.Incarnation(), load, time.Now())
	pool.Finished(in.ID(), sampler.Result{Latency: time.Since(sent), Failed: failed, Refused: err != nil})
	return err == nil, failed
}

func (tr trial) at(percentile float64) time.Duration { return at(tr.latencies, percentile) }

// at returns a percentile of sorted latencies.
func at(latencies []time.Duration, percentile float64) time.Duration {
	return latencies[int(percentile/100*float64(len(latencies)-1))].Round(100 * time.Microsecond)
}

func (tr trial) measure(t *testing.T) trial {
	tr.results = &results{}
	synctest.Test(t, tr.run)
	return tr
}

func (tr trial) print(t *testing.T) {
	tr = tr.measure(t)
	share := func(n int) float64 { return 100 * float64(n) / float64(tr.requests) }
	t.Logf("%d targets, %d slots, %-11s load %.1f %-22s d=%d age %5v probes %3d: p50 %7v p99 %8v p99.9 %8v, in the second after the fault %8v %8v, failed %5.2f %% refused %5.2f %%, %.1f probes/s a node",
		tr.targets, tr.slots, tr.fault, tr.load, tr.policy, tr.candidates, tr.maxAge, tr.probes,
		tr.at(50), tr.at(99), tr.at(99.9), at(tr.early, 99), at(tr.early, 99.9), share(tr.failed), share(tr.refused), float64(tr.asked)/length.Seconds()/float64(tr.entries))
}

// with returns copies of a trial, each with one change.
func with[T any](tr trial, set func(*trial, T), values ...T) []trial {
	var list []trial
	for _, v := range values {
		set(&tr, v)
		list = append(list, tr)
	}
	return list
}

// variants returns the trials of one table for a size and a fault.
func variants(table string, tr trial) []trial {
	switch table {
	case "policies":
		return with(tr, func(tr *trial, v string) { tr.policy = v },
			picker.PolicyLeastExpectedLatency, picker.PolicyRandom, picker.PolicyRoundRobin, picker.PolicyLeastOwn)
	case "candidates":
		return with(tr, func(tr *trial, v int) { tr.candidates = v }, 1, 2, 3, 4, 6)
	case "age":
		return with(tr, func(tr *trial, v time.Duration) { tr.maxAge = v * time.Millisecond }, 10, 30, 100, 300, 1000)
	case "budget":
		return with(tr, func(tr *trial, v int) { tr.probes = v }, 0, 2, 5, 10, 20, 50, 100)
	case "seeds":
		return with(tr, func(tr *trial, v uint64) { tr.seed = v }, 0, 1, 2, 3, 4, 5)
	default:
		return nil
	}
}

// usual is the trial that others differ from.
func usual() trial {
	return trial{policy: picker.PolicyLeastExpectedLatency, candidates: picker.DefaultCandidates, entries: 12, targets: 6, slots: 6,
		probes: 20, fault: "straggler", load: 0.6, maxAge: 100 * time.Millisecond}
}

// share tells how much of its even share of the requests target 0 was sent.
func (tr trial) share() string {
	total := 0
	for _, n := range tr.sent {
		total += n
	}
	switch share := float64(tr.sent[0]*tr.targets) / float64(total); {
	case share > 0.9:
		return "its even share"
	case share > 0.5:
		return "most of its share"
	case share < 0.3:
		return "little"
	default:
		return "half of its share"
	}
}

// TestLyingEndpoint runs the faults of a health endpoint at target 0.
func TestLyingEndpoint(t *testing.T) {
	healthy := func(int, time.Duration) bool { return true }
	unhealthy := func(target int, _ time.Duration) bool { return target != 0 }
	allUnhealthy := func(int, time.Duration) bool { return false }
	late := func(target int, at time.Duration) bool {
		return target != 0 || at < faultAt+3*time.Second || at > 2*faultAt+3*time.Second
	}
	var rows strings.Builder
	for _, row := range []struct {
		endpoint, upstream, fault string
		health                    func(int, time.Duration) bool
		load                      float64
	}{
		{"none", "sound, busy", "none", nil, 0.6},
		{"says unhealthy, falsely", "sound, busy", "none", unhealthy, 0.6},
		{"none", "sound, hardly used", "none", nil, 0.002},
		{"says unhealthy", "sound, hardly used", "none", unhealthy, 0.002},
		{"all say unhealthy", "sound, hardly used", "none", allUnhealthy, 0.002},
		{"none", "fails all from 2 s on", "fast-failer", nil, 0.6},
		{"says healthy, falsely", "fails all from 2 s on", "fast-failer", healthy, 0.6},
		{"none", "fails all from 2 s to 4 s", "outage", nil, 0.6},
		{"tells of it 3 s late", "fails all from 2 s to 4 s", "outage", late, 0.6},
	} {
		tr := usual()
		tr.fault, tr.health, tr.load = row.fault, row.health, row.load
		tr = tr.measure(t)
		assert.Equal(t, tr.refused, 0)
		fmt.Fprintf(&rows, "| %s | %s | %s | %s |\n", row.endpoint, row.upstream, tr.share(), atMost(tr.failed, tr.requests))
		t.Logf("%s, %s: %v, failed %d of %d", row.endpoint, row.upstream, tr.sent[:tr.targets], tr.failed, tr.requests)
	}
	golden.Assert(t, rows.String(), "endpoints.golden")
}

// atMost returns a bound for a share.
func atMost(n, of int) string {
	switch {
	case n == 0:
		return "none"
	case 200*n < of:
		return "less than 0.5 %"
	default:
		return "0.5 % or more"
	}
}

func TestCompare(t *testing.T) {
	usual := usual()
	if *compare == "" {
		random, sound := usual, usual
		random.policy, sound.fault = picker.PolicyRandom, "none"
		best, worst, usually := usual.measure(t), random.measure(t), sound.measure(t)
		assert.Assert(t, 10*best.afterFault < worst.afterFault, "%d, random %d", best.afterFault, worst.afterFault)
		assert.Assert(t, best.at(99) < 2*usually.at(99), "%v, without a straggler %v", best.at(99), usually.at(99))
		assert.Assert(t, 2*best.at(99) < worst.at(99), "%v, random %v", best.at(99), worst.at(99))
		return
	}
	usual.entries = *entries
	for _, size := range [][2]int{{6, 6}, {3, 6}, {4, 9}, {3, 9}} {
		usual.targets, usual.slots = size[0], size[1]
		for _, usual.fault = range []string{"none", "noisy", "straggler", "fast-failer", "cold"} {
			for _, tr := range variants(*compare, usual) {
				tr.print(t)
			}
		}
	}
}
