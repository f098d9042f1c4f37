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

// fleet is a set of gossipers on a simulated network in fake time.
type fleet struct {
	t         testing.TB
	mu        sync.Mutex // Guards the fields below.
	random    *rand.Rand
	nodes     []*fakeNode
	byPeer    map[netip.AddrPort]*fakeNode
	loss      float64
	duplicate bool
	maxDelay  time.Duration
	blocked   func(from, to *fakeNode) bool
	current   *controlwire.Version // The latest accepted version; nil without distribution.
}

// fakeNode is one gossiper with its transport and client.
type fakeNode struct {
	*Gossiper
	fleet         *fleet
	index         int
	peer          netip.AddrPort
	handler       courier.Handler
	unfrozen      chan struct{} // Closed unless the node is frozen.
	dead          bool
	incarnation   uint64   // The latest incarnation.
	inbox         []func() // Datagrams that arrived while the node was frozen.
	level         float64  // Level of a leaky bucket for the bytes sent.
	levelAt       time.Time
	peakLevel     float64
	sent          int         // Bytes sent since the last reset.
	messages      int         // Messages sent since the last reset.
	falseFailures map[int]int // Views that showed a live node as failed, by its index.

	distributor *distributor.Distributor // Nil without distribution.
	published   []uint64
}

// runFleet runs f in fake time with a fleet of n nodes that know each other.
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
		blocked: func(_, _ *fakeNode) bool { return false },
	}
	t.Cleanup(func() {
		for _, x := range fl.nodes {
			x.kill()
		}
	})
	return fl
}

// withLock calls f while it holds the lock of the fleet.
func (fl *fleet) withLock(f func()) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	f()
}

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// add starts a new node.
func (fl *fleet) add(state registrar.State) *fakeNode {
	i := len(fl.nodes)
	x := &fakeNode{fleet: fl, index: i, falseFailures: make(map[int]int), peer: peerAddress(i)}
	fl.withLock(func() { fl.nodes = append(fl.nodes, x) })
	x.start(state)
	return x
}

// start starts or restarts the node with a new incarnation.
func (x *fakeNode) start(state registrar.State) {
	fl := x.fleet
	fl.mu.Lock()
	x.unfrozen = make(chan struct{})
	close(x.unfrozen)
	x.dead = false
	x.level = 0 // Each process has a budget of its own.
	x.incarnation = uint64(time.Now().UnixMilli())
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
		OnView: x.countFalseFailures,
		OnVersion: func(from netip.AddrPort, v *controlwire.VersionDigest) {
			if x.distributor != nil {
				x.distributor.ObserveVersion(from, v)
				return
			}
			x.SetVersion(v)
		},
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(seed, 0)),
	})
	fl.withLock(func() { x.Gossiper = g })
	g.Start()
	if x.distributor != nil {
		x.distributor.Start()
	}
}

// countFalseFailures counts the running nodes that a view shows as failed.
func (x *fakeNode) countFalseFailures(v *registrar.View) {
	for _, in := range v.Instances() {
		if in.State() != registrar.StateFailed {
			continue
		}
		x.fleet.mu.Lock()
		other := x.fleet.byPeer[in.Peer()]
		x.fleet.mu.Unlock()
		if other.runs(in.Incarnation()) {
			x.fleet.withLock(func() { x.falseFailures[other.index]++ })
		}
	}
}

// runs reports whether the node is running and its incarnation is at most the given one.
func (x *fakeNode) runs(incarnation uint64) bool {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return !x.dead && x.incarnation <= incarnation
}

// kill stops the node without an announcement.
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

// freeze suspends the node for d. Datagrams sent to it are delivered afterwards.
func (x *fakeNode) freeze(d time.Duration) {
	x.fleet.mu.Lock()
	x.unfrozen = make(chan struct{})
	x.fleet.mu.Unlock()
	time.Sleep(d)
	x.fleet.mu.Lock()
	close(x.unfrozen)
	inbox := x.inbox
	x.inbox = nil
	x.fleet.mu.Unlock()
	for _, deliver := range inbox {
		deliver()
	}
}

// awaitUnfrozen blocks while the node is frozen.
func (x *fakeNode) awaitUnfrozen() {
	x.fleet.mu.Lock()
	unfrozen := x.unfrozen
	x.fleet.mu.Unlock()
	<-unfrozen
}

func (x *fakeNode) frozen() bool {
	select {
	case <-x.unfrozen:
		return false
	default:
		return true
	}
}

// Handle implements Transport.
func (x *fakeNode) Handle(_ courier.Kind, h courier.Handler) {
	x.fleet.withLock(func() { x.handler = h })
}

// Send implements Transport.
func (x *fakeNode) Send(_ courier.Kind, to netip.AddrPort, payload []byte) error {
	x.charge(len(payload) + courier.Overhead)
	x.awaitUnfrozen()
	fl := x.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	assert.Check(fl.t, len(payload) <= courier.MaxPayload)
	copies := 1
	if fl.duplicate {
		copies = 2
	}
	for range copies {
		if fl.random.Float64() >= fl.loss {
			time.AfterFunc(time.Duration(fl.random.Int64N(int64(fl.maxDelay))), func() { fl.deliver(x, to, payload) })
		}
	}
	return nil
}

