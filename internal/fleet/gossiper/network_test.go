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
	"github.com/banyanscale/banyanscale/internal/fleet/distributor"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// seedStartAllowance is the start allowance of seeds, in bytes.
const seedStartAllowance = 512 << 10

// fleet is a set of gossipers on a simulated network in fake time.
type fleet struct {
	t         testing.TB
	mu        sync.Mutex // Guards the fields below.
	random    *rand.Rand
	nodes     []*fakeNode
	byPeer    map[netip.AddrPort]*fakeNode
	loss      float64 // Probability that a datagram or a TCP segment is lost.
	duplicate bool
	maxDelay  time.Duration // Longest delay of a datagram.
	blocked   func(from, to *fakeNode) bool
	current   *controlwire.Version // The latest accepted version; nil without distribution.
	// freezing is held for reading while a node that is not frozen handles a message, so
	// that it cannot freeze meanwhile. Otherwise the handler could wait for the mutex of
	// a frozen node, which stops fake time. It is not held together with mu by a writer.
	freezing sync.RWMutex
}

// fakeNode is one gossiper with its transport and client.
type fakeNode struct {
	*Gossiper
	fleet       *fleet
	index       int
	peer        netip.AddrPort
	handler     courier.Handler
	unfrozen    chan struct{} // Closed unless the node is frozen.
	dead        bool
	incarnation uint64   // The latest incarnation.
	inbox       []func() // Datagrams that arrived while the node was frozen.
	// allowanceLeft is what is left of the start allowance.
	allowanceLeft int
	level         float64 // Level of a leaky bucket for the bytes sent.
	levelAt       time.Time
	peakLevel     float64
	sent          int         // Bytes sent since the last reset.
	messages      int         // Messages sent since the last reset.
	falseFailures map[int]int // Views that showed a live node as failed, by its index.

	distributor *distributor.Distributor // Nil without distribution.
	published   []uint64                 // Numbers of the versions published, across restarts.
}

// runFleet runs f in fake time with a fleet of n nodes that know each other.
func runFleet(t *testing.T, n int, seed uint64, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, seed)
		for range n {
			fl.add(registrar.StateReady)
		}
		fl.await("all joined", 60*time.Second, fl.nodes, func(node *fakeNode) bool { return node.View().Len() == n })
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
		for _, node := range fl.nodes {
			node.kill()
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
	node := &fakeNode{fleet: fl, index: i, falseFailures: make(map[int]int), peer: peerAddress(i)}
	fl.withLock(func() { fl.nodes = append(fl.nodes, node) })
	node.start(state)
	return node
}

// start starts or restarts the node with a new incarnation.
func (node *fakeNode) start(state registrar.State) {
	fl := node.fleet
	fl.mu.Lock()
	node.unfrozen = make(chan struct{})
	close(node.unfrozen)
	node.dead = false
	node.level = 0 // Each process has a budget of its own.
	node.allowanceLeft = node.startAllowance()
	node.incarnation = uint64(time.Now().UnixMilli())
	fl.byPeer[node.peer] = node
	seed := fl.random.Uint64()
	fl.mu.Unlock()
	var seeds []netip.AddrPort
	for _, s := range fl.nodes[:min(2, len(fl.nodes))] {
		if s != node {
			seeds = append(seeds, s.peer)
		}
	}
	node.distributor = fl.newDistributor(node)
	g := New(Config{
		Instance: registrar.Spec{
			ID: fmt.Sprintf("node-%d", node.index), State: state, Service: "vitrina", Owner: "oaxaca", Site: "oaxaca",
			Region: "sur", FailureDomain: "oax-centro", HTTP: node.peer, Peer: node.peer, Slots: 6, Connections: 240,
		},
		StartAllowance: node.startAllowance(),
		Seeds:          seeds, Transport: node, Client: node,
		OnView: node.countFalseFailures,
		OnVersion: func(from netip.AddrPort, v *controlwire.VersionDigest) {
			if node.distributor != nil {
				node.distributor.ObserveVersion(from, v)
				return
			}
			node.SetVersion(v)
		},
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(seed, 0)),
	})
	fl.withLock(func() { node.Gossiper = g })
	g.Start()
	if node.distributor != nil {
		node.distributor.Start()
	}
}

// startAllowance returns the start allowance of the node, which is greater for a seed.
func (node *fakeNode) startAllowance() int {
	if node.index < 2 {
		return seedStartAllowance
	}
	return DefaultStartAllowance
}

// countFalseFailures counts the running nodes that a view shows as failed.
func (node *fakeNode) countFalseFailures(v *registrar.View) {
	for _, in := range v.Instances() {
		if in.State() != registrar.StateFailed {
			continue
		}
		node.fleet.mu.Lock()
		other := node.fleet.byPeer[in.Peer()]
		node.fleet.mu.Unlock()
		if other != nil && other.runsUpTo(in.Incarnation()) {
			node.fleet.withLock(func() { node.falseFailures[other.index]++ })
		}
	}
}

