package disseminator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
)

// linkLatency is the time that a datagram takes.
const linkLatency = time.Millisecond

// fleet is a number of processes that exchange evidence.
type fleet struct {
	processes []*process

	mu        sync.Mutex // Guards the fields below.
	handlers  map[netip.AddrPort]courier.Handler
	down      map[netip.AddrPort]bool
	sentBytes map[netip.AddrPort]int
}

// process is one process of a fleet.
type process struct {
	*Disseminator
	store   *quarantiner.Quarantiner
	address netip.AddrPort
}

// endpoint implements Transport for one process of a fleet.
type endpoint struct {
	fleet   *fleet
	address netip.AddrPort
}

// Handle implements Transport.
func (e endpoint) Handle(_ courier.Kind, h courier.Handler) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.handlers[e.address] = h
}

// Send implements Transport.
func (e endpoint) Send(_ courier.Kind, to netip.AddrPort, payload []byte) error {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.sentBytes[e.address] += len(payload) + courier.Overhead
	handler := e.fleet.handlers[to]
	if handler == nil || e.fleet.down[e.address] || e.fleet.down[to] {
		return nil
	}
	time.AfterFunc(linkLatency, func() { handler(e.address, payload) })
	return nil
}

// runFleet runs a test in fake time.
func runFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			handlers:  make(map[netip.AddrPort]courier.Handler),
			down:      make(map[netip.AddrPort]bool),
			sentBytes: make(map[netip.AddrPort]int),
		}
		var instances []*registrar.Instance
		for i := range size {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
			instances = append(instances, registrar.NewInstance(registrar.Spec{ID: fmt.Sprint(i), Service: "vitrina", State: registrar.StateReady, Peer: address}))
		}
		view := registrar.NewView(instances)
		for i := range size {
			f.processes = append(f.processes, f.newProcess(i, instances[i].Peer(), view))
		}
		defer func() {
			for _, p := range f.processes {
				assert.Check(t, p.Stop())
			}
		}()
		test(t, f)
	})
}

func (f *fleet) newProcess(i int, address netip.AddrPort, view *registrar.View) *process {
	p := &process{address: address}
	p.store = quarantiner.New(quarantiner.Config{
		OnChange: func(e quarantiner.Evidence) { p.Spread(e) },
		Scope:    tally.NoopScope, Log: zerolog.Nop(),
	})
	p.Disseminator = New(Config{
		Instance: fmt.Sprint(i), Service: "vitrina", Store: p.store, Transport: endpoint{f, address},
		View: func() *registrar.View { return view }, Random: rand.New(rand.NewPCG(1, uint64(i))),
		Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	p.Start()
	return p
}

// setDown cuts an address off, or ends that.
func (f *fleet) setDown(address netip.AddrPort, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[address] = down
}

// bytesSentBy returns the number of bytes that a process has sent.
func (f *fleet) bytesSentBy(address netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentBytes[address]
}

// totalBytes returns the number of bytes that all processes have sent.
func (f *fleet) totalBytes() int {
	total := 0
	for _, p := range f.processes {
		total += f.bytesSentBy(p.address)
	}
	return total
}

// crash records that a request was in flight in a crash at a process.
func (p *process) crash(id crashwatcher.CrashID, path string) {
	f, _ := fingerprinter.New(httptest.NewRequest(http.MethodGet, "http://vitrina.example"+path, nil)).Fingerprint()
	p.store.Crashed(crashwatcher.Crash{ID: id, At: time.Now()}, f)
}

// assertAllKnow asserts that all processes know the same evidence, of so many requests.
func (f *fleet) assertAllKnow(t *testing.T, requests int) {
	t.Helper()
	for _, p := range f.processes {
		assert.Equal(t, len(p.store.Evidence()), requests)
		assert.Equal(t, p.store.Digest(), f.processes[0].store.Digest())
	}
}

func TestAllLearnOfCrash(t *testing.T) {
	for size, within := range map[int]time.Duration{3: 20 * time.Millisecond, 30: 20 * time.Millisecond, 200: 2 * time.Second} {
		t.Run(fmt.Sprintf("%d processes", size), func(t *testing.T) {
			runFleet(t, size, func(t *testing.T, f *fleet) {
				time.Sleep(10 * time.Second)
				f.processes[1].crash(1, "/a")
				f.processes[1].crash(1, "/b")
				time.Sleep(within)
				f.assertAllKnow(t, 2)
			})
		})
	}
}

func TestProcessThatWasDownLearnsLater(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.setDown(f.processes[5].address, true)
		f.processes[1].crash(1, "/a")
		f.processes[5].crash(2, "/b")
		time.Sleep(30 * time.Second)
		f.setDown(f.processes[5].address, false)
		time.Sleep(3 * time.Second)
		f.assertAllKnow(t, 2)
	})
}

