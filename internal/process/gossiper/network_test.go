package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/process/distributor"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// fleet is a set of gossipers on a fake network in fake time.
type fleet struct {
	t        testing.TB
	mu       sync.Mutex // Guards all below.
	random   *rand.Rand
	nodes    []*fakeNode
	byPeer   map[netip.AddrPort]*fakeNode
	loss     float64
	double   bool
	maxDelay time.Duration
	cut      func(from, to *fakeNode) bool
	current  *controlwire.Version // The newest accepted one, if the fleet distributes.
}

// fakeNode is one gossiper with its transport and client.
type fakeNode struct {
	*Gossiper
	fleet    *fleet
	index    int
	peer     netip.AddrPort
	handler  courier.Handler
	gate     chan struct{} // Closed while the node runs.
	dead     bool
	started  uint64 // The latest incarnation.
	inbox    []func()
	level    float64 // Of a leaky bucket with the node's sent bytes.
	levelAt  time.Time
	overrun  float64 // The highest level.
	sent     int
	messages int
	failures map[int]int // How often a view showed a live node as failed, by index.

	distributor *distributor.Distributor // Nil unless the fleet distributes.
	published   []uint64
}

// runFleet runs f in a bubble of fake time with n nodes that know each other.
func runFleet(t *testing.T, n int, seed uint64, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, seed)
		for range n {
			fl.add(registrar.StateReady)
		}
		fl.await("all joined", 60*time.Second, fl.nodes, func(x *fakeNode) bool { return x.View().Len() == n })
		time.Sleep(15 * time.Second)
		f(fl)
	})
}

func newFleet(t testing.TB, seed uint64) *fleet {
	fl := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), byPeer: make(map[netip.AddrPort]*fakeNode), maxDelay: 2 * time.Millisecond,
		cut: func(_, _ *fakeNode) bool { return false },
	}
	t.Cleanup(func() {
		for _, x := range fl.nodes {
			x.kill()
		}
	})
	return fl
}

// change changes the network.
func (fl *fleet) change(f func()) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	f()
}

func peerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// add starts a node with the next free number.
func (fl *fleet) add(state registrar.State) *fakeNode {
	i := len(fl.nodes)
	x := &fakeNode{fleet: fl, index: i, failures: make(map[int]int), peer: peerOf(i)}
	fl.change(func() { fl.nodes = append(fl.nodes, x) })
	x.start(state)
	return x
}

// start starts the node, or starts it again with a new incarnation.
func (x *fakeNode) start(state registrar.State) {
	fl := x.fleet
	fl.mu.Lock()
	x.gate = make(chan struct{})
	close(x.gate)
	x.dead = false
	x.level = 0 // Each process has a budget of its own.
	x.started = uint64(time.Now().UnixMilli())
	fl.byPeer[x.peer] = x
	seed := fl.random.Uint64()
	fl.mu.Unlock()
	var seeds []netip.AddrPort
	for _, s := range fl.nodes[:min(2, len(fl.nodes))] {
		if s != x {
			seeds = append(seeds, s.peer)
		}
	}
	x.distributor = fl.newDistributor(x)
	g := New(Config{
		Instance: registrar.Spec{
			ID: fmt.Sprintf("node-%d", x.index), State: state, Service: "vitrina", Owner: "oaxaca", Site: "oaxaca",
			Region: "sur", FailureDomain: "oax-centro", HTTP: x.peer, Peer: x.peer, Slots: 6, Connections: 240,
		},
		Seeds: seeds, Transport: x, Client: x,
		OnView: x.checkView,
		OnVersion: func(from netip.AddrPort, v *controlwire.VersionDigest) {
			if x.distributor != nil {
				x.distributor.ObserveVersion(from, v)
				return
			}
			x.SetVersion(v)
		},
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(seed, 0)),
	})
	fl.change(func() { x.Gossiper = g })
	g.Start()
	if x.distributor != nil {
		x.distributor.Start()
	}
}

