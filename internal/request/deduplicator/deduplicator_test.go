package deduplicator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	retention  = 15 * time.Minute
	longUptime = time.Hour // Must exceed the retention.
)

// group holds the deduplicators of one service. It implements deduplicator.Client by
// calling the other deduplicator directly.
type group struct {
	deduplicators map[netip.AddrPort]*deduplicator.Deduplicator
	instances     []*registrar.Instance
	unreachable   map[netip.AddrPort]bool
}

// newGroup returns n deduplicators that start with the given uptime and have observed
// each other for longUptime.
func newGroup(n int, uptime time.Duration) *group {
	g := &group{deduplicators: make(map[netip.AddrPort]*deduplicator.Deduplicator), unreachable: make(map[netip.AddrPort]bool)}
	for i := range n {
		g.add(i, time.Now().Add(-uptime))
	}
	g.observe()
	time.Sleep(longUptime)
	return g
}

func (g *group) add(i int, started time.Time) {
	in := registrar.NewInstance(registrar.Spec{
		ID: "kwishyura-" + strconv.Itoa(i), Incarnation: uint64(started.UnixMilli()), State: registrar.StateReady,
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 90),
	})
	g.instances = append(g.instances, in)
	g.deduplicators[in.Peer()] = deduplicator.New(deduplicator.Config{
		Instance: in.ID(), StartIncarnation: in.Incarnation(), Client: g, MaxKeys: 4, MaxBytes: 1 << 20, MaxKeyBytes: maxTestKeyBytes,
	})
}

func (g *group) observe() {
	for _, in := range g.instances {
		g.deduplicator(in).Observe(g.instances, retention)
	}
}

func (g *group) deduplicator(in *registrar.Instance) *deduplicator.Deduplicator {
	return g.deduplicators[in.Peer()]
}

// home returns the home of a key and its index in instances.
func (g *group) home(key string) (*registrar.Instance, int) {
	home := deduplicator.Home(g.instances, key, retention, time.Now())
	for i, in := range g.instances {
		if in == home {
			return in, i
		}
	}
	return nil, -1
}

// setState changes the state and incarnation of an instance and lets all deduplicators
// observe it.
func (g *group) setState(i int, state registrar.State, incarnation uint64) {
	spec := g.instances[i].Spec()
	spec.State = state
	spec.Incarnation = incarnation
	g.instances[i] = registrar.NewInstance(spec)
	g.observe()
}

func (g *group) Claim(_ context.Context, peer netip.AddrPort, req deduplicator.ClaimRequest) (deduplicator.ClaimResponse, error) {
	if g.unreachable[peer] || g.deduplicators[peer] == nil {
		return deduplicator.ClaimResponse{}, errors.New("unreachable")
	}
	return g.deduplicators[peer].Claim(req, retention), nil
}

func (g *group) Transfer(_ context.Context, peer netip.AddrPort, req deduplicator.TransferRequest) error {
	return g.deduplicators[peer].Transfer(req)
}

// begin begins a request with a key at its home.
func (g *group) begin(key, body string) (*deduplicator.Run, *deduplicator.Response, error) {
	home, _ := g.home(key)
	return begin(g.deduplicator(home), key, body)
}

func begin(d *deduplicator.Deduplicator, key, body string) (*deduplicator.Run, *deduplicator.Response, error) {
	return d.Begin(context.Background(), deduplicator.Request{
		Key: key, Fingerprint: deduplicator.NewFingerprint("POST", "/pay", []byte(body)), Retention: retention,
	})
}

func assertFirstRun(t *testing.T, run *deduplicator.Run, resp *deduplicator.Response, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Assert(t, resp == nil)
	assert.Assert(t, run != nil)
}