// runsUpTo reports whether the node is running and its incarnation is at most the given
// one.
func (node *fakeNode) runsUpTo(incarnation uint64) bool {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	return !node.dead && node.incarnation <= incarnation
}

// kill stops the node without an announcement.
func (node *fakeNode) kill() {
	node.fleet.mu.Lock()
	dead := node.dead
	node.dead = true
	node.fleet.mu.Unlock()
	if dead {
		return
	}
	assert.Check(node.fleet.t, node.Stop())
	if node.distributor != nil {
		assert.Check(node.fleet.t, node.distributor.Stop())
	}
}

// freeze suspends the node for d. Datagrams sent to it are delivered afterwards.
func (node *fakeNode) freeze(d time.Duration) {
	node.fleet.freezing.Lock()
	node.fleet.withLock(func() { node.unfrozen = make(chan struct{}) })
	node.fleet.freezing.Unlock()
	time.Sleep(d)
	node.fleet.mu.Lock()
	close(node.unfrozen)
	inbox := node.inbox
	node.inbox = nil
	node.fleet.mu.Unlock()
	for _, deliver := range inbox {
		deliver()
	}
}

// awaitUnfrozen blocks while the node is frozen.
func (node *fakeNode) awaitUnfrozen() {
	node.fleet.mu.Lock()
	unfrozen := node.unfrozen
	node.fleet.mu.Unlock()
	<-unfrozen
}

func (node *fakeNode) frozen() bool {
	node.fleet.mu.Lock()
	unfrozen := node.unfrozen
	node.fleet.mu.Unlock()
	return isFrozen(unfrozen)
}

// frozenLocked is like frozen. The caller holds the lock of the fleet.
func (node *fakeNode) frozenLocked() bool { return isFrozen(node.unfrozen) }

func isFrozen(unfrozen chan struct{}) bool {
	select {
	case <-unfrozen:
		return false
	default:
		return true
	}
}

// Handle implements Transport.
func (node *fakeNode) Handle(_ courier.Kind, h courier.Handler) {
	node.fleet.withLock(func() { node.handler = h })
}

// Send implements Transport.
func (node *fakeNode) Send(_ courier.Kind, to netip.AddrPort, payload []byte) error {
	node.charge(len(payload) + courier.Overhead)
	node.awaitUnfrozen()
	fl := node.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	assert.Check(fl.t, len(payload) <= courier.MaxPayload)
	copies := 1
	if fl.duplicate {
		copies = 2
	}
	for range copies {
		if fl.random.Float64() >= fl.loss {
			time.AfterFunc(time.Duration(fl.random.Int64N(int64(fl.maxDelay))), func() { fl.deliver(node, to, payload) })
		}
	}
	return nil
}

// chargeLocked counts a message of n bytes and adds it to the leaky bucket that checks
// the budget. The caller holds the lock of the fleet.
func (node *fakeNode) chargeLocked(n int) {
	now := time.Now()
	node.level = max(0, node.level-now.Sub(node.levelAt).Seconds()*DefaultBytesPerSecond) + float64(n)
	if excess := min(int(node.level)-DefaultBytesPerSecond, node.allowanceLeft); excess > 0 {
		node.allowanceLeft -= excess
		node.level -= float64(excess)
	}
	node.levelAt = now
	node.peakLevel = max(node.peakLevel, node.level)
	node.sent += n
	node.messages++
}

// deliver passes a datagram to the node at an address, unless it is blocked or lost.
func (fl *fleet) deliver(from *fakeNode, to netip.AddrPort, payload []byte) {
	fl.freezing.RLock()
	defer fl.freezing.RUnlock()
	fl.mu.Lock()
	node := fl.byPeer[to]
	if node == nil || node.dead || fl.blocked(from, node) {
		fl.mu.Unlock()
		return
	}
	handle := node.handler
	if node.frozenLocked() {
		node.inbox = append(node.inbox, func() { handle(from.peer, payload) })
		fl.mu.Unlock()
		return
	}
	fl.mu.Unlock()
	handle(from.peer, payload)
}