// chargeLocked adds n sent bytes to the leaky bucket that checks the budget.
func (x *fakeNode) chargeLocked(n int) {
	now := time.Now()
	x.level = max(0, x.level-now.Sub(x.levelAt).Seconds()*DefaultBytesPerSecond) + float64(n)
	x.levelAt = now
	x.peakLevel = max(x.peakLevel, x.level)
	x.sent += n
	x.messages++
}

// deliver passes a datagram to the node at an address, unless it is blocked or lost.
func (fl *fleet) deliver(from *fakeNode, to netip.AddrPort, payload []byte) {
	fl.mu.Lock()
	x := fl.byPeer[to]
	if x == nil || x.dead || fl.blocked(from, x) {
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

// call simulates the network of a call over TCP. It returns the called node, or an error
// once ctx ends if the call does not arrive in time.
func (x *fakeNode) call(ctx context.Context, to netip.AddrPort, size int) (*fakeNode, error) {
	x.charge(size)
	x.awaitUnfrozen()
	fl := x.fleet
	fl.mu.Lock()
	other := fl.byPeer[to]
	delay := fl.maxDelay + fl.retransmissionDelay(time.Second) + fl.retransmissionDelay(200*time.Millisecond)
	lost := other == nil || other.dead || other.frozen() || fl.blocked(x, other) || fl.blocked(other, x)
	fl.mu.Unlock()
	if deadline, ok := ctx.Deadline(); !lost && (!ok || time.Until(deadline) > delay) {
		time.Sleep(delay)
		return other, nil
	}
	<-ctx.Done()
	x.awaitUnfrozen()
	return nil, ctx.Err()
}

// retransmissionDelay returns how long TCP takes to retransmit the lost segments of one
// round trip. The given timeout doubles with each retransmission.
func (fl *fleet) retransmissionDelay(timeout time.Duration) time.Duration {
	var delay time.Duration
	for delivered := (1 - fl.loss) * (1 - fl.loss); fl.random.Float64() >= delivered; timeout *= 2 {
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
	resp, err := other.currentGossiper().ServeCompare(req)
	if err == nil {
		other.charge(compressedSize(resp) + callOverhead)
	}
	x.awaitUnfrozen()
	return resp, err
}

// Reconcile implements Client.
func (x *fakeNode) Reconcile(ctx context.Context, to netip.AddrPort, req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	other, err := x.call(ctx, to, compressedSize(req)+callOverhead)
	if err != nil {
		return nil, err
	}
	resp, err := other.currentGossiper().ServeReconcile(req)
	if err == nil {
		other.charge(compressedSize(resp) + callOverhead)
	}
	x.awaitUnfrozen()
	return resp, err
}

// currentGossiper returns the gossiper of the node's latest start.
func (x *fakeNode) currentGossiper() *Gossiper {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return x.Gossiper
}

// charge is chargeLocked for callers that do not hold the lock of the fleet.
func (x *fakeNode) charge(n int) {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	x.chargeLocked(n)
}

// state returns the state of another node in this node's view, or 0 if it has none.
func (x *fakeNode) state(other *fakeNode) registrar.State {
	if in := x.View().Instance(fmt.Sprintf("node-%d", other.index)); in != nil {
		return in.State()
	}
	return 0
}

// waitCount waits in fake time until all nodes fulfil the condition or the bound passes,
// and returns how many fulfil it.
func (fl *fleet) waitCount(bound time.Duration, nodes []*fakeNode, condition func(*fakeNode) bool) int {
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

// await fails the test unless all nodes fulfil the condition within the bound.
func (fl *fleet) await(description string, bound time.Duration, nodes []*fakeNode, condition func(*fakeNode) bool) {
	fl.t.Helper()
	done := fl.waitCount(bound, nodes, condition)
	assert.Equal(fl.t, done, len(nodes), "%s: nodes within %v", description, bound)
}

func (x *fakeNode) versionNumber() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.version.GetNumber()
}

// awaitState waits until the views of all observers show a node in one of the states.
func (fl *fleet) awaitState(observers []*fakeNode, subject *fakeNode, bound time.Duration, states ...registrar.State) {
	fl.t.Helper()
	fl.await(fmt.Sprintf("node-%d in state %v", subject.index, states), bound, observers, func(x *fakeNode) bool {
		for _, s := range states {
			if x.state(subject) == s {
				return true
			}
		}
		return false
	})
}

// assertHealthy checks that no view showed a running node as failed and that no node
// exceeded its budget.
func (fl *fleet) assertHealthy() {
	fl.t.Helper()
	fl.withLock(func() {
		for _, x := range fl.nodes {
			assert.Check(fl.t, len(x.falseFailures) == 0, "node-%d showed running nodes as failed: %v", x.index, x.falseFailures)
		}
	})
	fl.assertBudget()
}

// assertBudget checks that no node exceeded its budget, which allows bursts of the bytes
// of one second.
func (fl *fleet) assertBudget() {
	fl.t.Helper()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, x := range fl.nodes {
		assert.Assert(fl.t, x.peakLevel < DefaultBytesPerSecond+1, "node-%d: burst of %v bytes", x.index, x.peakLevel)
	}
}

// allExcept returns all nodes except the given ones.
func (fl *fleet) allExcept(excluded ...*fakeNode) []*fakeNode {
	var rest []*fakeNode
	for _, x := range fl.nodes {
		keep := true
		for _, o := range excluded {
			keep = keep && x != o
		}
		if keep {
			rest = append(rest, x)
		}
	}
	return rest
}