func assertReplayed(t *testing.T, run *deduplicator.Run, resp *deduplicator.Response, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Assert(t, run == nil)
	assert.Equal(t, string(resp.Body), "paid")
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

func paidResponse() *deduplicator.Response {
	return &deduplicator.Response{Status: 200, Body: []byte("paid")}
}

// keyIssuedAt returns a UUID of version 7 with the given timestamp.
func keyIssuedAt(at time.Time) string {
	ms := fmt.Sprintf("%012x", at.UnixMilli())
	return ms[:8] + "-" + ms[8:] + "-7000-8000-000000000000"
}

func TestRepeatedKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3, longUptime)
		run, resp, err := g.begin("a", "1000")
		assertFirstRun(t, run, resp, err)
		_, _, err = g.begin("a", "1000")
		assertRefused(t, err, classifier.ReasonKeyRunning)
		_, _, err = g.begin("a", "2000")
		assertRefused(t, err, classifier.ReasonKeyMismatch)
		run.Done(paidResponse())
		run, resp, err = g.begin("a", "1000")
		assertReplayed(t, run, resp, err)
		time.Sleep(retention + time.Second)
		run, resp, err = g.begin("a", "1000")
		assertFirstRun(t, run, resp, err)
		run.NotRun()
		run, resp, err = g.begin("a", "1000")
		assertFirstRun(t, run, resp, err)
		run.Unknown()
		_, _, err = g.begin("a", "1000")
		assertRefused(t, err, classifier.ReasonKeyUnknown)
	})
}

func TestUnrecognizedStateIsUnknown(t *testing.T) {
	d := deduplicator.New(deduplicator.Config{Instance: "kwishyura-1", StartIncarnation: 1, MaxKeys: 4, MaxBytes: 1 << 10})
	record := deduplicator.Record{
		Key: "k", Fingerprint: deduplicator.NewFingerprint("POST", "/pay", []byte("100 RWF")), State: "paused", Expires: time.Now().Add(retention),
	}
	assert.NilError(t, d.Transfer(deduplicator.TransferRequest{From: "kwishyura-2", Records: []deduplicator.Record{record}}))
	_, _, err := begin(d, "k", "100 RWF")
	assertRefused(t, err, classifier.ReasonKeyUnknown)
}

func TestKeyRunsOnceAcrossHomeChanges(t *testing.T) {
	tests := []struct {
		name string
		// endRun ends the run at the first home; if it is nil, the key is not run
		// there.
		endRun func(*deduplicator.Run)
		// change changes the membership, where i is the index of the first home.
		change func(g *group, i int)
		check  func(t *testing.T, g *group, run *deduplicator.Run, resp *deduplicator.Response, err error)
	}{
		{"done, then leaving", func(run *deduplicator.Run) { run.Done(paidResponse()) }, startLeaving,
			func(t *testing.T, _ *group, run *deduplicator.Run, resp *deduplicator.Response, err error) {
				assertReplayed(t, run, resp, err)
			}},
		{"running, then leaving", func(*deduplicator.Run) {}, startLeaving,
			func(t *testing.T, _ *group, _ *deduplicator.Run, _ *deduplicator.Response, err error) {
				assertRefused(t, err, classifier.ReasonKeyRunning)
			}},
		{"not run, then leaving", nil, startLeaving,
			func(t *testing.T, g *group, run *deduplicator.Run, resp *deduplicator.Response, err error) {
				assertFirstRun(t, run, resp, err)
				for _, in := range g.instances {
					if in.State() == registrar.StateLeaving {
						_, _, err = begin(g.deduplicator(in), "a", "1000")
						assertRefused(t, err, classifier.ReasonWrongInstance)
					}
				}
			}},
		{"not run, then failed", nil, failInstance, assertUnknown},
		{"done, then failed", func(run *deduplicator.Run) { run.Done(paidResponse()) }, failInstance, assertUnknown},
		{"done, then handed over", func(run *deduplicator.Run) { run.Done(paidResponse()) }, handOver,
			func(t *testing.T, _ *group, run *deduplicator.Run, resp *deduplicator.Response, err error) {
				assertReplayed(t, run, resp, err)
			}},
		{"not run, then handed over", nil, handOver,
			func(t *testing.T, _ *group, run *deduplicator.Run, resp *deduplicator.Response, err error) {
				assertFirstRun(t, run, resp, err)
			}},
		{"not run, then restarted without handover", nil, crashAndRestart, assertUnknown},
		{"handed over, restarted and failed", nil, func(g *group, i int) {
			handOver(g, i)
			crashAndRestart(g, i)
			time.Sleep(longUptime) // Now it is the home again.
			failInstance(g, i)
		}, assertUnknown},
		{"suspected by the fleet", func(run *deduplicator.Run) { run.NotRun() }, func(g *group, i int) {
			g.setState(i, registrar.StateReady, g.instances[i].Incarnation()+1)
			g.unreachable[g.instances[(i+1)%3].Peer()] = true
		}, assertUnknown},
		{"isolated for longer than the retention", nil, func(g *group, i int) {
			isolate(g, i)
			time.Sleep(longUptime)
			g.setState(i, registrar.StateReady, g.instances[i].Incarnation()+1)
		}, assertUnknown},
		{"briefly isolated", nil, func(g *group, i int) {
			isolate(g, i)
			for j, in := range g.instances {
				g.setState(j, registrar.StateReady, in.Incarnation())
			}
		}, assertUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(3, longUptime)
				_, i := g.home("a")
				if tt.endRun != nil {
					run, resp, err := g.begin("a", "1000")
					assertFirstRun(t, run, resp, err)
					tt.endRun(run)
				}
				tt.change(g, i)
				time.Sleep(time.Second)
				run, resp, err := g.begin("a", "1000")
				tt.check(t, g, run, resp, err)
			})
		})
	}
}