// call simulates a call of size bytes over TCP. It returns the called node, or an error
// once ctx ends if the call does not arrive in time.
func (node *fakeNode) call(ctx context.Context, to netip.AddrPort, size int) (*fakeNode, error) {
	node.charge(size)
	node.awaitUnfrozen()
	fl := node.fleet
	fl.mu.Lock()
	other := fl.byPeer[to]
	delay := fl.maxDelay + fl.retransmissionDelay(time.Second) + fl.retransmissionDelay(200*time.Millisecond)
	lost := other == nil || other.dead || other.frozenLocked() || fl.blocked(node, other) || fl.blocked(other, node)
	fl.mu.Unlock()
	if deadline, ok := ctx.Deadline(); !lost && (!ok || time.Until(deadline) > delay) {
		time.Sleep(delay)
		return other, nil
	}
	<-ctx.Done()
	node.awaitUnfrozen()
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
func (node *fakeNode) Compare(ctx context.Context, to netip.AddrPort, req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error) {
	other, err := node.call(ctx, to, compressedSize(req)+callOverhead)
	if err != nil {
		return nil, err
	}
	var resp *gossipwire.CompareResponse
	err = other.serve(ctx, func(g *Gossiper) error {
		resp, err = g.ServeCompare(req)
		return err
	})
	if err == nil {
		other.charge(compressedSize(resp) + callOverhead)
	}
	node.awaitUnfrozen()
	return resp, err
}

// Reconcile implements Client.
func (node *fakeNode) Reconcile(ctx context.Context, to netip.AddrPort, req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	other, err := node.call(ctx, to, compressedSize(req)+callOverhead)
	if err != nil {
		return nil, err
	}
	var resp *gossipwire.ReconcileResponse
	err = other.serve(ctx, func(g *Gossiper) error {
		resp, err = g.ServeReconcile(req)
		return err
	})
	if err == nil {
		other.charge(compressedSize(resp) + callOverhead)
	}
	node.awaitUnfrozen()
	return resp, err
}

// serve lets the node serve a call, unless it froze while the call was on its way. It
// then returns an error once ctx ends.
func (node *fakeNode) serve(ctx context.Context, f func(*Gossiper) error) error {
	node.fleet.freezing.RLock()
	if !node.frozen() {
		defer node.fleet.freezing.RUnlock()
		return f(node.currentGossiper())
	}
	node.fleet.freezing.RUnlock()
	<-ctx.Done()
	return ctx.Err()
}

// currentGossiper returns the gossiper of the node's latest start.
func (node *fakeNode) currentGossiper() *Gossiper {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	return node.Gossiper
}

// charge calls chargeLocked with the lock of the fleet.
func (node *fakeNode) charge(n int) {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	node.chargeLocked(n)
}

// state returns the state of another node in this node's view, or 0 if it has none.
func (node *fakeNode) state(other *fakeNode) registrar.State {
	if in := node.View().Instance(fmt.Sprintf("node-%d", other.index)); in != nil {
		return in.State()
	}
	return 0
}

// waitCount waits in fake time until all nodes meet the condition or the bound passes,
// and returns how many meet it.
func (fl *fleet) waitCount(bound time.Duration, nodes []*fakeNode, condition func(*fakeNode) bool) int {
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		done := 0
		for _, node := range nodes {
			if condition(node) {
				done++
			}
		}
		if done == len(nodes) || time.Since(start) > bound {
			return done
		}
	}
}

// await fails the test unless all nodes meet the condition within the bound.
func (fl *fleet) await(description string, bound time.Duration, nodes []*fakeNode, condition func(*fakeNode) bool) {
	fl.t.Helper()
	done := fl.waitCount(bound, nodes, condition)
	assert.Equal(fl.t, done, len(nodes), "%s: number of nodes within %v", description, bound)
}

func (node *fakeNode) versionNumber() uint64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.version.GetNumber()
}

// awaitState waits until the views of all observers show a node in one of the states.
func (fl *fleet) awaitState(observers []*fakeNode, subject *fakeNode, bound time.Duration, states ...registrar.State) {
	fl.t.Helper()
	fl.await(fmt.Sprintf("node-%d in state %v", subject.index, states), bound, observers, func(node *fakeNode) bool {
		for _, s := range states {
			if node.state(subject) == s {
				return true
			}
		}
		return false
	})
}

// assertNoViolations checks that no view showed a running node as failed and that no node
// exceeded its budget.
func (fl *fleet) assertNoViolations() {
	fl.t.Helper()
	fl.withLock(func() {
		for _, node := range fl.nodes {
			assert.Check(fl.t, len(node.falseFailures) == 0, "node-%d showed running nodes as failed: %v", node.index, node.falseFailures)
		}
	})
	fl.assertBudget()
}

// assertBudget checks that no node exceeded its budget, which allows bursts of the bytes
// of one second, and the start allowance once.
func (fl *fleet) assertBudget() {
	fl.t.Helper()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, node := range fl.nodes {
		assert.Assert(fl.t, node.peakLevel < DefaultBytesPerSecond+1, "node-%d: burst of %v bytes", node.index, node.peakLevel)
	}
}

// allExcept returns all nodes except the given ones.
func (fl *fleet) allExcept(excluded ...*fakeNode) []*fakeNode {
	var rest []*fakeNode
	for _, node := range fl.nodes {
		keep := true
		for _, other := range excluded {
			keep = keep && node != other
		}
		if keep {
			rest = append(rest, node)
		}
	}
	return rest
}
