package coldlimiter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/coldlimiter"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	domains, instancesPerDomain = 3, 4
	slots                       = 6
	work                        = 100 * time.Millisecond
	// warmRate is the capacity of a warm instance, and coldRate what a cold one bears, in
	// requests a second. A cold one takes coldFactor times as long for coldStart, and crashes
	// beyond crashCount requests in a second.
	warmRate      = slots * float64(time.Second) / float64(work)
	coldRate      = 11.0
	coldFactor    = 2
	coldStart     = 3 * time.Second
	crashCount    = 1.5*coldRate + 8
	networkDelay  = time.Millisecond
	retryInterval = 300 * time.Millisecond // Of reads of health.
	maxAttempts   = 4
	runSeconds    = 14
)

// instance is a node with its upstream.
type instance struct {
	*registrar.Instance
	pool   *sampler.Pool // As an entry node.
	picker *picker.Picker

	mu          sync.Mutex // Guards the fields below.
	admitter    *admitter.Admitter
	limiter     *coldlimiter.Limiter
	down        bool
	coldUntil   time.Time
	frozenUntil time.Time   // The node.
	coldStarts  []time.Time // Of the requests that the cold upstream got within a second.
	servedCold  int
	crashes     int
}

// fleet is a service under a constant load. It counts what callers get.
type fleet struct {
	instances []*instance
	service   *compiler.Service
	begin     time.Time

	mu     sync.Mutex
	sent   [runSeconds + 1]int // By the second of arrival.
	served [runSeconds + 1]int
}

// runFleet plays a fault on a fleet under a load, given as a share of its capacity.
func runFleet(t *testing.T, load float64, fault func(f *fleet)) *fleet {
	t.Helper()
	f := &fleet{service: compiler.NewService(compiler.DefaultServiceSpec("s"))}
	synctest.Test(t, func(t *testing.T) {
		f.start(t)
		ctx, cancel := context.WithCancel(context.Background())
		for _, in := range f.instances {
			go in.readHealth(ctx)
		}
		time.Sleep(time.Second)
		f.begin = time.Now()
		go fault(f)
		random := rand.New(rand.NewPCG(1, 1))
		rate := load * warmRate * float64(len(f.instances))
		for time.Since(f.begin) < runSeconds*time.Second {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			go f.request(f.instances[random.IntN(len(f.instances))])
		}
		time.Sleep(10 * time.Second)
		cancel()
		time.Sleep(time.Second) // Until all reads have ended.
	})
	for _, in := range f.instances {
		assert.Equal(t, in.crashes, 0, "instance %s", in.ID())
	}
	t.Logf("sent %v, served %v", f.sent, f.served)
	return f
}

func (f *fleet) start(t *testing.T) {
	t.Helper()
	for i := range domains * instancesPerDomain {
		id, domain := fmt.Sprint(i), fmt.Sprint("domain-", i%domains)
		in := &instance{
			Instance: registrar.NewInstance(registrar.Spec{ID: id, Service: "s", State: registrar.StateReady, FailureDomain: domain, Slots: slots}),
			pool:     sampler.New(sampler.Config{}),
		}
		var err error
		random, mu := rand.New(rand.NewPCG(uint64(i), 1)), sync.Mutex{}
		in.picker, err = picker.New(picker.Config{
			Pool: in.pool, Self: id, FailureDomain: domain, Policy: picker.PolicyLeastExpectedFinish, Refresher: refresher{f, in.pool},
			Random: func() uint64 {
				mu.Lock()
				defer mu.Unlock()
				return random.Uint64()
			},
		})
		assert.NilError(t, err)
		in.startNode()
		f.instances = append(f.instances, in)
	}
}

// startNode starts the node's process.
func (in *instance) startNode() {
	limiter := coldlimiter.New(coldlimiter.Config{Stating: true, Scope: tally.NoopScope, Log: zerolog.Nop()})
	limiter.Configure(coldRate, coldStart)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.limiter = limiter
	in.admitter = admitter.New(admitter.Config{
		Slots: slots, Connections: 240, QueueLength: 32, LimitIgnoresLatency: true, ColdLimiter: limiter,
		Slowdown: func(now time.Time) sampler.Slowdown {
			return sampler.Slowdown{SlownessPercent: int(100 * in.slowness(now))}
		},
	})
}

// node returns the parts of the node's process.
func (in *instance) node() (*admitter.Admitter, *coldlimiter.Limiter) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.admitter, in.limiter
}

// slowness returns the factor by which work takes longer.
func (in *instance) slowness(now time.Time) float64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	if now.Before(in.coldUntil) {
		return coldFactor
	}
	return 1
}