func assertUnknown(t *testing.T, _ *group, _ *deduplicator.Run, _ *deduplicator.Response, err error) {
	t.Helper()
	assertRefused(t, err, classifier.ReasonKeyUnknown)
}

func startLeaving(g *group, i int) {
	g.setState(i, registrar.StateLeaving, g.instances[i].Incarnation())
}

func failInstance(g *group, i int) {
	g.setState(i, registrar.StateFailed, g.instances[i].Incarnation())
	g.unreachable[g.instances[i].Peer()] = true
}

// isolate lets all instances but one fail.
func isolate(g *group, i int) {
	for j := range g.instances {
		if j != i {
			failInstance(g, j)
		}
	}
}

// crashAndRestart lets an instance fail without a handover and starts it again.
func crashAndRestart(g *group, i int) {
	failInstance(g, i)
	g.add(i, time.Now())
	n := len(g.instances) - 1
	g.instances[i] = g.instances[n]
	g.instances = g.instances[:n]
	g.observe()
	g.unreachable = make(map[netip.AddrPort]bool)
}

// handOver lets an instance leave after it handed over its records.
func handOver(g *group, i int) {
	startLeaving(g, i)
	if err := g.deduplicator(g.instances[i]).HandOver(context.Background(), g.instances, retention); err != nil {
		panic(err)
	}
	g.setState(i, registrar.StateLeft, g.instances[i].Incarnation())
	g.unreachable[g.instances[i].Peer()] = true
}

// TestNewInstanceRunsOnlyNewKeys checks that a new instance, which cannot know the
// keys that ran before it started, runs only keys with a later timestamp.
func TestNewInstanceRunsOnlyNewKeys(t *testing.T) {
	tests := []struct {
		name string
		key  func() string
		runs bool
	}{
		{"no timestamp", func() string { return "a" }, false},
		{"issued before the start", func() string { return keyIssuedAt(time.Now().Add(-time.Minute)) }, false},
		{"issued after the start", func() string { return keyIssuedAt(time.Now()) }, true},
		{"issued in the future", func() string { return keyIssuedAt(time.Now().Add(time.Hour)) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(0, 0)
				g.add(0, time.Now())
				g.observe()
				time.Sleep(30 * time.Second)
				run, resp, err := g.begin(tt.key(), "1000")
				if tt.runs {
					assertFirstRun(t, run, resp, err)
					return
				}
				assertRefused(t, err, classifier.ReasonKeyUnknown)
			})
		})
	}
}

