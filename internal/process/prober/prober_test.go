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

	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// network records what is charged and hands each probe to handle.
type network struct {
	mu     sync.Mutex // Guards log while others than the prober write it.
	log    []charge
	handle func(to netip.AddrPort, payload []byte) error
}

func (n *network) Send(to netip.AddrPort, payload []byte) error {
	n.add(exchangeCost)
	return n.handle(to, payload)
}

func (n *network) add(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, charge{at: time.Now(), bytes: bytes})
}

type ownLoad struct{}

func (ownLoad) Load() sampler.Load {
	return sampler.NewLoad(sampler.LoadSpec{InFlight: 2, Limit: 6, Latency: time.Millisecond, WarmPercent: 100})
}

// bench is a prober among instances of some services.
type bench struct {
	prober  *Prober
	pool    *sampler.Pool
	source  *publisher.Publisher
	network *network
	ids     []string
}

func peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
}

func newBench(services, each int, cfg Config) *bench {
	b := &bench{pool: sampler.New(sampler.Config{}), source: publisher.New(), network: &network{}}
	b.network.handle = func(netip.AddrPort, []byte) error { return nil }
	var instances []*registrar.Instance
	for i := range services * each {
		b.ids = append(b.ids, fmt.Sprint(i))
		instances = append(instances, registrar.NewInstance(registrar.Spec{
			ID: b.ids[i], State: registrar.StateReady, Service: fmt.Sprint(i / each), Peer: peer(i + 1),
		}))
	}
	b.source.SetView(registrar.NewView(instances))
	cfg.Pool, cfg.Source, cfg.Transport, cfg.Own, cfg.Self = b.pool, b.source, b.network, ownLoad{}, "0"
	cfg.Random = rand.New(rand.NewPCG(3, 4))
	b.prober = New(cfg)
	return b
}

func (b *bench) configure(number uint64, services, messages, bytes int) {
	var list []*compiler.Service
	for i := range services {
		spec := compiler.DefaultServiceSpec(fmt.Sprint(i))
		spec.ProbeMessages, spec.ProbeBytes = messages, bytes
		list = append(list, compiler.NewService(spec))
	}
	b.source.SetConfiguration(compiler.NewConfiguration(number, "oaxaca", list))
}

func (b *bench) run(t *testing.T, d time.Duration) {
	t.Helper()
	dying := make(chan struct{})
	go func() { _ = b.prober.Run(dying) }()
	time.Sleep(d)
	close(dying)
	synctest.Wait()
}

// TestBudgetHoldsUnderAnySchedule sends storms of requests, failures, lost,
// late and repeated answers, and probes from others.
func TestBudgetHoldsUnderAnySchedule(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			messages, bytes := 1+r.IntN(60), 100+r.IntN(4000)
			services := 1 + r.IntN(4)
			cfg := Config{Messages: 1 + r.IntN(80), Bytes: 100 + r.IntN(8000), AnswerMessages: 1 + r.IntN(20), AnswerBytes: 100 + r.IntN(900)}
			b := newBench(services, 1+r.IntN(8), cfg)
			b.configure(1, services, messages, bytes)
			answers := &network{}
			faults := rand.New(rand.NewPCG(seed, 2))
			b.network.handle = func(to netip.AddrPort, payload []byte) error {
				q, _ := decodeProbe(payload)
				a := answer{nonce: q.nonce, load: ownLoad{}.Load()}.encode()
				for range faults.IntN(3) {
					time.AfterFunc(time.Duration(faults.IntN(1500))*time.Millisecond, func() { b.prober.HandleAnswer(to, a, time.Now()) })
				}
				if faults.IntN(3) == 0 {
					return errors.New("network is unreachable")
				}
				return nil
			}
			dying := make(chan struct{})
			go func() { _ = b.prober.Run(dying) }()
			for range 4000 {
				time.Sleep(time.Duration(r.ExpFloat64() * float64(5*time.Millisecond)))
				id := b.ids[r.IntN(len(b.ids))]
				b.pool.Sent(id)
				b.pool.Finished(id, sampler.Result{Failed: r.IntN(2) == 0})
				if len(b.prober.HandleProbe(peer(9), probe{instance: hashID("0")}.encode())) > 0 {
					answers.add(answerCost)
				}
				if other := r.IntN(1500); other > 500 && b.prober.Reserve("0", other) {
					b.network.add(other)
				}
			}
			close(dying)
			synctest.Wait()
			assertWithin(t, b.network.log, min(cfg.Messages, services*messages), min(cfg.Bytes, services*bytes))
			assertWithin(t, answers.log, cfg.AnswerMessages, cfg.AnswerBytes)
			time.Sleep(2 * time.Second)
		})
	}
}

func TestBudgetOfEachServiceFollowsTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 6, Config{})
		for _, id := range b.ids {
			b.pool.Sent(id)
		}
		b.configure(1, 1, 20, 2000)
		b.run(t, 2*time.Second)
		assertWithin(t, b.network.log, 20, 2000)
		assert.Assert(t, len(b.network.log) >= 36, "%d", len(b.network.log)) // It is also used.
		b.network.log = nil
		b.configure(2, 1, 5, 2000)
		b.run(t, 2*time.Second)
		assert.Assert(t, len(b.network.log) <= 10, "%d", len(b.network.log))
		b.network.log = nil
		b.configure(3, 1, 20, exchangeCost-1)
		b.run(t, 2*time.Second)
		assert.Equal(t, len(b.network.log), 0)
	})
}