// checkView counts live nodes that the view shows as failed.
func (x *fakeNode) checkView(v *registrar.View) {
	for _, in := range v.Instances() {
		if in.State() != registrar.StateFailed {
			continue
		}
		x.fleet.mu.Lock()
		other := x.fleet.byPeer[in.Peer()]
		x.fleet.mu.Unlock()
		if other.lives(in.Incarnation()) {
			x.fleet.change(func() { x.failures[other.index]++ })
		}
	}
}

func (x *fakeNode) lives(incarnation uint64) bool {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return !x.dead && x.started <= incarnation
}

// kill ends the node without any announcement.
func (x *fakeNode) kill() {
	x.fleet.mu.Lock()
	dead := x.dead
	x.dead = true
	x.fleet.mu.Unlock()
	if dead {
		return
	}
	assert.Check(x.fleet.t, x.Stop())
	if x.distributor != nil {
		assert.Check(x.fleet.t, x.distributor.Stop())
	}
}

// freeze stops the node for d. What is sent to it arrives when it wakes.
func (x *fakeNode) freeze(d time.Duration) {
	x.fleet.mu.Lock()
	x.gate = make(chan struct{})
	x.fleet.mu.Unlock()
	time.Sleep(d)
	x.fleet.mu.Lock()
	close(x.gate)
	inbox := x.inbox
	x.inbox = nil
	x.fleet.mu.Unlock()
	for _, deliver := range inbox {
		deliver()
	}
}

func (x *fakeNode) awaitGate() {
	x.fleet.mu.Lock()
	gate := x.gate
	x.fleet.mu.Unlock()
	<-gate
}

func (x *fakeNode) frozen() bool {
	select {
	case <-x.gate:
		return false
	default:
		return true
	}
}

// Handle implements Transport.
func (x *fakeNode) Handle(_ courier.Kind, h courier.Handler) {
	x.fleet.change(func() { x.handler = h })
}

// Send implements Transport.
func (x *fakeNode) Send(_ courier.Kind, to netip.AddrPort, payload []byte) error {
	x.accountCall(len(payload) + courier.Overhead)
	x.awaitGate()
	fl := x.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	assert.Check(fl.t, len(payload) <= courier.MaxPayload)
	copies := 1
	if fl.double {
		copies = 2
	}
	for range copies {
		if fl.random.Float64() >= fl.loss {
			time.AfterFunc(time.Duration(fl.random.Int64N(int64(fl.maxDelay))), func() { fl.deliver(x, to, payload) })
		}
	}
	return nil
}

// account adds bytes to the leaky bucket that checks the budget.
func (x *fakeNode) account(n int) {
	now := time.Now()
	x.level = max(0, x.level-now.Sub(x.levelAt).Seconds()*DefaultBytesPerSecond) + float64(n)
	x.levelAt = now
	x.overrun = max(x.overrun, x.level)
	x.sent += n
	x.messages++
}

func (fl *fleet) deliver(from *fakeNode, to netip.AddrPort, payload []byte) {
	fl.mu.Lock()
	x := fl.byPeer[to]
	if x == nil || x.dead || fl.cut(from, x) {
		fl.mu.Unlock()
		return
	}
	handle := x.handler
	if x.frozen() {
		x.inbox = append(x.inbox, func() { handle(from.peer, payload) })
		fl.mu.Unlock()
		return
	}
	fl.mu.Unlock()
	handle(from.peer, payload)
}

// call reports whether a call to another node gets through.
func (x *fakeNode) call(ctx context.Context, to netip.AddrPort, size int) (*fakeNode, error) {
	x.accountCall(size)
	x.awaitGate()
	fl := x.fleet
	fl.mu.Lock()
	other := fl.byPeer[to]
	delay := fl.maxDelay + fl.retransmissions(time.Second) + fl.retransmissions(200*time.Millisecond)
	lost := other == nil || other.dead || other.frozen() || fl.cut(x, other) || fl.cut(other, x)
	fl.mu.Unlock()
	if deadline, ok := ctx.Deadline(); !lost && (!ok || time.Until(deadline) > delay) {
		time.Sleep(delay)
		return other, nil
	}
	<-ctx.Done()
	x.awaitGate()
	return nil, ctx.Err()
}