// maxTestKeyBytes bounds the total size of the keys of a group of tests.
const maxTestKeyBytes = 1 << 10

func TestStoreRefusesKeysBeyondLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, longUptime)
		for i := range 4 {
			run, resp, err := g.begin(strconv.Itoa(i), "")
			assertFirstRun(t, run, resp, err)
			run.Done(paidResponse())
		}
		_, _, err := g.begin("over the limit", "")
		assertRefused(t, err, classifier.ReasonQueueFull)
		time.Sleep(retention)
		run, resp, err := g.begin("over the limit", "")
		assertFirstRun(t, run, resp, err)
		run.Done(&deduplicator.Response{Body: make([]byte, 8<<10)})
		_, _, err = g.begin("over the limit", "")
		assertRefused(t, err, classifier.ReasonKeyAnswer)
	})
}

// TestLongKeysAreBounded guards against callers whose long keys fill the memory.
func TestLongKeysAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, longUptime)
		run, resp, err := g.begin(strings.Repeat("a", maxTestKeyBytes), "")
		assertFirstRun(t, run, resp, err)
		run.Done(paidResponse())
		_, _, err = g.begin("b", "")
		assertRefused(t, err, classifier.ReasonQueueFull)
		time.Sleep(retention)
		run, resp, err = g.begin("b", "")
		assertFirstRun(t, run, resp, err)
		run.Done(paidResponse())
	})
}

// TestLargeHeaderIsNotStored guards against a faulty upstream whose heads fill the memory: 1 MB for each key.
func TestLargeHeaderIsNotStored(t *testing.T) {
	for name, header := range map[string]http.Header{
		"one large field": {"X-Odd": {strings.Repeat("x", 1<<20)}},
		"many fields":     {"X-Odd": slices.Repeat([]string{"x"}, 1<<10)},
		"a large name":    {strings.Repeat("X", 1<<20): {"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(1, longUptime)
				run, resp, err := g.begin("key", "")
				assertFirstRun(t, run, resp, err)
				run.Done(&deduplicator.Response{Status: http.StatusOK, Header: header, Body: []byte("paid")})
				_, _, err = g.begin("key", "")
				assertRefused(t, err, classifier.ReasonKeyAnswer)
			})
		})
	}
}

func TestRemovedInstanceMovesOnlyItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(5, longUptime)
		const keys = 2000
		moved, kept := 0, 0
		remaining := g.instances[:4]
		for i := range keys {
			key := strconv.Itoa(i)
			before := deduplicator.Home(g.instances, key, retention, time.Now())
			after := deduplicator.Home(remaining, key, retention, time.Now())
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
	g := &group{deduplicators: make(map[netip.AddrPort]*deduplicator.Deduplicator)}
	for i := range 15 {
		g.add(i, time.Now().Add(-longUptime))
	}
	d := deduplicator.New(deduplicator.Config{Instance: "kwishyura-0", Client: g, MaxKeys: 1 << 30, MaxBytes: 1 << 40})
	d.Observe(g.instances[:1], retention)
	b.ReportAllocs()
	time.Sleep(10 * time.Millisecond)
	before := liveHeap()
	n := 0
	for i := 0; b.Loop(); i++ {
		n++
		// The timestamp in the key makes claims unnecessary, so that only the cost
		// of the record is measured.
		key := keyIssuedAt(time.Now().Add(10*time.Second - time.Millisecond))
		run, _, err := begin(d, key[:24]+fmt.Sprintf("%012x", i), "1000")
		assert.NilError(b, err)
		run.Done(paidResponse())
	}
	b.ReportMetric(float64(liveHeap()-before)/float64(n), "kept-B/key")
	runtime.KeepAlive(d)
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
