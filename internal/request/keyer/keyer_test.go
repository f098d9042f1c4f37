package keyer_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	retention = 15 * time.Minute
	settled   = time.Hour // Longer than the retention.
)

// group is the keyers of one service. Claims go straight from one to another.
type group struct {
	keyers    map[netip.AddrPort]*keyer.Keyer
	instances []*registrar.Instance
	cut       map[netip.AddrPort]bool
}

// newGroup makes n keyers that have been up for the given time.
func newGroup(n int, up time.Duration) *group {
	g := &group{keyers: make(map[netip.AddrPort]*keyer.Keyer), cut: make(map[netip.AddrPort]bool)}
	for i := range n {
		g.add(i, time.Now().Add(-up))
	}
	g.observe()
	time.Sleep(settled)
	return g
}

func (g *group) add(i int, started time.Time) {
	in := registrar.NewInstance(registrar.Spec{
		ID: "kwishyura-" + strconv.Itoa(i), Incarnation: uint64(started.UnixMilli()), State: registrar.StateReady,
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 90),
	})
	g.instances = append(g.instances, in)
	g.keyers[in.Peer()] = keyer.New(keyer.Config{
		Instance: in.ID(), Started: in.Incarnation(), Client: g, MaxKeys: 4, MaxBytes: 1 << 20,
	})
}

func (g *group) observe() {
	for _, in := range g.instances {
		g.keyer(in).Observe(g.instances, retention)
	}
}

func (g *group) keyer(in *registrar.Instance) *keyer.Keyer { return g.keyers[in.Peer()] }

// home returns the home of a key and its place.
func (g *group) home(key string) (*registrar.Instance, int) {
	home := keyer.Home(g.instances, key, retention, time.Now())
	for i, in := range g.instances {
		if in == home {
			return in, i
		}
	}
	return nil, -1
}

// become changes the state and incarnation of an instance in all views.
func (g *group) become(i int, state registrar.State, incarnation uint64) {
	spec := g.instances[i].Spec()
	spec.State = state
	spec.Incarnation = incarnation
	g.instances[i] = registrar.NewInstance(spec)
	g.observe()
}

func (g *group) Claim(_ context.Context, peer netip.AddrPort, req keyer.ClaimRequest) (keyer.ClaimResponse, error) {
	if g.cut[peer] || g.keyers[peer] == nil {
		return keyer.ClaimResponse{}, errors.New("unreachable")
	}
	return g.keyers[peer].Claim(req, retention), nil
}

func (g *group) Transfer(_ context.Context, peer netip.AddrPort, req keyer.TransferRequest) error {
	return g.keyers[peer].Transfer(req)
}

// begin sends a request with a key to its home.
func (g *group) begin(key, body string) (*keyer.Run, *keyer.Answer, error) {
	home, _ := g.home(key)
	return begin(g.keyer(home), key, body)
}

func begin(k *keyer.Keyer, key, body string) (*keyer.Run, *keyer.Answer, error) {
	return k.Begin(context.Background(), keyer.Request{
		Key: key, Fingerprint: keyer.NewFingerprint("POST", "/pay", []byte(body)), Retention: retention,
	})
}

func assertRuns(t *testing.T, run *keyer.Run, answer *keyer.Answer, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Assert(t, answer == nil)
	assert.Assert(t, run != nil)
}

func assertRepeated(t *testing.T, run *keyer.Run, answer *keyer.Answer, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Assert(t, run == nil)
	assert.Equal(t, string(answer.Body), "paid")
}

func assertRefused(t *testing.T, err error, reason classifier.Reason) {
	t.Helper()
	var refusal *refuser.Refusal
	assert.Assert(t, errors.As(err, &refusal), "error is %v", err)
	assert.Equal(t, refusal.Reason(), reason)
	if reason == classifier.ReasonKeyUnknown {
		assert.Equal(t, refusal.Outcome(), classifier.Unknown)
	}
}

func paid() *keyer.Answer { return &keyer.Answer{Status: 200, Body: []byte("paid")} }

// timed returns a key that carries the given time.
func timed(at time.Time) string {
	ms := fmt.Sprintf("%012x", at.UnixMilli())
	return ms[:8] + "-" + ms[8:] + "-7000-8000-000000000000"
}

func TestRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3, settled)
		run, answer, err := g.begin("a", "1000")
		assertRuns(t, run, answer, err)
		_, _, err = g.begin("a", "1000")
		assertRefused(t, err, classifier.ReasonKeyRunning)
		_, _, err = g.begin("a", "2000")
		assertRefused(t, err, classifier.ReasonKeyMismatch)
		run.Done(paid())
		run, answer, err = g.begin("a", "1000")
		assertRepeated(t, run, answer, err)
		time.Sleep(retention + time.Second)
		run, answer, err = g.begin("a", "1000")
		assertRuns(t, run, answer, err)
		run.NotRun()
		run, answer, err = g.begin("a", "1000")
		assertRuns(t, run, answer, err)
		run.Unknown()
		_, _, err = g.begin("a", "1000")
		assertRefused(t, err, classifier.ReasonKeyUnknown)
	})
}

func TestStateOfALaterVersion(t *testing.T) {
	k := keyer.New(keyer.Config{Instance: "kwishyura-1", Started: 1, MaxKeys: 4, MaxBytes: 1 << 10})
	record := keyer.Record{
		Key: "k", Fingerprint: keyer.NewFingerprint("POST", "/pay", []byte("100 RWF")), State: "paused", Expires: time.Now().Add(retention),
	}
	assert.NilError(t, k.Transfer(keyer.TransferRequest{From: "kwishyura-2", Records: []keyer.Record{record}}))
	_, _, err := begin(k, "k", "100 RWF")
	assertRefused(t, err, classifier.ReasonKeyUnknown)
}

func TestChangeOfHome(t *testing.T) {
	tests := []struct {
		name string
		// first is what the first home knows; change is what becomes of it.
		first  func(*keyer.Run)
		change func(g *group, i int)
		check  func(t *testing.T, g *group, run *keyer.Run, answer *keyer.Answer, err error)
	}{
		{"answered and leaving", func(run *keyer.Run) { run.Done(paid()) }, leave,
			func(t *testing.T, _ *group, run *keyer.Run, answer *keyer.Answer, err error) {
				assertRepeated(t, run, answer, err)
			}},
		{"running and leaving", func(*keyer.Run) {}, leave,
			func(t *testing.T, _ *group, _ *keyer.Run, _ *keyer.Answer, err error) {
				assertRefused(t, err, classifier.ReasonKeyRunning)
			}},
		{"never seen and leaving", nil, leave,
			func(t *testing.T, g *group, run *keyer.Run, answer *keyer.Answer, err error) {
				assertRuns(t, run, answer, err)
				for _, in := range g.instances {
					if in.State() == registrar.StateLeaving {
						_, _, err = begin(g.keyer(in), "a", "1000")
						assertRefused(t, err, classifier.ReasonWrongInstance)
					}
				}
			}},
		{"never seen and failed", nil, fail, assertUnknown},
		{"answered and failed", func(run *keyer.Run) { run.Done(paid()) }, fail, assertUnknown},
		{"answered and handed over", func(run *keyer.Run) { run.Done(paid()) }, handOver,
			func(t *testing.T, _ *group, run *keyer.Run, answer *keyer.Answer, err error) {
				assertRepeated(t, run, answer, err)
			}},
		{"never seen and handed over", nil, handOver,
			func(t *testing.T, _ *group, run *keyer.Run, answer *keyer.Answer, err error) {
				assertRuns(t, run, answer, err)
			}},
		{"failed and started again", nil, restart, assertUnknown},
		{"handed over, started again and failed", nil, func(g *group, i int) {
			handOver(g, i)
			restart(g, i)
			time.Sleep(settled) // It is the home again.
			fail(g, i)
		}, assertUnknown},
		{"doubted by the fleet", func(run *keyer.Run) { run.NotRun() }, func(g *group, i int) {
			g.become(i, registrar.StateReady, g.instances[i].Incarnation()+1)
			g.cut[g.instances[(i+1)%3].Peer()] = true
		}, assertUnknown},
		{"cut off with the minority for long", nil, func(g *group, i int) {
			cutOff(g, i)
			time.Sleep(settled)
			g.become(i, registrar.StateReady, g.instances[i].Incarnation()+1)
		}, assertUnknown},
		{"back from the minority", nil, func(g *group, i int) {
			cutOff(g, i)
			for j, in := range g.instances {
				g.become(j, registrar.StateReady, in.Incarnation())
			}
		}, assertUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(3, settled)
				_, i := g.home("a")
				if tt.first != nil {
					run, answer, err := g.begin("a", "1000")
					assertRuns(t, run, answer, err)
					tt.first(run)
				}
				tt.change(g, i)
				time.Sleep(time.Second)
				run, answer, err := g.begin("a", "1000")
				tt.check(t, g, run, answer, err)
			})
		})
	}
}

