package voter_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// errUnreachable is the error of a request that is not delivered and of an append
// by a process that has ended.
var errUnreachable = errors.New("unreachable")

// disk simulates the file of a journal. It outlives its process.
type disk struct {
	mu          sync.Mutex
	synced      [][]byte
	unsynced    [][]byte
	bytes       int64
	appends     int
	appendFault func() (kept bool, err error) // Decides the outcome of an Append. If nil, it succeeds.
}

// diskHandle is a disk as opened by one process.
type diskHandle struct {
	*disk
	records      [][]byte
	err          error
	processEnded atomic.Bool // Set when the process ends; later writes have no effect.
}

// open returns the disk as a new process finds it: without the unsynced records.
func (d *disk) open() *diskHandle {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsynced, d.appendFault = nil, nil
	return &diskHandle{disk: d, records: d.synced}
}

// appendCount returns how many appends were made durable.
func (d *disk) appendCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.appends
}

func (h *diskHandle) Records() [][]byte { return h.records }
func (h *diskHandle) Appended() int64   { h.mu.Lock(); defer h.mu.Unlock(); return h.bytes }

func (h *diskHandle) Append(records ...[]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.processEnded.Load() {
		return errUnreachable
	}
	kept, err := true, h.err
	if err == nil && h.appendFault != nil {
		kept, err = h.appendFault()
	}
	if err != nil && !errors.Is(err, journaler.ErrDiskFull) {
		kept = kept && h.err == nil
		h.err = err
	}
	if kept {
		h.synced = append(append(h.synced, h.unsynced...), records...)
		h.unsynced = nil
		h.appends++
		for _, r := range records {
			h.bytes += int64(len(r))
		}
	}
	return err
}

func (h *diskHandle) AppendUnsynced(records ...[]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil && !h.processEnded.Load() {
		h.unsynced = append(h.unsynced, records...)
	}
	return h.err
}

func (h *diskHandle) Rewrite(records [][]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil && !h.processEnded.Load() {
		h.synced, h.unsynced, h.bytes = records, nil, 0
	}
	return h.err
}

// link is one direction of the network between two instances.
type link struct{ from, to string }

// instance is one control instance of the simulation.
type instance struct {
	address  string
	disk     *disk
	handle   *diskHandle
	voter    *voter.Voter  // Nil while crashed.
	frozen   chan struct{} // Closed when unfrozen; nil unless frozen.
	reported uint64        // The newest version passed to OnVersion.
	// evacuation was last passed to OnEvacuation.
	evacuation *controlwire.Evacuation

	faulty bool // True while a fault is injected here.
}

// cluster is a set of instances and the network between them.
type cluster struct {
	t               testing.TB
	initial         []string
	sources         []string // Further instances to fetch the state from, besides initial.
	toleratedLosses int
	plannedStops    bool // Whether instances that injectFaults stops leave the group before.

	mu            sync.Mutex
	random        *rand.Rand
	instances     map[string]*instance
	blocked       map[link]bool
	lossRate      float64       // Share of messages that are lost.
	duplicateRate float64       // Share of requests that are duplicated.
	maxDelay      time.Duration // Upper bound of the network delay of a message.
	constantDelay bool          // Whether every message takes maxDelay.
	// filter returns the error with which a request fails, or nil to let it pass.
	filter func(to string, req proto.Message) error
	bytes  int64
}

func newCluster(t testing.TB, seed uint64, n int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), instances: make(map[string]*instance),
		blocked: make(map[link]bool), maxDelay: time.Millisecond,
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
	inst := c.instances[address]
	seed := c.random.Uint64()
	c.mu.Unlock()
	handle := inst.disk.open()
	v, err := voter.New(voter.Config{
		Address: address, InitialVoters: c.initial, StateSources: c.knownSources, ToleratedLosses: c.toleratedLosses, Journal: handle,
		Transport: &simTransport{cluster: c, from: address, handle: handle},
		Digest:    digest, Random: rand.New(rand.NewPCG(seed, 2)),
		OnVersion: func(version *controlwire.Version) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if handle == inst.handle {
				assert.Check(c.t, version.GetDigest().GetNumber() > inst.reported, "version decreased")
				inst.reported = version.GetDigest().GetNumber()
			}
		},
		OnEvacuation: func(evacuation *controlwire.Evacuation) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if handle == inst.handle {
				assert.Check(c.t, evacuation.GetRevision() > inst.evacuation.GetRevision(), "revision decreased")
				inst.evacuation = evacuation
			}
		},
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	assert.NilError(c.t, err)
	c.mu.Lock()
	inst.voter, inst.handle, inst.reported, inst.evacuation = v, handle, 0, nil
	c.mu.Unlock()
	v.Start()
}

// knownSources returns the further instances to fetch the state from.
func (c *cluster) knownSources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sources
}

