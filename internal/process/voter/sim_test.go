package voter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

var errUnreachable = errors.New("unreachable")

// disk stands for a journal's file. It outlives its process.
type disk struct {
	mu       sync.Mutex
	synced   [][]byte
	unsynced [][]byte
	bytes    int64
	writes   int
	fail     func() (kept bool, err error) // Decides on an Append; nil for success.
}

// handle is a disk as opened by one process.
type handle struct {
	*disk
	records [][]byte
	err     error
	dead    atomic.Bool // Set when the process has ended.
}

// open returns the disk as a new process finds it; nothing unsynced is left.
func (d *disk) open() *handle {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsynced, d.fail = nil, nil
	return &handle{disk: d, records: d.synced}
}

// count returns how many appends were made durable.
func (d *disk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes
}

func (h *handle) Records() [][]byte { return h.records }
func (h *handle) Appended() int64   { h.mu.Lock(); defer h.mu.Unlock(); return h.bytes }

func (h *handle) Append(records ...[]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead.Load() {
		return errUnreachable
	}
	kept, err := true, h.err
	if err == nil && h.fail != nil {
		kept, err = h.fail()
	}
	if err != nil && !errors.Is(err, journaler.ErrDiskFull) {
		kept = kept && h.err == nil
		h.err = err
	}
	if kept {
		h.synced = append(append(h.synced, h.unsynced...), records...)
		h.unsynced = nil
		h.writes++
		for _, r := range records {
			h.bytes += int64(len(r))
		}
	}
	return err
}

func (h *handle) AppendUnsynced(records ...[]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil && !h.dead.Load() {
		h.unsynced = append(h.unsynced, records...)
	}
	return h.err
}

func (h *handle) Rewrite(records [][]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil && !h.dead.Load() {
		h.synced, h.unsynced, h.bytes = records, nil, 0
	}
	return h.err
}

// link is a direction between two instances.
type link struct{ from, to string }

// instance is one control instance of the simulation.
type instance struct {
	address string
	disk    *disk
	handle  *handle
	voter   *voter.Voter  // Nil while crashed.
	frozen  chan struct{} // Closed at the thaw; nil unless frozen.
	seen    uint64        // The newest version that OnVersion told.

	disturbed bool // True while a fault is under way.
}

// cluster is a set of instances and the network between them.
type cluster struct {
	t         testing.TB
	initial   []string
	sources   []string // Where instances may fetch the state from, besides initial.
	tolerated int

	mu        sync.Mutex
	random    *rand.Rand
	instances map[string]*instance
	cut       map[link]bool
	drop      float64       // Share of messages that are lost.
	double    float64       // Share of requests that arrive twice.
	delay     time.Duration // Upper bound of a message's time on its way.
	steady    bool          // Every message takes this time.
	filter    func(to string, req proto.Message) error
	bytes     int64
}

func newCluster(t testing.TB, seed uint64, n int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), instances: make(map[string]*instance),
		cut: make(map[link]bool), delay: time.Millisecond,
	}
	for i := range n {
		c.initial = append(c.initial, fmt.Sprintf("v%d", i))
	}
	for _, address := range c.initial {
		c.add(address)
	}
	t.Cleanup(c.stop)
	return c
}

// add starts an instance with an empty disk.
func (c *cluster) add(address string) {
	c.mu.Lock()
	c.instances[address] = &instance{address: address, disk: &disk{}}
	c.mu.Unlock()
	c.start(address)
}

// start starts a crashed instance on its disk.
func (c *cluster) start(address string) {
	c.t.Helper()
	c.mu.Lock()
	in := c.instances[address]
	seed := c.random.Uint64()
	c.mu.Unlock()
	handle := in.disk.open()
	v, err := voter.New(voter.Config{
		Address: address, Initial: c.initial, Sources: func() []string { return c.sources }, Tolerated: c.tolerated, Journal: handle,
		Transport: &simTransport{cluster: c, from: address, handle: handle},
		Digest:    digest, Random: rand.New(rand.NewPCG(seed, 2)),
		OnVersion: func(version *controlwire.Version) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if handle == in.handle {
				assert.Check(c.t, version.GetDigest().GetNumber() > in.seen, "version went back")
				in.seen = version.GetDigest().GetNumber()
			}
		},
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	assert.NilError(c.t, err)
	c.mu.Lock()
	in.voter, in.handle, in.seen = v, handle, 0
	c.mu.Unlock()
	v.Start()
}

// kill ends an instance at once and returns what is left to stop. Its disk
// keeps what was synced.
func (c *cluster) kill(address string) *voter.Voter {
	c.mu.Lock()
	in := c.instances[address]
	v, h := in.voter, in.handle
	in.voter, in.handle = nil, nil
	if in.frozen != nil {
		close(in.frozen)
		in.frozen = nil
	}
	c.mu.Unlock()
	if h != nil {
		h.dead.Store(true)
	}
	return v
}

// crash kills an instance and waits for its goroutines.
func (c *cluster) crash(address string) {
	if v := c.kill(address); v != nil {
		assert.Check(c.t, v.Stop())
	}
}

// lose crashes an instance and returns it with an empty disk.
func (c *cluster) lose(address string) {
	c.crash(address)
	c.mu.Lock()
	c.instances[address].disk = &disk{}
	c.mu.Unlock()
	c.start(address)
}

func (c *cluster) stop() {
	for _, address := range c.addresses() {
		c.crash(address)
	}
	time.Sleep(10 * time.Second) // Lets what is on its way come to its end.
}

// setSteady makes every message take the same time.
func (c *cluster) setSteady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steady = true
}

func (c *cluster) setFilter(filter func(to string, req proto.Message) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filter = filter
}

