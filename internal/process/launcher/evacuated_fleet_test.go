package launcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/gossiper"
	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/noticer"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// evacuationBound is the time from an order until it is in force.
	evacuationBound = 5 * time.Second
	// evacuationSettling is the time that a fleet has to know itself before a test begins.
	evacuationSettling = 12 * time.Second
	// emptiedDomain is the failure domain that the tests evacuate.
	emptiedDomain = "oax-istmo"
	// shortKeyRetention is the retention of idempotency keys in these tests.
	shortKeyRetention = 5 * time.Second
)

var (
	errCutOff          = errors.New("cut off")
	evacuationDomains  = []string{"oax-centro", emptiedDomain, "oax-costa"}
	controlPeerAddress = netip.MustParseAddrPort("192.0.2.1:7000")
)

// countingUpstream records when requests arrive. Each takes latency.
type countingUpstream struct {
	latency time.Duration

	mu       sync.Mutex
	arrivals []time.Time
}

// DoLimited implements server.Requester.
func (u *countingUpstream) DoLimited(ctx context.Context, _ netip.AddrPort, _ *http.Request, _ requester.Limits) (*http.Response, error) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	select {
	case <-time.After(u.latency):
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	case <-ctx.Done():
		return nil, requester.NewError(classifier.Unknown, classifier.ReasonTimeout, ctx.Err())
	}
}

// DialContext implements requester.Dialer: the upstream never ends.
func (u *countingUpstream) DialContext(context.Context, string, string) (net.Conn, error) {
	conn, other := net.Pipe()
	other.Close()
	return conn, nil
}

// arrivalsBetween returns how many requests arrived from one time to another, both included.
func (u *countingUpstream) arrivalsBetween(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.arrivals {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// evacuatedFleet is a service with nodes in three failure domains, and one control instance,
// which exchange gossip.
type evacuatedFleet struct {
	upstreams []*countingUpstream
	control   *gossiper.Gossiper
	datagrams *datagramNetwork
	byPeer    map[netip.AddrPort]int
	byHTTP    map[netip.AddrPort]int
	sent      atomic.Int64
	revision  uint64

	mu     sync.Mutex
	nodes  []*Node      // A restart replaces them.
	cutOff map[int]bool // Nodes that exchange no gossip.
}

// runEvacuatedFleet runs a test in fake time with the given number of nodes.
func runEvacuatedFleet(t *testing.T, size int, test func(t *testing.T, f *evacuatedFleet)) {
	t.Helper()
	f := &evacuatedFleet{
		byPeer: make(map[netip.AddrPort]int), byHTTP: make(map[netip.AddrPort]int), cutOff: make(map[int]bool),
	}
	for i := range size {
		n := newTestNode(t, "vitrina-"+strconv.Itoa(i+1), "vitrina", netip.MustParseAddrPort("127.0.0.1:9"), "failure-domain = "+evacuationDomains[i%len(evacuationDomains)])
		f.nodes = append(f.nodes, n)
		f.upstreams = append(f.upstreams, &countingUpstream{latency: upstreamLatency})
		f.byPeer[n.settings.PeerAddress()] = i
		f.byHTTP[n.settings.HTTPAddress()] = i
	}
	synctest.Test(t, func(t *testing.T) {
		f.datagrams = newDatagramNetwork()
		f.control = f.newGossiper(registrar.Spec{ID: "control-1", State: registrar.StateReady, FailureDomain: evacuationDomains[0], Peer: controlPeerAddress}, nil, nil)
		f.control.Start()
		defer f.stop(t)
		for i := range f.nodes {
			f.start(t, i)
		}
		time.Sleep(evacuationSettling)
		test(t, f)
	})
}

func (f *evacuatedFleet) newGossiper(spec registrar.Spec, onView func(*registrar.View), onEvacuation func(*controlwire.Evacuation)) *gossiper.Gossiper {
	return gossiper.New(gossiper.Config{
		Instance: spec, Seeds: []netip.AddrPort{controlPeerAddress},
		Transport: f.datagrams.endpoint(spec.Peer), Client: gossipClient{f, spec.Peer},
		OnView: onView, OnEvacuation: onEvacuation,
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, uint64(len(spec.ID))+uint64(spec.Peer.Port()))),
	})
}

// restarted returns a node with the settings of another one, which knows nothing of the fleet.
func restarted(old *Node) *Node {
	return &Node{
		fleetMember: old.fleetMember,
		settings:    old.settings,
		log:         old.log,
		metrics:     old.metrics,
		snapshots:   publisher.New(),
		samplePool:  sampler.New(sampler.Config{}),
		noticeBoard: noticer.NewBoard(),
		explainer:   old.explainer,
		watcher:     old.watcher,
		meter:       old.meter,
		prober:      old.prober,
	}
}

// start starts a node.
func (f *evacuatedFleet) start(t *testing.T, i int) {
	t.Helper()
	n := restarted(f.node(i))
	spec := n.instanceSpec()
	spec.State = registrar.StateReady
	g := f.newGossiper(spec, n.setView, n.setEvacuation)
	n.gossiper = g
	n.upstreamDialer = f.upstreams[i]
	n.deduplicator = deduplicator.New(deduplicator.Config{
		Instance: n.settings.Instance(), StartIncarnation: g.Self().Incarnation(), Client: f, MaxKeys: maxKeys, MaxBytes: maxKeyBytes,
	})
	serviceSpec := compiler.DefaultServiceSpec("vitrina")
	serviceSpec.Hosts = []string{"vitrina.oax"}
	serviceSpec.ColdStart = 0
	serviceSpec.KeyRetention = shortKeyRetention
	n.snapshots.SetConfiguration(compiler.NewConfiguration(1, "s", []*compiler.Service{compiler.NewService(serviceSpec)}))
	n.assembleAdmitter(zerolog.Nop(), serviceSpec)
	n.assembleServer(zerolog.Nop(), f.upstreams[i])
	instancePicker, err := n.newPicker()
	assert.NilError(t, err)
	n.assembleForwarder(zerolog.Nop(), instancePicker, f)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = n
	g.Start()
}

