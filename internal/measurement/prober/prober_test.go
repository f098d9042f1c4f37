package prober

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// fakeTransport records what is charged and passes each probe to handle.
type fakeTransport struct {
	mu      sync.Mutex // Guards charges, which the test adds to as well.
	charges []charge
	handle  func(to netip.AddrPort, payload []byte) error
}

func (t *fakeTransport) Send(to netip.AddrPort, payload []byte) error {
	t.record(exchangeCost)
	return t.handle(to, payload)
}

func (t *fakeTransport) record(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.charges = append(t.charges, charge{at: time.Now(), bytes: bytes})
}

type fixedLoad struct{}

func (fixedLoad) Load() sampler.Load {
	return sampler.NewLoad(sampler.LoadSpec{InFlight: 2, Limit: 6, Latency: time.Millisecond, WarmPercent: 100})
}

// fixture is a prober with the instances of some services.
type fixture struct {
	prober    *Prober
	pool      *sampler.Pool
	source    *publisher.Publisher
	transport *fakeTransport
	ids       []string
}

func peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
}

func newFixture(services, instancesPerService int, cfg Config) *fixture {
	f := &fixture{pool: sampler.New(sampler.Config{}), source: publisher.New(), transport: &fakeTransport{}}
	f.transport.handle = func(netip.AddrPort, []byte) error { return nil }
	var instances []*registrar.Instance
	for i := range services * instancesPerService {
		f.ids = append(f.ids, fmt.Sprint(i))
		instances = append(instances, registrar.NewInstance(registrar.Spec{
			ID: f.ids[i], State: registrar.StateReady, Service: fmt.Sprint(i / instancesPerService), Peer: peer(i + 1),
		}))
	}
	f.source.SetView(registrar.NewView(instances))
	cfg.Pool, cfg.Source, cfg.Transport, cfg.OwnLoad, cfg.Self = f.pool, f.source, f.transport, fixedLoad{}, "0"
	cfg.Random = rand.New(rand.NewPCG(3, 4))
	f.prober = New(cfg)
	return f
}

func (f *fixture) configure(number uint64, services, messages, bytes int) {
	var list []*compiler.Service
	for i := range services {
		spec := compiler.DefaultServiceSpec(fmt.Sprint(i))
		spec.ProbeMessages, spec.ProbeBytes = messages, bytes
		list = append(list, compiler.NewService(spec))
	}
	f.source.SetConfiguration(compiler.NewConfiguration(number, "oaxaca", list))
}

func (f *fixture) run(t *testing.T, d time.Duration) {
	t.Helper()
	dying := make(chan struct{})
	go func() { _ = f.prober.Run(dying) }()
	time.Sleep(d)
	close(dying)
	synctest.Wait()
}

// TestBudgetsHoldUnderRandomLoadAndFaults checks the budgets under many requests,
// failed sends, lost, late and repeated responses, and probes from others.
func TestBudgetsHoldUnderRandomLoadAndFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			messages, bytes := 1+r.IntN(60), 100+r.IntN(4000)
			services := 1 + r.IntN(4)
			cfg := Config{Messages: 1 + r.IntN(80), Bytes: 100 + r.IntN(8000), ResponseMessages: 1 + r.IntN(20), ResponseBytes: 100 + r.IntN(900)}
			f := newFixture(services, 1+r.IntN(8), cfg)
			f.configure(1, services, messages, bytes)
			responses := &fakeTransport{}
			faults := rand.New(rand.NewPCG(seed, 2))
			f.transport.handle = func(to netip.AddrPort, payload []byte) error {
				msg, _ := decodeProbe(payload)
				encoded := response{nonce: msg.nonce, load: fixedLoad{}.Load()}.encode()
				for range faults.IntN(3) {
					time.AfterFunc(time.Duration(faults.IntN(1500))*time.Millisecond, func() { f.prober.HandleResponse(to, encoded, time.Now()) })
				}
				if faults.IntN(3) == 0 {
					return errors.New("network is unreachable")
				}
				return nil
			}
			dying := make(chan struct{})
			go func() { _ = f.prober.Run(dying) }()
			for range 4000 {
				time.Sleep(time.Duration(r.ExpFloat64() * float64(5*time.Millisecond)))
				id := f.ids[r.IntN(len(f.ids))]
				f.pool.Sent(id)
				f.pool.Finished(id, sampler.Result{Failed: r.IntN(2) == 0})
				if len(f.prober.HandleProbe(peer(9), probe{instanceHash: hashID("0")}.encode())) > 0 {
					responses.record(responseBytes + datagramHeaderBytes)
				}
				if size := r.IntN(1500); size > 500 && f.prober.Reserve("0", size) {
					f.transport.record(size)
				}
			}
			close(dying)
			synctest.Wait()
			assertWithinLimits(t, f.transport.charges, min(cfg.Messages, services*messages), min(cfg.Bytes, services*bytes))
			assertWithinLimits(t, responses.charges, cfg.ResponseMessages, cfg.ResponseBytes)
			time.Sleep(2 * time.Second)
		})
	}
}

func TestServiceBudgetFollowsTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 6, Config{})
		for _, id := range f.ids {
			f.pool.Sent(id)
		}
		f.configure(1, 1, 20, 2000)
		f.run(t, 2*time.Second)
		assertWithinLimits(t, f.transport.charges, 20, 2000)
		assert.Assert(t, len(f.transport.charges) >= 36, "%d", len(f.transport.charges)) // Nearly all of the budget is used.
		f.transport.charges = nil
		f.configure(2, 1, 5, 2000)
		f.run(t, 2*time.Second)
		assert.Assert(t, len(f.transport.charges) <= 10, "%d", len(f.transport.charges))
		f.transport.charges = nil
		f.configure(3, 1, 20, exchangeCost-1)
		f.run(t, 2*time.Second)
		assert.Equal(t, len(f.transport.charges), 0)
	})
}

// TestProbesYieldBudgetToReservations checks that probes pause after a refused
// reservation until it is allowed.
func TestProbesYieldBudgetToReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 6, Config{})
		f.configure(1, 1, 20, 2000)
		for _, id := range f.ids {
			f.pool.Sent(id)
		}
		f.run(t, 2*time.Second)
		assert.Assert(t, !f.prober.Reserve("0", 2001)) // Can never be allowed, so probes do not pause.
		assert.Assert(t, !f.prober.Reserve("0", 1000))
		sent := len(f.transport.charges)
		f.run(t, budgetWindow-time.Millisecond)
		assert.Equal(t, len(f.transport.charges), sent)
		assert.Assert(t, f.prober.Reserve("0", 1000))
		f.run(t, time.Second)
		assert.Assert(t, len(f.transport.charges) > sent)
	})
}

func TestProbesAreSpacedEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4, 4, Config{Messages: 10})
		f.configure(1, 4, 20, 2000)
		for _, id := range f.ids {
			f.pool.Sent(id)
		}
		f.run(t, 250*time.Millisecond)
		assert.Equal(t, len(f.transport.charges), 3)
	})
}

func TestOnlyStaleInstancesOfActiveServicesAreProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 3, Config{})
		f.configure(1, 2, 20, 2000)
		probed := make(map[netip.AddrPort]bool)
		f.transport.handle = func(to netip.AddrPort, _ []byte) error {
			probed[to] = true
			return nil
		}
		f.pool.Sent("1")
		f.pool.Observe("1", 0, fixedLoad{}.Load(), time.Now().Add(time.Hour)) // Stays fresh.
		f.run(t, time.Second)
		assert.Assert(t, len(probed) == 1 && probed[peer(3)], "%v", probed)
	})
}

func TestOnlyMatchingResponsesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 2, Config{})
		f.configure(1, 1, 1, 1000)
		f.pool.Sent("1")
		var sent probe
		f.transport.handle = func(_ netip.AddrPort, payload []byte) (err error) {
			sent, err = decodeProbe(payload)
			return err
		}
		f.run(t, 500*time.Millisecond)
		valid := response{nonce: sent.nonce, incarnation: 7, load: fixedLoad{}.Load()}
		assert.Assert(t, len(valid.encode()) < 100)
		unknownNonce := valid
		unknownNonce.nonce++
		f.prober.HandleResponse(peer(2), unknownNonce.encode(), time.Now())
		f.prober.HandleResponse(peer(3), valid.encode(), time.Now())
		f.prober.HandleResponse(peer(2), valid.encode()[1:], time.Now())
		f.prober.HandleResponse(peer(2), valid.encode(), time.Now().Add(2*time.Second))
		assert.Assert(t, !f.pool.Read("1", time.Second, time.Now()).Sampled())
		f.prober.HandleResponse(peer(2), valid.encode(), time.Now())
		reading := f.pool.Read("1", time.Second, time.Now())
		assert.Equal(t, reading.Load(), fixedLoad{}.Load())
		assert.Equal(t, reading.Incarnation(), uint64(7))
		assert.Assert(t, f.prober.HandleProbe(peer(2), probe{instanceHash: hashID("1")}.encode()) == nil)
	})
}

