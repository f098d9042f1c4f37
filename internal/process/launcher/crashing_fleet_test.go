package launcher

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// crashDelay is the time from the arrival of a crashing request until its upstream ends.
	crashDelay = 100 * time.Millisecond
	// restartDelay is the time until an upstream that has crashed is back.
	restartDelay = 3 * time.Second
	// knownPeriod is the time that the fleet has to learn that a request crashes upstreams.
	knownPeriod = 3 * time.Second
	// knownCrashes is the number of crashes after which the fleet must know, and
	// arrivalsAllowed the number of arrivals at upstreams that may follow after knownPeriod.
	knownCrashes    = 3
	arrivalsAllowed = 3
	// crashMarker is part of the path or the body of crashing requests.
	crashMarker = "crash-it"
)

var errUpstreamEnded = errors.New("upstream ended")

// crashingUpstream is an upstream that ends when it runs a crashing request, and is back
// after restartDelay.
type crashingUpstream struct {
	fleet *crashingFleet

	mu        sync.Mutex
	ended     chan struct{} // Closed when the current process ends.
	downUntil time.Time
}

// DoLimited implements server.Requester.
func (u *crashingUpstream) DoLimited(ctx context.Context, _ netip.AddrPort, req *http.Request, _ requester.Limits) (*http.Response, error) {
	ended, up := u.process()
	if !up {
		return nil, requester.NewError(classifier.NotRun, classifier.ReasonConnect, errUpstreamEnded)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, requester.NewError(classifier.Unknown, classifier.ReasonCanceled, err)
	}
	if !u.fleet.harmless.Load() && (strings.Contains(req.URL.Path, crashMarker) || bytes.Contains(body, []byte(crashMarker))) {
		u.fleet.recordArrival()
		time.AfterFunc(crashDelay, func() { u.crash(ended) })
	}
	select {
	case <-ended:
		return nil, requester.NewError(classifier.Unknown, classifier.ReasonReset, errUpstreamEnded)
	case <-ctx.Done():
		return nil, requester.NewError(classifier.Unknown, classifier.ReasonTimeout, ctx.Err())
	case <-time.After(upstreamLatency):
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	}
}

// DialContext implements requester.Dialer.
func (u *crashingUpstream) DialContext(context.Context, string, string) (net.Conn, error) {
	if _, up := u.process(); !up {
		return nil, syscall.ECONNREFUSED
	}
	conn, other := net.Pipe()
	other.Close()
	return conn, nil
}

// process returns the channel that is closed when the current process ends, and whether there
// is one.
func (u *crashingUpstream) process() (<-chan struct{}, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended, !time.Now().Before(u.downUntil)
}

// crash ends the process with the given channel, unless it has ended.
func (u *crashingUpstream) crash(process <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if process != u.ended {
		return
	}
	close(u.ended)
	u.ended = make(chan struct{})
	u.downUntil = time.Now().Add(restartDelay)
	u.fleet.recordCrash()
}

// crashingFleet is a service whose upstreams may crash.
type crashingFleet struct {
	nodes     []*Node
	upstreams []*crashingUpstream
	// indexes holds the indexes of the nodes by their addresses.
	indexes map[netip.AddrPort]int
	sent    atomic.Int64
	// harmless makes crashing requests run like others.
	harmless  atomic.Bool
	datagrams *datagramNetwork
	view      *registrar.View

	mu                sync.Mutex
	running           []runningNode
	arrivals, crashes []time.Time // Arrivals of crashing requests, and crashes.
}

// runningNode holds the parts of a node that a restart replaces.
type runningNode struct {
	server     *server.Server
	forwarder  *forwarder.Forwarder
	quarantine *fleetQuarantine
}

// runCrashingFleet runs a test in fake time of a service with the given number of nodes.
func runCrashingFleet(t *testing.T, size int, test func(t *testing.T, f *crashingFleet)) {
	t.Helper()
	f := &crashingFleet{indexes: make(map[netip.AddrPort]int), running: make([]runningNode, size)}
	var instances []*registrar.Instance
	for i := range size {
		n := newTestNode(t, "vitrina-"+strconv.Itoa(i+1), "vitrina", netip.MustParseAddrPort("127.0.0.1:9"))
		f.nodes = append(f.nodes, n)
		f.indexes[n.settings.HTTPAddress()] = i
		instances = append(instances, readyInstance(n))
	}
	synctest.Test(t, func(t *testing.T) {
		f.view = registrar.NewView(instances)
		f.datagrams = newDatagramNetwork()
		defer f.stop(t)
		for i, n := range f.nodes {
			n.snapshots.SetView(f.view)
			u := &crashingUpstream{fleet: f, ended: make(chan struct{})}
			f.upstreams = append(f.upstreams, u)
			n.upstreamDialer = u
			n.assembleAdmitter(zerolog.Nop(), n.service().Spec())
			f.start(t, i)
		}
		test(t, f)
	})
}