func TestManyCrashesStayWithinBudget(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		const seconds = 60
		for i := range seconds * 10 {
			f.processes[i%len(f.processes)].crash(crashwatcher.CrashID(i), fmt.Sprintf("/%d", i%50))
			time.Sleep(100 * time.Millisecond)
		}
		for _, p := range f.processes {
			sent := f.bytesSentBy(p.address)
			assert.Assert(t, sent <= burstBytes+seconds*bytesPerSecond, "%d bytes", sent)
		}
		time.Sleep(time.Minute)
		f.assertAllKnow(t, 50)
	})
}

// TestScarceBudgetReachesAllEvidence guards against evidence that stays with the process that found it: each
// response that the budget cut short began with the same messages.
func TestScarceBudgetReachesAllEvidence(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		const requests, crashes = 100, 10
		p := f.processes[0]
		for i := range requests * crashes {
			p.crash(crashwatcher.CrashID(i), fmt.Sprintf("/%d", i%requests))
		}
		known := make(map[fingerprinter.Fingerprint]bool)
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 0}), 1)
		endpoint{f, peer}.Handle(courier.KindCrash, func(_ netip.AddrPort, payload []byte) {
			m, err := decodeMessage(payload, time.Now())
			assert.Check(t, err)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, e := range m.evidence {
				known[e.Fingerprint] = true
			}
		})
		for range 600 { // A minute in which the budget allows a part of a response.
			p.receive(peer, message{kind: kindCompare, digest: 1}.encode(time.Now()))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, len(known), requests)
	})
}

func TestNothingIsSentWithoutEvidence(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, f *fleet) {
		time.Sleep(startupPeriod + time.Second)
		before := f.totalBytes()
		time.Sleep(time.Hour)
		assert.Equal(t, f.totalBytes(), before)
	})
}

func TestMalformedMessagesAreIgnored(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		crash := quarantiner.Crash{Crash: crashwatcher.Crash{ID: 1, At: time.Now()}}
		valid := message{kind: kindPush, evidence: []quarantiner.Evidence{{Crashes: []quarantiner.Crash{crash}}}}.encode(time.Now())
		for n := range len(valid) - headerBytes - 1 {
			f.handlers[f.processes[0].address](f.processes[1].address, valid[:headerBytes+n+1])
		}
		f.handlers[f.processes[0].address](f.processes[1].address, nil)
		f.handlers[f.processes[0].address](f.processes[1].address, make([]byte, courier.MaxPayload))
		f.handlers[f.processes[0].address](f.processes[1].address, append([]byte{formatVersion + 1}, valid[1:]...))
		assert.Equal(t, len(f.processes[0].store.Evidence()), 0)
		f.handlers[f.processes[0].address](f.processes[1].address, valid)
		assert.Equal(t, len(f.processes[0].store.Evidence()), 1)
	})
}

func FuzzDecodeMessage(f *testing.F) {
	now := time.Now()
	f.Add(message{kind: kindCompare, digest: 7}.encode(now))
	f.Add(message{kind: kindPush, evidence: []quarantiner.Evidence{{Crashes: []quarantiner.Crash{{Apart: true}, {Survived: true}}}}}.encode(now))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b, now)
		if err != nil {
			assert.ErrorIs(t, err, errMalformedMessage)
			return
		}
		again, err := decodeMessage(m.encode(now), now)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.evidence, m.evidence)
	})
}