// retransmissions returns how long TCP takes to make up for what is lost of one
// exchange of segments, whose first timeout is given and doubles each time.
func (fl *fleet) retransmissions(timeout time.Duration) time.Duration {
	var delay time.Duration
	for through := (1 - fl.loss) * (1 - fl.loss); fl.random.Float64() >= through; timeout *= 2 {
		delay += timeout
	}
	return delay
}

// Compare implements Client.
func (x *fakeNode) Compare(ctx context.Context, to netip.AddrPort, req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error) {
	other, err := x.call(ctx, to, compressedSize(req)+callOverhead)
	if err != nil {
		return nil, err
	}
	resp, err := other.gossiper().ServeCompare(req)
	if err == nil {
		other.accountCall(compressedSize(resp) + callOverhead)
	}
	x.awaitGate()
	return resp, err
}

// Reconcile implements Client.
func (x *fakeNode) Reconcile(ctx context.Context, to netip.AddrPort, req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	other, err := x.call(ctx, to, compressedSize(req)+callOverhead)
	if err != nil {
		return nil, err
	}
	resp, err := other.gossiper().ServeReconcile(req)
	if err == nil {
		other.accountCall(compressedSize(resp) + callOverhead)
	}
	x.awaitGate()
	return resp, err
}

// gossiper returns the gossiper of the node's present life.
func (x *fakeNode) gossiper() *Gossiper {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return x.Gossiper
}

func (x *fakeNode) accountCall(n int) {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	x.account(n)
}

// state returns what the node believes about another.
func (x *fakeNode) state(of *fakeNode) registrar.State {
	if in := x.View().Instance(fmt.Sprintf("node-%d", of.index)); in != nil {
		return in.State()
	}
	return 0
}

// reach waits in fake time until all nodes fulfil the condition, and returns
// how many did within the bound.
func (fl *fleet) reach(bound time.Duration, nodes []*fakeNode, condition func(*fakeNode) bool) int {
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		done := 0
		for _, x := range nodes {
			if condition(x) {
				done++
			}
		}
		if done == len(nodes) || time.Since(start) > bound {
			return done
		}
	}
}

// await fails the test if not all nodes fulfil the condition within the bound.
func (fl *fleet) await(what string, bound time.Duration, nodes []*fakeNode, condition func(*fakeNode) bool) {
	fl.t.Helper()
	done := fl.reach(bound, nodes, condition)
	assert.Equal(fl.t, done, len(nodes), "%s: nodes within %v", what, bound)
}

func (x *fakeNode) versionNumber() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.version.GetNumber()
}

// awaitState waits until all observers believe that a node is in a state.
func (fl *fleet) awaitState(observers []*fakeNode, of *fakeNode, bound time.Duration, states ...registrar.State) {
	fl.t.Helper()
	fl.await(fmt.Sprintf("node-%d in state %v", of.index, states), bound, observers, func(x *fakeNode) bool {
		for _, s := range states {
			if x.state(of) == s {
				return true
			}
		}
		return false
	})
}

// assertHealthy checks that no view showed a live node as failed and that no
// node exceeded its budget, which is one second's bytes in a burst.
func (fl *fleet) assertHealthy() {
	fl.t.Helper()
	fl.change(func() {
		for _, x := range fl.nodes {
			assert.Check(fl.t, len(x.failures) == 0, "node-%d saw %v failed", x.index, x.failures)
		}
	})
	fl.assertBudget()
}

func (fl *fleet) assertBudget() {
	fl.t.Helper()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, x := range fl.nodes {
		assert.Assert(fl.t, x.overrun < DefaultBytesPerSecond+1, "node-%d: %v bytes at once", x.index, x.overrun)
	}
}

// without returns all nodes but the given ones.
func (fl *fleet) without(out ...*fakeNode) []*fakeNode {
	var rest []*fakeNode
	for _, x := range fl.nodes {
		keep := true
		for _, o := range out {
			keep = keep && x != o
		}
		if keep {
			rest = append(rest, x)
		}
	}
	return rest
}