// setSources sets the further instances to fetch the state from.
func (c *cluster) setSources(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = addresses
}

// kill ends an instance at once and returns its voter, which must still be
// stopped. The disk keeps the synced records.
func (c *cluster) kill(address string) *voter.Voter {
	c.mu.Lock()
	inst := c.instances[address]
	v, h := inst.voter, inst.handle
	inst.voter, inst.handle = nil, nil
	if inst.frozen != nil {
		close(inst.frozen)
		inst.frozen = nil
	}
	c.mu.Unlock()
	if h != nil {
		h.processEnded.Store(true)
	}
	return v
}

// crash kills an instance and waits for its goroutines to end.
func (c *cluster) crash(address string) {
	if v := c.kill(address); v != nil {
		assert.Check(c.t, v.Stop())
	}
}

// loseDisk crashes an instance and restarts it with an empty disk.
func (c *cluster) loseDisk(address string) {
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
	time.Sleep(10 * time.Second) // Lets messages in flight arrive.
}

// setConstantDelay makes every message take the same time.
func (c *cluster) setConstantDelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.constantDelay = true
}

func (c *cluster) setFilter(filter func(to string, req proto.Message) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filter = filter
}

func (c *cluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.instances))
}

func (c *cluster) voter(address string) *voter.Voter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[address].voter
}

func (c *cluster) freeze(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inst := c.instances[address]; inst.frozen == nil {
		inst.frozen = make(chan struct{})
	}
}

func (c *cluster) unfreeze(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inst := c.instances[address]; inst.frozen != nil {
		close(inst.frozen)
		inst.frozen = nil
	}
}

// isolate blocks the messages to an instance (in) and from it (out), or unblocks
// them.
func (c *cluster) isolate(address string, in, out bool) {
	for _, other := range c.addresses() {
		c.mu.Lock()
		c.blocked[link{other, address}] = in
		c.blocked[link{address, other}] = out
		c.mu.Unlock()
	}
}

// simTransport connects an instance to others through the simulated network.
type simTransport struct {
	cluster *cluster
	from    string
	handle  *diskHandle // Distinguishes the starts of an instance.
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

// send delivers a request and its response. Messages in flight arrive even after
// the sender has stopped waiting.
func send[Req, Resp proto.Message](ctx context.Context, p *simPeer, req Req, method func(voter.Peer, context.Context, Req) (Resp, error)) (Resp, error) {
	type result struct {
		resp Resp
		err  error
	}
	results := make(chan result, 2)
	req = proto.Clone(req).(Req) // The sender may modify its own.
	deliver := func() {
		if !p.cluster.transmit(p.from, p.to, p.handle) {
			return
		}
		v := p.cluster.voter(p.to)
		if v == nil {
			results <- result{err: errUnreachable}
			return
		}
		resp, err := method(v.Peer(), context.Background(), proto.Clone(req).(Req))
		if p.cluster.transmit(p.to, p.from, nil) {
			results <- result{resp, err}
		}
	}
	if err := p.cluster.filterRequest(p.to, req); err != nil {
		var zero Resp
		return zero, err
	}
	go deliver()
	if p.cluster.isDuplicated() {
		go deliver()
	}
	select {
	case <-ctx.Done():
		var zero Resp
		return zero, ctx.Err()
	case r := <-results:
		return r.resp, r.err
	}
}

// filterRequest applies the filter of the test, and counts the bytes.
func (c *cluster) filterRequest(to string, req proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += int64(proto.Size(req))
	if c.filter == nil {
		return nil
	}
	return c.filter(to, req)
}

// isDuplicated decides at random whether a request arrives twice.
func (c *cluster) isDuplicated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.duplicateRate
}

// transmit waits for the network delay of a message, and reports whether it
// arrives. Faults at either end that begin during the delay take effect.
func (c *cluster) transmit(from, to string, sender *diskHandle) bool {
	c.mu.Lock()
	delay := c.maxDelay
	if !c.constantDelay {
		delay = time.Duration(c.random.Int64N(int64(c.maxDelay) + 1))
	}
	dropped := c.random.Float64() < c.lossRate
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
	return !dropped && !c.blocked[link{from, to}] && (sender == nil || c.instances[from].handle == sender)
}

// simulate runs a test in fake time on a formed group of n voters.
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

// assertStale checks that an instance without a majority reports in time that it
// is stale.
func assertStale(t testing.TB, v *voter.Voter) {
	t.Helper()
	start := time.Now()
	_, err := v.Current(context.Background())
	assert.ErrorIs(t, err, voter.ErrStale)
	assert.Assert(t, time.Since(start) <= 3*time.Second, "returned after %s", time.Since(start))
	assert.Assert(t, v.Status().GetStale())
}
