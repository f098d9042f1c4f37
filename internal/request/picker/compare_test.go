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

	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/prober"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

var (
	// compare names the table to print; if it is empty, TestCompare checks three trials.
	compare = flag.String("compare", "", "print a comparison: policies, candidates, age, budget or seeds")
	entries = flag.Int("entries", 12, "number of entry nodes in a comparison")
)

const (
	meanServiceTime = 10 * time.Millisecond
	oneWayDelay     = time.Millisecond
	runTime         = 10 * time.Second
	faultAt         = 2 * time.Second
)

// trial is one run of open-loop load on real pickers, probers and admitters in fake time.
// Requests arrive at random entry nodes; the first nodes also serve as targets.
type trial struct {
	policy     string
	candidates int
	// entries and targets are numbers of nodes, slots is the number of slots of each
	// target, and probes the budget of load probes per second of each node.
	entries, targets, slots, probes int
	fault                           string  // One of those in slowdownFactor and targetFails; "none" for none.
	load                            float64 // Share of the capacity.
	maxAge                          time.Duration
	// health returns what the health endpoint of a target reports; nil for no endpoints.
	health func(target int, at time.Duration) bool
	seed   uint64
	*results
}

// results holds the measurements of a trial.
type results struct {
	mu                                    sync.Mutex // Protects the fields below.
	latencies                             []time.Duration
	failed, refused, requests, probesSent int
	attempts                              [16]int         // By target.
	attemptsAfterFault                    int             // At target 0.
	latenciesAfterFault                   []time.Duration // Of requests that arrived up to a second after the fault.
}

// node is an entry node. Its admitter is nil if it is not a target.
type node struct {
	pool     *sampler.Pool
	picker   *picker.Picker
	prober   *prober.Prober
	admitter *admitter.Admitter
}

// network implements prober.Transport.
type network func(to netip.AddrPort, payload []byte) error

func (n network) Send(to netip.AddrPort, payload []byte) error { return n(to, payload) }

// newLockedRandom returns a seeded generator that is safe for concurrent use.
func newLockedRandom(seed uint64) func() uint64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
}