func assertUnknown(t *testing.T, _ *group, _ *keyer.Run, _ *keyer.Answer, err error) {
	t.Helper()
	assertRefused(t, err, classifier.ReasonKeyUnknown)
}

func leave(g *group, i int) { g.become(i, registrar.StateLeaving, g.instances[i].Incarnation()) }

func fail(g *group, i int) {
	g.become(i, registrar.StateFailed, g.instances[i].Incarnation())
	g.cut[g.instances[i].Peer()] = true
}

// cutOff fails all instances but one.
func cutOff(g *group, i int) {
	for j := range g.instances {
		if j != i {
			fail(g, j)
		}
	}
}

// restart ends an instance without a word and starts it again.
func restart(g *group, i int) {
	fail(g, i)
	g.add(i, time.Now())
	n := len(g.instances) - 1
	g.instances[i] = g.instances[n]
	g.instances = g.instances[:n]
	g.observe()
	g.cut = make(map[netip.AddrPort]bool)
}

func handOver(g *group, i int) {
	leave(g, i)
	if err := g.keyer(g.instances[i]).HandOver(context.Background(), g.instances, retention); err != nil {
		panic(err)
	}
	g.become(i, registrar.StateLeft, g.instances[i].Incarnation())
	g.cut[g.instances[i].Peer()] = true
}

func TestLateStart(t *testing.T) {
	tests := []struct {
		name string
		key  func() string
		runs bool
	}{
		{"key without a time", func() string { return "a" }, false},
		{"key from before", func() string { return timed(time.Now().Add(-time.Minute)) }, false},
		{"key from after", func() string { return timed(time.Now()) }, true},
		{"key from the future", func() string { return timed(time.Now().Add(time.Hour)) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(0, 0)
				g.add(0, time.Now())
				g.observe()
				time.Sleep(30 * time.Second)
				run, answer, err := g.begin(tt.key(), "1000")
				if tt.runs {
					assertRuns(t, run, answer, err)
					return
				}
				assertRefused(t, err, classifier.ReasonKeyUnknown)
			})
		})
	}
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, settled)
		for i := range 4 {
			run, answer, err := g.begin(strconv.Itoa(i), "")
			assertRuns(t, run, answer, err)
			run.Done(paid())
		}
		_, _, err := g.begin("one too many", "")
		assertRefused(t, err, classifier.ReasonQueueFull)
		time.Sleep(retention)
		run, answer, err := g.begin("one too many", "")
		assertRuns(t, run, answer, err)
		run.Done(&keyer.Answer{Body: make([]byte, 8<<10)})
		_, _, err = g.begin("one too many", "")
		assertRefused(t, err, classifier.ReasonKeyAnswer)
	})
}

func TestHomeMovesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(5, settled)
		const keys = 2000
		moved, kept := 0, 0
		without := g.instances[:4]
		for i := range keys {
			key := strconv.Itoa(i)
			before := keyer.Home(g.instances, key, retention, time.Now())
			after := keyer.Home(without, key, retention, time.Now())
			if before != g.instances[4] {
				assert.Equal(t, before.ID(), after.ID())
				kept++
				continue
			}
			moved++
		}
		assert.Assert(t, moved > keys/5*8/10 && moved < keys/5*12/10, "moved %d, kept %d", moved, kept)
	})
}

func BenchmarkBegin(b *testing.B) {
	g := &group{keyers: make(map[netip.AddrPort]*keyer.Keyer)}
	for i := range 15 {
		g.add(i, time.Now().Add(-settled))
	}
	k := keyer.New(keyer.Config{Instance: "kwishyura-0", Client: g, MaxKeys: 1 << 30, MaxBytes: 1 << 40})
	k.Observe(g.instances[:1], retention)
	b.ReportAllocs()
	time.Sleep(10 * time.Millisecond)
	before := heap()
	n := 0
	for i := 0; b.Loop(); i++ {
		n++
		// The time in the key spares asking: the cost is that of the record.
		key := timed(time.Now().Add(10*time.Second - time.Millisecond))
		run, _, err := begin(k, key[:24]+fmt.Sprintf("%012x", i), "1000")
		assert.NilError(b, err)
		run.Done(paid())
	}
	b.ReportMetric(float64(heap()-before)/float64(n), "kept-B/key")
	runtime.KeepAlive(k)
}

// heap returns the bytes of the live heap.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