// readHealth reads the upstream's health when it is requested.
func (in *instance) readHealth(ctx context.Context) {
	for ctx.Err() == nil {
		in.waitForNode()
		_, limiter := in.node()
		sentAt := time.Now()
		time.Sleep(networkDelay)
		in.mu.Lock()
		down, remaining := in.down, max(time.Until(in.coldUntil), 0)
		in.mu.Unlock()
		if !down {
			limiter.ObserveResponse(coldlimiter.Response{Remaining: remaining, SentAt: sentAt})
		}
		select {
		case <-limiter.Requests():
		case <-time.After(retryInterval): // The node may be another process.
		}
	}
}

// waitForNode waits while the node is frozen.
func (in *instance) waitForNode() {
	in.mu.Lock()
	wait := time.Until(in.frozenUntil)
	in.mu.Unlock()
	time.Sleep(wait)
}

// returnCold brings the upstream back, or makes it cold while it runs.
func (in *instance) returnCold() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.down = false
	in.coldUntil = time.Now().Add(coldStart)
	in.coldStarts = nil
}

// stop ends the upstream.
func (in *instance) stop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.down = true
}

// restart ends the upstream, and starts another one after a while.
func (in *instance) restart(after time.Duration) {
	in.stop()
	time.Sleep(after)
	in.returnCold()
	_, limiter := in.node()
	limiter.Replace()
}

// run runs a request on the upstream. It reports whether the upstream was there.
func (in *instance) run() bool {
	now := time.Now()
	factor := in.slowness(now)
	in.mu.Lock()
	if in.down {
		in.mu.Unlock()
		return false
	}
	if factor > 1 {
		in.coldStarts = append(in.coldStarts, now)
		for now.Sub(in.coldStarts[0]) >= time.Second {
			in.coldStarts = in.coldStarts[1:]
		}
		if float64(len(in.coldStarts)) > crashCount {
			in.crashes++
		}
		in.servedCold++
	}
	in.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(work)))
	return true
}

// refresher reads the load of instances for the picker of one entry node.
type refresher struct {
	fleet *fleet
	pool  *sampler.Pool
}

// Refresh implements picker.Refresher.
func (r refresher) Refresh(_ *compiler.ServiceSpec, instances []*registrar.Instance, timeout time.Duration) {
	time.Sleep(min(2*networkDelay, timeout))
	for _, in := range instances {
		r.fleet.observeLoad(in.ID(), r.pool)
	}
}

// observeLoad records the load that a node reports in the pool of another. A frozen one
// reports nothing.
func (f *fleet) observeLoad(id string, pool *sampler.Pool) {
	in := f.instance(id)
	in.mu.Lock()
	silent := time.Now().Before(in.frozenUntil)
	in.mu.Unlock()
	if a, _ := in.node(); !silent {
		pool.Observe(id, 0, a.Load(), time.Now())
	}
}

func (f *fleet) instance(id string) *instance {
	var i int
	_, _ = fmt.Sscan(id, &i)
	return f.instances[i]
}

// routable returns the instances whose upstreams are up.
func (f *fleet) routable() []*registrar.Instance {
	var up []*registrar.Instance
	for _, in := range f.instances {
		in.mu.Lock()
		if !in.down {
			up = append(up, in.Instance)
		}
		in.mu.Unlock()
	}
	return up
}