// slowdownFactor returns the factor by which a target's service time is longer at the given
// time of the run.
func (tr trial) slowdownFactor(target int, at time.Duration) float64 {
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

// run sends the load and waits until all requests have ended. It must run in a synctest
// bubble.
func (tr trial) run(t *testing.T) {
	spec := compiler.DefaultServiceSpec("s")
	spec.ProbeMessages, spec.ProbeBytes, spec.SampleMaxAge = tr.probes, tr.probes*100, tr.maxAge
	service := compiler.NewService(spec)
	source := publisher.New()
	source.SetConfiguration(compiler.NewConfiguration(1, "site", []*compiler.Service{service}))
	start := time.Now()
	nodes := make([]*node, tr.entries)
	var instances []*registrar.Instance
	for i := range nodes {
		id, domain := fmt.Sprint(i), fmt.Sprint("domain-", i%3)
		n := &node{pool: sampler.New(sampler.Config{})}
		nodes[i] = n
		p, err := picker.New(picker.Config{Pool: n.pool, Self: id, FailureDomain: domain, Policy: tr.policy, Candidates: tr.candidates, Random: newLockedRandom(uint64(i))})
		assert.NilError(t, err)
		n.picker = p
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		cfg := prober.Config{Pool: n.pool, Source: source, Self: id, Messages: 1000, Bytes: 1 << 20, ResponseMessages: 1000, ResponseBytes: 1 << 20, Random: rand.New(rand.NewPCG(uint64(i), 2))}
		if i < tr.targets {
			admitterCfg, state := admitter.Config{Slots: tr.slots, Connections: 240, QueueLength: spec.QueueLength}, registrar.StateReady
			if tr.fault == "cold" && i == 0 {
				admitterCfg.ColdStart, state = spec.ColdStart, registrar.StateWarming
			}
			n.admitter = admitter.New(admitterCfg)
			cfg.OwnLoad = n.admitter
			instances = append(instances, registrar.NewInstance(registrar.Spec{ID: id, Service: "s", State: state, FailureDomain: domain, Slots: tr.slots, Peer: address}))
		}
		cfg.Transport = network(func(to netip.AddrPort, payload []byte) error {
			tr.countProbe(start)
			time.AfterFunc(oneWayDelay, func() {
				response := nodes[to.Addr().As4()[3]].prober.HandleProbe(address, payload)
				time.AfterFunc(oneWayDelay, func() { n.prober.HandleResponse(to, response, time.Now()) })
			})
			return nil
		})
		n.prober = prober.New(cfg)
	}
	source.SetView(registrar.NewView(instances))
	stop := make(chan struct{})
	for _, n := range nodes {
		go func() { _ = n.prober.Run(stop) }()
	}
	go tr.pollHealth(nodes, start)
	r := rand.New(rand.NewPCG(1+tr.seed, 1))
	rate := tr.load * float64(tr.targets*tr.slots) / float64(meanServiceTime)
	for time.Since(start) < runTime {
		time.Sleep(time.Duration(r.ExpFloat64() / rate))
		go tr.request(nodes, r.IntN(len(nodes)), picker.Query{Service: service, Instances: instances}, start, r.Uint64())
	}
	time.Sleep(10 * time.Second)
	close(stop)
	synctest.Wait()
	slices.Sort(tr.latencies)
	slices.Sort(tr.latenciesAfterFault)
}

// pollHealth reads the health endpoint of each target once a second.
func (tr trial) pollHealth(nodes []*node, start time.Time) {
	for tr.health != nil && time.Since(start) < runTime {
		for i := range tr.targets {
			nodes[i].admitter.ObserveHealth(tr.health(i, time.Since(start)))
		}
		time.Sleep(time.Second)
	}
}

// targetFails reports whether target 0 fails all requests at the given time of the run.
func (tr trial) targetFails(at time.Duration) bool {
	return at > faultAt && (tr.fault == "fast-failer" || tr.fault == "outage" && at < 2*faultAt)
}

// countProbe counts a probe, unless the load has ended.
func (tr trial) countProbe(start time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if time.Since(start) < runTime {
		tr.probesSent++
	}
}

// request sends one request: up to three attempts, until a target executes it.
func (tr trial) request(nodes []*node, entry int, q picker.Query, start time.Time, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	arrived := time.Now()
	deadline := arrived.Add(2 * time.Second)
	ran, failed := false, false
	for range 3 {
		q.Now = time.Now()
		if n := nodes[entry]; n.admitter != nil {
			n.pool.Observe(fmt.Sprint(entry), 0, n.admitter.Load(), q.Now)
		}
		choice, ok := nodes[entry].picker.Pick(q)
		if !ok {
			break
		}
		q.Exclude = append(q.Exclude, choice.Instance().ID())
		if ran, failed = tr.attempt(nodes, entry, choice.Instance(), deadline, start, r); ran {
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
		if at := arrived.Sub(start); at > faultAt && at < faultAt+time.Second {
			tr.latenciesAfterFault = append(tr.latenciesAfterFault, time.Since(arrived))
		}
	}
}

// attempt sends a request to a target. It reports whether the target executed it, and
// whether that failed.
func (tr trial) attempt(nodes []*node, entry int, in *registrar.Instance, deadline, start time.Time, r *rand.Rand) (ran, failed bool) {
	var i int
	_, _ = fmt.Sscan(in.ID(), &i)
	delay := oneWayDelay
	switch {
	case i == entry:
		delay = 0
	case i%3 == entry%3:
		delay = oneWayDelay / 10
	}
	pool, server := nodes[entry].pool, nodes[i].admitter
	pool.Sent(in.ID())
	tr.mu.Lock()
	tr.attempts[i]++
	if i == 0 && time.Since(start) > faultAt {
		tr.attemptsAfterFault++
	}
	tr.mu.Unlock()
	sent := time.Now()
	time.Sleep(delay)
	permit, err := server.Admit(context.Background(), admitter.Request{Priority: compiler.PriorityNormal, Deadline: deadline})
	if err == nil {
		serviceTime := time.Duration(math.Exp(0.6*r.NormFloat64()-0.18) * float64(meanServiceTime) * tr.slowdownFactor(i, time.Since(start)))
		if failed = i == 0 && tr.targetFails(time.Since(start)); failed {
			serviceTime = 200 * time.Microsecond
		}
		time.Sleep(serviceTime)
		permit.Done(admitter.Result{Latency: serviceTime, Failed: failed})
	}
	load := server.Load()
	time.Sleep(delay)
	pool.Observe(in.ID(), in.Incarnation(), load, time.Now())
	pool.Finished(in.ID(), sampler.Result{Latency: time.Since(sent), Failed: failed, Refused: err != nil})
	return err == nil, failed
}

// latencyPercentile returns a percentile of the latencies of all successful requests.
func (tr trial) latencyPercentile(percentile float64) time.Duration {
	return percentileOf(tr.latencies, percentile)
}

// percentileOf returns a percentile of sorted latencies.
func percentileOf(latencies []time.Duration, percentile float64) time.Duration {
	return latencies[int(percentile/100*float64(len(latencies)-1))].Round(100 * time.Microsecond)
}

// measure runs the trial in fake time and returns it with its results.
func (tr trial) measure(t *testing.T) trial {
	tr.results = &results{}
	synctest.Test(t, tr.run)
	return tr
}

// logRow runs the trial and logs its results as one row of a comparison.
func (tr trial) logRow(t *testing.T) {
	tr = tr.measure(t)
	percent := func(n int) float64 { return 100 * float64(n) / float64(tr.requests) }
	t.Logf("%d targets, %d slots, %-11s load %.1f %-22s d=%d age %5v probes %3d: p50 %7v p99 %8v p99.9 %8v, in the second after the fault %8v %8v, failed %5.2f %% refused %5.2f %%, %.1f probes/s a node",
		tr.targets, tr.slots, tr.fault, tr.load, tr.policy, tr.candidates, tr.maxAge, tr.probes,
		tr.latencyPercentile(50), tr.latencyPercentile(99), tr.latencyPercentile(99.9), percentileOf(tr.latenciesAfterFault, 99), percentileOf(tr.latenciesAfterFault, 99.9), percent(tr.failed), percent(tr.refused), float64(tr.probesSent)/runTime.Seconds()/float64(tr.entries))
}

// with returns copies of a trial, one for each value, which set applies.
func with[T any](tr trial, set func(*trial, T), values ...T) []trial {
	var list []trial
	for _, v := range values {
		set(&tr, v)
		list = append(list, tr)
	}
	return list
}

// variants returns the trials of one table: copies of tr, each with another policy, number
// of candidates, age, budget or seed.
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

// defaultTrial returns the trial that the others are derived from.
func defaultTrial() trial {
	return trial{policy: picker.PolicyLeastExpectedLatency, candidates: picker.DefaultCandidates, entries: 12, targets: 6, slots: 6,
		probes: 20, fault: "straggler", load: 0.6, maxAge: 100 * time.Millisecond}
}

// describeShare describes the attempts at target 0, relative to an even share of all.
func (tr trial) describeShare() string {
	total := 0
	for _, n := range tr.attempts {
		total += n
	}
	switch share := float64(tr.attempts[0]*tr.targets) / float64(total); {
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

// TestLyingEndpoint compares health endpoints of target 0 that report the wrong state, or
// the right one late, with none. A busy healthy target keeps its share of the requests
// although it is reported as unhealthy, and a failing one is avoided although it is reported
// as healthy.
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
		{"none", "healthy, busy", "none", nil, 0.6},
		{"reports unhealthy, wrongly", "healthy, busy", "none", unhealthy, 0.6},
		{"none", "healthy, nearly idle", "none", nil, 0.002},
		{"reports unhealthy", "healthy, nearly idle", "none", unhealthy, 0.002},
		{"all report unhealthy", "healthy, nearly idle", "none", allUnhealthy, 0.002},
		{"none", "fails all requests from 2 s on", "fast-failer", nil, 0.6},
		{"reports healthy, wrongly", "fails all requests from 2 s on", "fast-failer", healthy, 0.6},
		{"none", "fails all requests from 2 s to 4 s", "outage", nil, 0.6},
		{"reports it 3 s late", "fails all requests from 2 s to 4 s", "outage", late, 0.6},
	} {
		tr := defaultTrial()
		tr.fault, tr.health, tr.load = row.fault, row.health, row.load
		tr = tr.measure(t)
		assert.Equal(t, tr.refused, 0)
		fmt.Fprintf(&rows, "| %s | %s | %s | %s |\n", row.endpoint, row.upstream, tr.describeShare(), describeBound(tr.failed, tr.requests))
		t.Logf("%s, %s: %v, failed %d of %d", row.endpoint, row.upstream, tr.attempts[:tr.targets], tr.failed, tr.requests)
	}
	golden.Assert(t, rows.String(), "endpoints.golden")
}

// describeBound returns an upper bound for the share n/total, in words.
func describeBound(n, total int) string {
	switch {
	case n == 0:
		return "none"
	case 200*n < total:
		return "less than 0.5 %"
	default:
		return "0.5 % or more"
	}
}

// TestCompare checks that least-expected-latency avoids a straggler. The straggler receives
// less than a tenth of the attempts that a random choice sends it, and the p99 latency is
// less than half of that of a random choice and less than twice that without a straggler.
// With -compare the test prints a table instead.
func TestCompare(t *testing.T) {
	base := defaultTrial()
	if *compare == "" {
		random, noFault := base, base
		random.policy, noFault.fault = picker.PolicyRandom, "none"
		leastLatency, randomChoice, withoutStraggler := base.measure(t), random.measure(t), noFault.measure(t)
		assert.Assert(t, 10*leastLatency.attemptsAfterFault < randomChoice.attemptsAfterFault, "%d, random %d", leastLatency.attemptsAfterFault, randomChoice.attemptsAfterFault)
		assert.Assert(t, leastLatency.latencyPercentile(99) < 2*withoutStraggler.latencyPercentile(99), "%v, without a straggler %v", leastLatency.latencyPercentile(99), withoutStraggler.latencyPercentile(99))
		assert.Assert(t, 2*leastLatency.latencyPercentile(99) < randomChoice.latencyPercentile(99), "%v, random %v", leastLatency.latencyPercentile(99), randomChoice.latencyPercentile(99))
		return
	}
	base.entries = *entries
	for _, size := range [][2]int{{6, 6}, {3, 6}, {4, 9}, {3, 9}} {
		base.targets, base.slots = size[0], size[1]
		for _, base.fault = range []string{"none", "noisy", "straggler", "fast-failer", "cold"} {
			for _, tr := range variants(*compare, base) {
				tr.logRow(t)
			}
		}
	}
}