// restart restarts a node.
func (f *evacuatedFleet) restart(t *testing.T, i int) {
	t.Helper()
	assert.NilError(t, f.node(i).gossiper.Stop())
	time.Sleep(time.Second)
	f.start(t, i)
}

func (f *evacuatedFleet) stop(t *testing.T) {
	t.Helper()
	assert.Check(t, f.control.Stop())
	for i := range f.nodes {
		assert.Check(t, f.node(i).gossiper.Stop())
	}
}

// node returns a node as of its last start.
func (f *evacuatedFleet) node(i int) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

// setCutOff cuts the gossip of a node off, or ends that.
func (f *evacuatedFleet) setCutOff(i int, cutOff bool) {
	f.mu.Lock()
	f.cutOff[i] = cutOff
	f.mu.Unlock()
	f.datagrams.setCutOff(f.node(i).settings.PeerAddress(), cutOff)
}

func (f *evacuatedFleet) isCutOff(address netip.AddrPort) bool {
	i, ok := f.byPeer[address]
	f.mu.Lock()
	defer f.mu.Unlock()
	return ok && f.cutOff[i]
}

// order makes the control instance learn that these failure domains are evacuated.
func (f *evacuatedFleet) order(domains ...string) time.Time {
	f.revision++
	f.control.SetEvacuation(&controlwire.Evacuation{Revision: f.revision, FailureDomains: domains})
	return time.Now()
}

// DoLimited implements forwarder.Requester: it passes a request to the node at addr.
func (f *evacuatedFleet) DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, _ requester.Limits) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.node(f.byHTTP[addr]).serveRequest(w, req.WithContext(ctx))
	resp := w.Result()
	if w.Body.Len() == 0 {
		resp.Body = http.NoBody
	}
	return resp, nil
}

// Claim implements deduplicator.Client.
func (f *evacuatedFleet) Claim(_ context.Context, peer netip.AddrPort, req deduplicator.ClaimRequest) (deduplicator.ClaimResponse, error) {
	return f.node(f.byPeer[peer]).deduplicator.Claim(req, shortKeyRetention), nil
}

// Transfer implements deduplicator.Client.
func (f *evacuatedFleet) Transfer(context.Context, netip.AddrPort, deduplicator.TransferRequest) error {
	return nil
}

// gossipClient implements gossiper.Client.
type gossipClient struct {
	fleet *evacuatedFleet
	self  netip.AddrPort
}

func (c gossipClient) gossiperAt(to netip.AddrPort) (*gossiper.Gossiper, error) {
	time.Sleep(datagramLatency)
	if c.fleet.isCutOff(c.self) || c.fleet.isCutOff(to) {
		return nil, errCutOff
	}
	if to == controlPeerAddress {
		return c.fleet.control, nil
	}
	return c.fleet.node(c.fleet.byPeer[to]).gossiper, nil
}

// Compare implements gossiper.Client.
func (c gossipClient) Compare(_ context.Context, to netip.AddrPort, req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error) {
	g, err := c.gossiperAt(to)
	if err != nil {
		return nil, err
	}
	return g.ServeCompare(req)
}

// Reconcile implements gossiper.Client.
func (c gossipClient) Reconcile(_ context.Context, to netip.AddrPort, req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	g, err := c.gossiperAt(to)
	if err != nil {
		return nil, err
	}
	return g.ServeReconcile(req)
}

// send sends a caller's request to an entry node.
func (f *evacuatedFleet) send(entry int, method, key string) *http.Response {
	r := httptest.NewRequest(method, "http://vitrina.oax/", strings.NewReader(""))
	r.Header.Set(classifier.HeaderRequestID, strconv.FormatInt(f.sent.Add(1), 10))
	r.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if key != "" {
		r.Header.Set(classifier.HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	f.node(entry).serveRequest(w, r)
	return w.Result()
}

// sendUntil sends requests to random nodes until the returned function is called, which
// returns how many there were of each status.
func (f *evacuatedFleet) sendUntil(perSecond float64) (stop func() map[int]int) {
	random := rand.New(rand.NewPCG(1, 2))
	ctx, cancel := context.WithCancel(context.Background())
	statuses := make(map[int]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			entry, method := random.IntN(len(f.nodes)), http.MethodGet
			if random.IntN(2) == 0 {
				method = http.MethodPost
			}
			wg.Go(func() {
				status := f.send(entry, method, "").StatusCode
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	})
	return func() map[int]int {
		cancel()
		wg.Wait()
		return statuses
	}
}

// arrivals returns how many requests arrived at the upstreams of a failure domain.
func (f *evacuatedFleet) arrivals(domain string, from, to time.Time) int {
	n := 0
	for i, u := range f.upstreams {
		if f.node(i).settings.FailureDomain() == domain {
			n += u.arrivalsBetween(from, to)
		}
	}
	return n
}

// assertEmpty asserts that nothing arrived in emptiedDomain.
func (f *evacuatedFleet) assertEmpty(t *testing.T, from, to time.Time) {
	t.Helper()
	n := f.arrivals(emptiedDomain, from, to)
	assert.Assert(t, n == 0, "%d requests arrived", n)
}

// assertUsed asserts that requests arrived in a failure domain.
func (f *evacuatedFleet) assertUsed(t *testing.T, domain string, from, to time.Time) {
	t.Helper()
	assert.Assert(t, f.arrivals(domain, from, to) > 0, "nothing arrived in %s", domain)
}