func TestResponseCarriesRateLimit(t *testing.T) {
	for name, rate := range map[string]sampler.RateLimit{
		"none":    {},
		"limited": {PerSecond: 5.8, Age: 40 * time.Millisecond, Left: 2},
		"reached": {PerSecond: 0.25, Wait: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sent := response{nonce: 7, incarnation: 3, load: sampler.NewLoad(sampler.LoadSpec{Limit: 6, Rate: rate})}
			got, err := decodeResponse(sent.encode())
			assert.NilError(t, err)
			assert.Equal(t, got, sent)
		})
	}
}

func TestBudgetHoldsWhenTheClockIsSetBack(t *testing.T) {
	b := budget{maxMessages: 2, maxBytes: 1000}
	assert.Assert(t, b.take(time.UnixMilli(10000), 1))
	assert.Assert(t, b.take(time.UnixMilli(5000), 1))
	for ms := int64(5000); ms < 11000; ms += 100 {
		assert.Assert(t, !b.take(time.UnixMilli(ms), 1), "%d", ms)
	}
	assert.Assert(t, b.take(time.UnixMilli(11000), 1))
}

// countingSource counts how often the prober takes a snapshot.
type countingSource struct {
	*publisher.Publisher
	snapshots int
}

func (s *countingSource) Snapshot() *publisher.Snapshot {
	s.snapshots++
	return s.Publisher.Snapshot()
}

func TestProberSleepsUntilAProbeIsDue(t *testing.T) {
	for _, perSecond := range []int{0, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1, 4, Config{})
			f.configure(1, 1, perSecond, 10000)
			source := &countingSource{Publisher: f.source}
			f.prober.cfg.Source = source
			f.pool.Sent("1")
			f.run(t, 3*time.Second)
			assert.Assert(t, len(f.transport.charges) >= 3*perSecond, "%d probes", len(f.transport.charges))
			assert.Assert(t, source.snapshots <= 3*(perSecond+10)+2, "%d", source.snapshots)
			// The prober's own instance is not probed: the launcher samples it locally.
			assert.Assert(t, !f.pool.Read("0", time.Hour, time.Now()).Sampled())
		})
	}
}

// activePool is a pool in which requests were just sent to the given instances.
type activePool struct {
	*sampler.Pool
	ids []string
}

func (p activePool) SentSince(time.Time) []string { return p.ids }

// BenchmarkTick uses the fleet size expected in two years: 190 services of 15
// instances each, of which the node uses 20 services.
func BenchmarkTick(b *testing.B) {
	const services, instancesPerService, activeServices = 190, 15, 20
	f := newFixture(services, instancesPerService, Config{})
	f.configure(1, services, 20, 2000)
	f.prober.cfg.Pool = activePool{f.pool, f.ids[:activeServices*instancesPerService]}
	now := time.Now()
	for _, id := range f.ids {
		f.pool.Observe(id, 0, fixedLoad{}.Load(), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(pollInterval)
		f.prober.tick(now)
	}
}

// assertWithinLimits checks the sums over the second that begins at each charge.
func assertWithinLimits(t *testing.T, charges []charge, messages, bytes int) {
	t.Helper()
	end, used := 0, 0
	for begin, first := range charges {
		for end < len(charges) && charges[end].at.Sub(first.at) < budgetWindow {
			used += charges[end].bytes
			end++
		}
		assert.Assert(t, end-begin <= messages && used <= bytes, "%d messages, %d bytes", end-begin, used)
		used -= first.bytes
	}
}