func (c *cluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for i := range len(c.instances) {
		list = append(list, fmt.Sprintf("v%d", i))
	}
	return list
}

func (c *cluster) voter(address string) *voter.Voter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[address].voter
}

func (c *cluster) freeze(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in := c.instances[address]; in.frozen == nil {
		in.frozen = make(chan struct{})
	}
}

func (c *cluster) thaw(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in := c.instances[address]; in.frozen != nil {
		close(in.frozen)
		in.frozen = nil
	}
}

// isolate cuts an instance off in the given directions.
func (c *cluster) isolate(address string, in, out bool) {
	for _, other := range c.addresses() {
		c.mu.Lock()
		c.cut[link{other, address}] = in
		c.cut[link{address, other}] = out
		c.mu.Unlock()
	}
}

// simTransport reaches instances through the simulated network.
type simTransport struct {
	cluster *cluster
	from    string
	handle  *handle // Tells apart the starts of an instance.
}

func (tr *simTransport) Peer(address string) voter.Peer { return &simPeer{tr, address} }

type simPeer struct {
	*simTransport
	to string
}

func (p *simPeer) Query(ctx context.Context, req *voterwire.QueryRequest) (*voterwire.QueryResponse, error) {
	return send(ctx, p, req, voter.Peer.Query)
}

func (p *simPeer) FetchState(ctx context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error) {
	return send(ctx, p, req, voter.Peer.FetchState)
}

func (p *simPeer) Reserve(ctx context.Context, req *voterwire.ReserveRequest) (*voterwire.ReserveResponse, error) {
	return send(ctx, p, req, voter.Peer.Reserve)
}

func (p *simPeer) Prepare(ctx context.Context, req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error) {
	return send(ctx, p, req, voter.Peer.Prepare)
}

func (p *simPeer) Accept(ctx context.Context, req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error) {
	return send(ctx, p, req, voter.Peer.Accept)
}

// send carries a request there and its answer back. What is on its way arrives
// also after the sender has stopped to wait for it.
func send[Req, Resp proto.Message](ctx context.Context, p *simPeer, req Req, method func(voter.Peer, context.Context, Req) (Resp, error)) (Resp, error) {
	type result struct {
		resp Resp
		err  error
	}
	results := make(chan result, 2)
	req = proto.Clone(req).(Req) // The sender may change its own.
	deliver := func() {
		if !p.cluster.travel(p.from, p.to, p.handle) {
			return
		}
		v := p.cluster.voter(p.to)
		if v == nil {
			results <- result{err: errUnreachable}
			return
		}
		resp, err := method(v.Peer(), context.Background(), proto.Clone(req).(Req))
		if p.cluster.travel(p.to, p.from, nil) {
			results <- result{resp, err}
		}
	}
	if err := p.cluster.screen(p.to, req); err != nil {
		var none Resp
		return none, err
	}
	go deliver()
	if p.cluster.doubles() {
		go deliver()
	}
	select {
	case <-ctx.Done():
		var none Resp
		return none, ctx.Err()
	case r := <-results:
		return r.resp, r.err
	}
}

// screen lets a test refuse a message, and counts its bytes.
func (c *cluster) screen(to string, req proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += int64(proto.Size(req))
	if c.filter == nil {
		return nil
	}
	return c.filter(to, req)
}

// doubles decides whether a request arrives twice.
func (c *cluster) doubles() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.double
}

// travel waits while a message is on its way, and reports whether it arrives.
// Faults of either end that begin meanwhile count.
func (c *cluster) travel(from, to string, sender *handle) bool {
	c.mu.Lock()
	delay := c.delay
	if !c.steady {
		delay = time.Duration(c.random.Int64N(int64(c.delay) + 1))
	}
	lost := c.random.Float64() < c.drop
	c.mu.Unlock()
	time.Sleep(delay)
	for _, address := range []string{from, to} {
		c.mu.Lock()
		frozen := c.instances[address].frozen
		c.mu.Unlock()
		if frozen != nil {
			<-frozen
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !lost && !c.cut[link{from, to}] && (sender == nil || c.instances[from].handle == sender)
}

// simulate runs a test in fake time on a group of n voters that has formed.
func simulate(t *testing.T, seed uint64, n int, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, n)
		awaitGroup(t, c.voter("v0"))
		time.Sleep(2 * time.Second)
		test(t, c)
	})
}

// change returns a submission that sets one entry.
func change(id string, replaces uint64) *controlwire.SubmitRequest {
	return &controlwire.SubmitRequest{ChangeId: id, Replaces: replaces, Document: document("service x", "note", id)}
}

func assertAccepted(t testing.TB, v *voter.Voter, req *controlwire.SubmitRequest, version uint64) {
	t.Helper()
	resp, err := v.Submit(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, resp.GetResult(), controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED, "conflict with %v", resp.GetWinner())
	assert.Equal(t, resp.GetVersion(), version)
}

func assertConflict(t testing.TB, v *voter.Voter, req *controlwire.SubmitRequest, winner string) {
	t.Helper()
	resp, err := v.Submit(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, resp.GetResult(), controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT)
	assert.Equal(t, resp.GetWinner().GetChangeId(), winner)
}

func assertCurrent(t testing.TB, v *voter.Voter, version uint64) {
	t.Helper()
	state, err := v.Current(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, state.Version().GetDigest().GetNumber(), version)
}

// assertStale checks that an instance without a majority says so in time.
func assertStale(t testing.TB, v *voter.Voter) {
	t.Helper()
	start := time.Now()
	_, err := v.Current(context.Background())
	assert.ErrorIs(t, err, voter.ErrStale)
	assert.Assert(t, time.Since(start) <= 3*time.Second, "told after %s", time.Since(start))
	assert.Assert(t, v.Status().GetStale())
}