func TestProbesMakeRoomForOtherMeasuring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 6, Config{})
		b.configure(1, 1, 20, 2000)
		for _, id := range b.ids {
			b.pool.Sent(id)
		}
		b.run(t, 2*time.Second)
		assert.Assert(t, !b.prober.Reserve("0", 2001)) // Never allowed: nothing waits for it.
		assert.Assert(t, !b.prober.Reserve("0", 1000))
		sent := len(b.network.log)
		b.run(t, budgetWindow-time.Millisecond)
		assert.Equal(t, len(b.network.log), sent)
		assert.Assert(t, b.prober.Reserve("0", 1000))
		b.run(t, time.Second)
		assert.Assert(t, len(b.network.log) > sent)
	})
}

func TestProbesAreSpacedEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4, 4, Config{Messages: 10})
		b.configure(1, 4, 20, 2000)
		for _, id := range b.ids {
			b.pool.Sent(id)
		}
		b.run(t, 250*time.Millisecond)
		assert.Equal(t, len(b.network.log), 3)
	})
}

func TestOnlyStaleInstancesOfServicesInUseAreProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, 3, Config{})
		b.configure(1, 2, 20, 2000)
		asked := make(map[netip.AddrPort]bool)
		b.network.handle = func(to netip.AddrPort, _ []byte) error {
			asked[to] = true
			return nil
		}
		b.pool.Sent("1")
		b.pool.Observe("1", 0, ownLoad{}.Load(), time.Now().Add(time.Hour)) // Stays fresh.
		b.run(t, time.Second)
		assert.Assert(t, len(asked) == 1 && asked[peer(3)], "%v", asked)
	})
}

func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 2, Config{})
		b.configure(1, 1, 1, 1000)
		b.pool.Sent("1")
		var sent probe
		b.network.handle = func(_ netip.AddrPort, payload []byte) (err error) {
			sent, err = decodeProbe(payload)
			return err
		}
		b.run(t, 500*time.Millisecond)
		good := answer{nonce: sent.nonce, incarnation: 7, load: ownLoad{}.Load()}
		assert.Assert(t, len(good.encode()) < 100)
		stray := good
		stray.nonce++
		b.prober.HandleAnswer(peer(2), stray.encode(), time.Now())
		b.prober.HandleAnswer(peer(3), good.encode(), time.Now())
		b.prober.HandleAnswer(peer(2), good.encode()[1:], time.Now())
		b.prober.HandleAnswer(peer(2), good.encode(), time.Now().Add(2*time.Second))
		assert.Assert(t, !b.pool.Read("1", time.Second, time.Now()).Sampled())
		b.prober.HandleAnswer(peer(2), good.encode(), time.Now())
		reading := b.pool.Read("1", time.Second, time.Now())
		assert.Equal(t, reading.Load(), ownLoad{}.Load())
		assert.Equal(t, reading.Incarnation(), uint64(7))
		assert.Assert(t, b.prober.HandleProbe(peer(2), probe{instance: hashID("1")}.encode()) == nil)
	})
}

func TestBudgetWhenTheClockGoesBack(t *testing.T) {
	b := budget{messages: 2, bytes: 1000}
	assert.Assert(t, b.take(time.UnixMilli(10000), 1))
	assert.Assert(t, b.take(time.UnixMilli(5000), 1))
	for ms := int64(5000); ms < 11000; ms += 100 {
		assert.Assert(t, !b.take(time.UnixMilli(ms), 1), "%d", ms)
	}
	assert.Assert(t, b.take(time.UnixMilli(11000), 1))
}

// countingSource counts how often the prober looks around.
type countingSource struct {
	*publisher.Publisher
	looks int
}

func (s *countingSource) Snapshot() *publisher.Snapshot {
	s.looks++
	return s.Publisher.Snapshot()
}

func TestProberSleepsUntilAProbeIsDue(t *testing.T) {
	for _, perSecond := range []int{0, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(1, 4, Config{})
			b.configure(1, 1, perSecond, 10000)
			source := &countingSource{Publisher: b.source}
			b.prober.cfg.Source = source
			b.pool.Sent("1")
			b.run(t, 3*time.Second)
			assert.Assert(t, len(b.network.log) >= 3*perSecond, "%d probes", len(b.network.log))
			assert.Assert(t, source.looks <= 3*(perSecond+10)+2, "%d", source.looks)
			assert.Assert(t, !b.pool.Read("0", time.Hour, time.Now()).Sampled()) // The choice samples it.
		})
	}
}

// usedPool is a pool of which the given instances are always in use.
type usedPool struct {
	*sampler.Pool
	ids []string
}

func (p usedPool) SentSince(time.Time) []string { return p.ids }

// BenchmarkTick has the size of two years ahead: 190 services of 15 instances,
// of which the node uses 20 services.
func BenchmarkTick(b *testing.B) {
	const services, each, used = 190, 15, 20
	f := newBench(services, each, Config{})
	f.configure(1, services, 20, 2000)
	f.prober.cfg.Pool = usedPool{f.pool, f.ids[:used*each]}
	now := time.Now()
	for _, id := range f.ids {
		f.pool.Observe(id, 0, ownLoad{}.Load(), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(interval)
		f.prober.tick(now)
	}
}

// assertWithin checks the sum over one second from each message on.
func assertWithin(t *testing.T, log []charge, messages, bytes int) {
	t.Helper()
	end, used := 0, 0
	for begin, first := range log {
		for end < len(log) && log[end].at.Sub(first.at) < budgetWindow {
			used += log[end].bytes
			end++
		}
		assert.Assert(t, end-begin <= messages && used <= bytes, "%d messages, %d bytes", end-begin, used)
		used -= first.bytes
	}
}