// start assembles the parts of a node that know of requests and of crashes.
func (f *crashingFleet) start(t *testing.T, i int) {
	t.Helper()
	n := f.nodes[i]
	n.fleetQuarantine = newFleetQuarantine(quarantineConfig{
		instance: n.settings.Instance(), service: n.settings.Service(),
		transport: f.datagrams.endpoint(n.settings.PeerAddress()),
		view:      func() *registrar.View { return f.view },
		runsTrial: n.runsTrial,
		scope:     tally.NoopScope, log: zerolog.Nop(),
	})
	n.disseminator.Start()
	n.assembleServer(zerolog.Nop(), f.upstreams[i])
	instancePicker, err := n.newPicker()
	assert.NilError(t, err)
	n.assembleForwarder(zerolog.Nop(), instancePicker, f)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[i] = runningNode{n.server, n.forwarder, n.fleetQuarantine}
}

// restart restarts a node, which forgets what it knows.
func (f *crashingFleet) restart(t *testing.T, i int) {
	t.Helper()
	assert.NilError(t, f.node(i).quarantine.disseminator.Stop())
	f.start(t, i)
}

// node returns the running parts of a node.
func (f *crashingFleet) node(i int) runningNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[i]
}

// stop ends what start started.
func (f *crashingFleet) stop(t *testing.T) {
	t.Helper()
	for i := range f.nodes {
		assert.Check(t, f.node(i).quarantine.disseminator.Stop())
	}
}

// DoLimited implements forwarder.Requester: it passes a request to the node at addr.
func (f *crashingFleet) DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, _ requester.Limits) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil { // The node has broken the connection.
			resp, err = nil, requester.NewError(classifier.Unknown, classifier.ReasonTruncated, errUpstreamEnded)
		}
	}()
	w := httptest.NewRecorder()
	f.node(f.indexes[addr]).server.ServeHTTP(w, req.WithContext(ctx))
	return w.Result(), nil
}

func (f *crashingFleet) recordArrival() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
}

func (f *crashingFleet) recordCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
}

// lateArrivals returns how many crashing requests arrived at upstreams later than knownPeriod
// after the crash number knownCrashes.
func (f *crashingFleet) lateArrivals(t *testing.T) int {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, len(f.crashes) >= knownCrashes, "%d crashes", len(f.crashes))
	known := f.crashes[knownCrashes-1].Add(knownPeriod)
	first := slices.IndexFunc(f.arrivals, func(at time.Time) bool { return at.After(known) })
	if first < 0 {
		return 0
	}
	return len(f.arrivals) - first
}

// callerRequest is what a caller sends, again and again.
type callerRequest struct {
	method, target string
	header         http.Header
	body           string
	chunked        bool
}

// send sends a request of a caller, with a new id, to the entry node with the given index.
func (f *crashingFleet) send(entry int, c callerRequest) *http.Response {
	r := httptest.NewRequest(c.method, "http://vitrina.oax"+c.target, strings.NewReader(c.body))
	if c.chunked {
		r.ContentLength = -1
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set(classifier.HeaderRequestID, strconv.FormatInt(f.sent.Add(1), 10))
	r.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	w := httptest.NewRecorder()
	f.node(entry).forwarder.ServeHTTP(w, r)
	return w.Result()
}

// sendAtRandomNodes sends the requests that next returns to random entry nodes, so many a second on
// average, for the given time. It returns how many there were of each status.
func (f *crashingFleet) sendAtRandomNodes(seed uint64, perSecond float64, length time.Duration, next func(r *rand.Rand) callerRequest) map[int]int {
	random := rand.New(rand.NewPCG(1, seed))
	statuses := make(map[int]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		entry, c := random.IntN(len(f.nodes)), next(random)
		wg.Go(func() {
			status := f.send(entry, c).StatusCode
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wg.Wait()
	return statuses
}