// request sends one request of a caller, with up to maxAttempts attempts that have not run.
func (f *fleet) request(entry *instance) {
	second := int(time.Since(f.begin) / time.Second)
	deadline := time.Now().Add(2 * time.Second)
	entry.waitForNode()
	served := false
	q := picker.Query{Service: f.service, Instances: f.routable(), ExpectedWork: work, TimeToGoal: 4 * work}
	for range maxAttempts {
		f.observeLoad(entry.ID(), entry.pool)
		q.Now = time.Now()
		choice, ok := entry.picker.Pick(q)
		if !ok {
			break
		}
		q.Exclude = append(q.Exclude, choice.Instance().ID())
		if served = f.attempt(entry, choice.Instance().ID(), deadline); served || time.Now().After(deadline) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[second]++
	if served && time.Now().Before(deadline) {
		f.served[second]++
	}
}

// attempt sends a request to an instance, and reports whether that ran it.
func (f *fleet) attempt(entry *instance, id string, deadline time.Time) bool {
	in := f.instance(id)
	entry.pool.Sent(id)
	time.Sleep(networkDelay)
	in.waitForNode()
	a, _ := in.node()
	sentAt := time.Now()
	permit, err := a.Admit(context.Background(), admitter.Request{Priority: compiler.PriorityNormal, Deadline: deadline, ExpectedWork: work})
	if err == nil {
		ran := in.run()
		permit.Done(admitter.Result{Latency: time.Since(sentAt), Failed: !ran})
		if !ran {
			_, limiter := in.node()
			limiter.Doubt(coldlimiter.CauseBrokenConnection)
			err = context.Canceled
		}
	}
	entry.pool.Observe(id, 0, a.Load(), time.Now())
	entry.pool.Finished(id, sampler.Result{Latency: time.Since(sentAt), Refused: err != nil})
	return err == nil
}

// servedBetween returns the requests served of those that arrived in the given seconds.
func (f *fleet) servedBetween(from, to int) (served, sent int) {
	for i := from; i < to; i++ {
		served += f.served[i]
		sent += f.sent[i]
	}
	return served, sent
}

// assertServed asserts which share of the requests was served that arrived in the given seconds.
func (f *fleet) assertServed(t *testing.T, from, to int, share float64) {
	t.Helper()
	served, sent := f.servedBetween(from, to)
	assert.Assert(t, float64(served) >= share*float64(sent), "%d of %d served in seconds %d to %d", served, sent, from, to)
}

// TestFailureDomainReturnsCold plays the return of a third of the instances, all cold at once, under a load of 0.8 of the capacity of all.
func TestFailureDomainReturnsCold(t *testing.T) {
	const goneAt, backAt = 2, 5
	f := runFleet(t, 0.8, func(f *fleet) {
		time.Sleep(goneAt * time.Second)
		for i := 0; i < len(f.instances); i += domains {
			go f.instances[i].restart((backAt - goneAt) * time.Second)
		}
	})
	warm := warmRate * (domains - 1) * instancesPerDomain
	seconds := int(coldStart / time.Second)
	served, _ := f.servedBetween(backAt, backAt+seconds)
	assert.Assert(t, float64(served) >= 0.95*float64(seconds)*(warm+coldRate*instancesPerDomain), "%d served while cold", served)
	cold := 0
	for _, in := range f.instances {
		cold += in.servedCold
	}
	assert.Assert(t, float64(cold) >= 0.9*coldRate*instancesPerDomain*coldStart.Seconds(), "cold ones ran %d", cold)
	f.assertServed(t, 0, goneAt, 1)
	f.assertServed(t, backAt+seconds+1, runSeconds, 0.99)
}

// TestReleaseWithColdNewcomers plays a release that replaces all upstreams one after the other under a load of 0.6.
func TestReleaseWithColdNewcomers(t *testing.T) {
	f := runFleet(t, 0.6, func(f *fleet) {
		for _, in := range f.instances {
			in.restart(300 * time.Millisecond)
			time.Sleep(700 * time.Millisecond)
		}
	})
	f.assertServed(t, 0, runSeconds, 0.99)
}

// TestUpstreamsTurnColdUnannounced plays a third of the upstreams, which turn cold while they run, at a load beyond what is left.
func TestUpstreamsTurnColdUnannounced(t *testing.T) {
	const coldAt = 3
	f := runFleet(t, 0.85, func(f *fleet) {
		time.Sleep(coldAt * time.Second)
		for _, in := range f.instances[:instancesPerDomain] {
			in.returnCold()
		}
	})
	f.assertServed(t, 0, coldAt, 0.99)
	f.assertServed(t, coldAt+int(coldStart/time.Second)+1, runSeconds, 0.99)
}

// TestFrozenNodesWake plays a failure domain whose nodes are frozen for 8 s. Its upstreams restart meanwhile, and what waited for them comes at once.
func TestFrozenNodesWake(t *testing.T) {
	const frozenAt, wokenAt = 2, 10
	f := runFleet(t, 0.6, func(f *fleet) {
		time.Sleep(frozenAt * time.Second)
		for i := 0; i < len(f.instances); i += domains {
			in := f.instances[i]
			in.mu.Lock()
			in.frozenUntil = time.Now().Add((wokenAt - frozenAt) * time.Second)
			in.mu.Unlock()
		}
		time.Sleep((wokenAt-frozenAt)*time.Second - 10*time.Millisecond)
		for i := 0; i < len(f.instances); i += domains {
			f.instances[i].returnCold()
		}
	})
	f.assertServed(t, wokenAt+int(coldStart/time.Second), runSeconds, 0.99)
}

// TestNodesAreRestartedWhileCold plays a failure domain that returns cold, whose nodes are restarted again and again, at a load beyond what is left.
func TestNodesAreRestartedWhileCold(t *testing.T) {
	const coldAt = 3
	f := runFleet(t, 0.85, func(f *fleet) {
		time.Sleep(coldAt * time.Second)
		for i := 0; i < len(f.instances); i += domains {
			f.instances[i].returnCold()
		}
		for range 6 {
			for i := 0; i < len(f.instances); i += domains {
				f.instances[i].startNode()
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	f.assertServed(t, coldAt+int(coldStart/time.Second)+1, runSeconds, 0.99)
}

// TestFalseDoubtsCostLittle plays connections of warm upstreams that break ten times a second, under a load of 0.8.
func TestFalseDoubtsCostLittle(t *testing.T) {
	f := runFleet(t, 0.8, func(f *fleet) {
		random := rand.New(rand.NewPCG(2, 1))
		for time.Since(f.begin) < runSeconds*time.Second {
			time.Sleep(100 * time.Millisecond)
			_, limiter := f.instances[random.IntN(len(f.instances))].node()
			limiter.Doubt(coldlimiter.CauseBrokenConnection)
		}
	})
	f.assertServed(t, 0, runSeconds, 0.99)
}
