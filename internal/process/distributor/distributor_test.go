package distributor

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

var (
	errDown    = errors.New("no answer")
	errCompile = errors.New("does not compile")
	control    = netip.MustParseAddrPort("10.0.0.1:1")
	peers      = []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1"),
	}
)

// documents of this test have one entry, whose value is the version's number.
func version(number uint64) *controlwire.Version {
	doc := &controlwire.Document{Entries: []*controlwire.Entry{{Section: "service vitrina", Key: "slots", Value: fmt.Sprint(number)}}}
	for i := range 50 {
		doc.Entries = append(doc.Entries, &controlwire.Entry{Section: fmt.Sprintf("service s%d", i), Key: "owner", Value: "oaxaca"})
	}
	return &controlwire.Version{Digest: &controlwire.VersionDigest{Number: number, Digest: digest(doc)}, Document: doc}
}

func digest(doc *controlwire.Document) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(doc)
	sum := sha256.Sum256(b)
	return sum[:]
}

func diff(_, next *controlwire.Document) []*controlwire.EntryChange {
	return []*controlwire.EntryChange{{Entry: next.GetEntries()[0]}}
}

func apply(doc *controlwire.Document, changes []*controlwire.EntryChange) (*controlwire.Document, error) {
	next := proto.CloneOf(doc)
	for _, c := range changes {
		next.Entries[0] = c.GetEntry()
	}
	return next, nil
}

// network is a Client that answers for other processes from their distributors.
type network struct {
	holders map[netip.AddrPort]*Distributor
	current atomic.Pointer[controlwire.Version]
	lie     *controlwire.FetchResponse // What Fetch answers instead, if set.
	fetches atomic.Int64
	silent  map[netip.AddrPort]bool // Holders that take a call and never answer.
}

// newNetwork returns a network whose control answers with current.
func newNetwork(current *controlwire.Version) *network {
	n := &network{}
	n.current.Store(current)
	return n
}

func (n *network) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	n.fetches.Add(1)
	if n.silent[to] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if n.lie != nil {
		return n.lie, nil
	}
	d := n.holders[to]
	if d == nil {
		return nil, errDown
	}
	resp, err := d.Fetch(ctx, connect.NewRequest(&controlwire.FetchRequest{Have: have}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (n *network) Current(context.Context, netip.AddrPort) (*controlwire.Version, error) {
	if v := n.current.Load(); v != nil {
		return v, nil
	}
	return nil, errDown
}

// node is a distributor under test with the versions that it published.
type node struct {
	*Distributor
	published []uint64
}

func newNode(n *network, controls ...netip.AddrPort) *node {
	out := &node{}
	out.Distributor = New(Config{
		Control: func() []netip.AddrPort { return controls },
		Client:  n,
		Compile: func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error) {
			if doc.GetEntries()[0].GetValue() == "13" {
				return nil, errCompile
			}
			return compiler.NewConfiguration(number, "oaxaca", nil), nil
		},
		Digest: digest, Diff: diff, Apply: apply,
		Publish: func(c *compiler.Configuration) bool {
			out.published = append(out.published, c.Number())
			return true
		},
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)),
	})
	return out
}

// newHolderAt adds a process that holds the given versions to the network.
func newHolderAt(t *testing.T, n *network, at netip.AddrPort, numbers ...uint64) *Distributor {
	t.Helper()
	d := New(Config{Digest: digest, Diff: diff, Apply: apply, Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(2, 2))})
	for _, number := range numbers {
		assert.NilError(t, d.Offer(version(number)))
	}
	if n.holders == nil {
		n.holders = make(map[netip.AddrPort]*Distributor)
	}
	n.holders[at] = d
	return d
}

func run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func startNode(t *testing.T, n *node) {
	t.Helper()
	n.Start()
	t.Cleanup(func() { assert.NilError(t, n.Stop()) })
}

func assertPublished(t *testing.T, n *node, want ...uint64) {
	t.Helper()
	synctest.Wait()
	assert.DeepEqual(t, append([]uint64{}, n.published...), append([]uint64{}, want...))
}

func TestFetchesFromAnyHolder(t *testing.T) {
	run(t, func(t *testing.T) {
		net := newNetwork(version(1))
		newHolderAt(t, net, peers[1], 1, 2, 3)
		n := newNode(net, control)
		startNode(t, n)
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1)
		n.Learn(peers[0], version(3).GetDigest()) // Does not answer.
		n.Learn(peers[1], version(3).GetDigest())
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1, 3)
		assert.NilError(t, n.Offer(version(2)))
		assertPublished(t, n, 1, 3)
	})
}

func TestNeverReverts(t *testing.T) {
	run(t, func(t *testing.T) {
		net := newNetwork(version(5))
		newHolderAt(t, net, peers[0], 4)
		n := newNode(net, control)
		startNode(t, n)
		time.Sleep(3 * time.Second)
		n.Learn(peers[0], version(4).GetDigest())
		assert.ErrorIs(t, n.Offer(version(4)), errTooOld)
		n.Learn(peers[0], version(6).GetDigest()) // A lie: the holder has 4.
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 5)
	})
}

func TestRestartedNodeServesNothingOlder(t *testing.T) {
	t.Run("control answers late", func(t *testing.T) {
		run(t, func(t *testing.T) {
			net := &network{}
			newHolderAt(t, net, peers[0], 4)
			n := newNode(net, control)
			startNode(t, n)
			for _, peer := range peers {
				n.Learn(peer, version(4).GetDigest())
			}
			time.Sleep(settleWait - 2*time.Second)
			assertPublished(t, n)
			net.current.Store(version(5))
			time.Sleep(3 * time.Second)
			assertPublished(t, n, 5)
		})
	})
	t.Run("control is gone", func(t *testing.T) {
		run(t, func(t *testing.T) {
			net := &network{}
			n := newNode(net, control)
			startNode(t, n)
			newHolderAt(t, net, peers[0], 4)
			newHolderAt(t, net, peers[1], 5)
			newHolderAt(t, net, peers[2], 4)
			n.Learn(peers[0], version(4).GetDigest())
			n.Learn(peers[1], version(5).GetDigest())
			time.Sleep(2 * settleWait)
			assertPublished(t, n)
			n.Learn(peers[2], version(4).GetDigest())
			time.Sleep(3 * time.Second)
			assertPublished(t, n, 5)
		})
	})
	t.Run("floor holds while the newest version cannot be fetched", func(t *testing.T) {
		run(t, func(t *testing.T) {
			net := &network{}
			newHolderAt(t, net, peers[0], 4)
			n := newNode(net, control)
			startNode(t, n)
			for i, peer := range peers {
				n.Learn(peer, version(4+uint64(i%2)).GetDigest())
			}
			time.Sleep(2 * settleWait)
			assert.ErrorIs(t, n.Offer(version(4)), errTooOld)
			assertPublished(t, n)
		})
	})
}

func TestRefusesWhatDoesNotMatch(t *testing.T) {
	wrong := version(7)
	wrong.Digest = version(8).GetDigest()
	stray := &controlwire.Delta{Base: version(3).GetDigest(), Target: version(8).GetDigest()}
	lies := map[string]*controlwire.FetchResponse{
		"wrong digest":   {Snapshot: wrong},
		"foreign base":   {Delta: stray},
		"no document":    {Snapshot: &controlwire.Version{Digest: version(8).GetDigest()}},
		"empty":          {},
		"older":          {Snapshot: version(1)},
		"not compilable": {Snapshot: version(13)},
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T) {
				net := newNetwork(version(1))
				net.lie = lie
				n := newNode(net, control)
				startNode(t, n)
				time.Sleep(3 * time.Second)
				n.Learn(peers[0], version(13).GetDigest())
				time.Sleep(3 * time.Second)
				assertPublished(t, n, 1)
				assert.Assert(t, net.fetches.Load() > 0)
			})
		})
	}
}

func TestHandsOutDeltasAndFewSnapshots(t *testing.T) {
	d := newHolderAt(t, &network{}, peers[0], 1, 2, 3, 4)
	now := time.Now()
	resp, _ := d.holder.answer(version(2).GetDigest(), now)
	assert.Equal(t, len(resp.GetDelta().GetChanges()), 2)
	got, err := apply(version(2).GetDocument(), resp.GetDelta().GetChanges())
	assert.NilError(t, err)
	assert.DeepEqual(t, digest(got), version(4).GetDigest().GetDigest())
	served := 0
	for ok := true; ok; served++ {
		_, ok = d.holder.answer(nil, now)
	}
	assert.Assert(t, served > 1 && served <= snapshotBurst/proto.Size(version(4))+1)
	resp, ok := d.holder.answer(version(4).GetDigest(), now)
	assert.Assert(t, ok && resp.GetDelta() == nil && resp.GetSnapshot() == nil)
}

// TestSilentHolderDelaysNothing checks that a version is in force in time while
// its holders, machines that are gone, take calls and never answer.
func TestSilentHolderDelaysNothing(t *testing.T) {
	run(t, func(t *testing.T) {
		n := newNetwork(version(1))
		newHolderAt(t, n, control, 1, 2)
		x := newNode(n, control)
		x.Start()
		time.Sleep(time.Second)
		n.silent = map[netip.AddrPort]bool{peers[0]: true, peers[1]: true}
		x.Learn(peers[0], version(2).GetDigest())
		x.Learn(peers[1], version(2).GetDigest())
		time.Sleep(2 * time.Second)
		assert.Equal(t, x.InForce().GetNumber(), uint64(2))
		assert.NilError(t, x.Stop())
	})
}

// largeVersion returns a version that is handed out in packed form.
func largeVersion(number uint64) *controlwire.Version {
	large := version(number)
	for i := range 2000 {
		large.Document.Entries = append(large.Document.Entries, &controlwire.Entry{Section: fmt.Sprintf("route r%d", i), Key: "services", Value: "vitrina"})
	}
	large.Digest.Digest = digest(large.GetDocument())
	return large
}

// TestTakesPackedSnapshotAfterUnusableDelta checks that a process whose delta
// does not lead to the announced version takes the whole one, in packed form too.
func TestTakesPackedSnapshotAfterUnusableDelta(t *testing.T) {
	n := &network{}
	h := newHolderAt(t, n, peers[0], 1)
	assert.NilError(t, h.Offer(largeVersion(2))) // The test's diff names one entry only.
	x := newNode(n)
	assert.NilError(t, x.Offer(version(1)))
	assert.NilError(t, x.fetch(peers[0]))
	assert.Equal(t, x.InForce().GetNumber(), uint64(2))
}

// TestLargeDeltasArePackedOnce checks that a large delta is compressed once for
// all who ask, and read back as it was.
func TestLargeDeltasArePackedOnce(t *testing.T) {
	large := largeVersion(2)
	h := newHolder(func(_, next *controlwire.Document) []*controlwire.EntryChange {
		var changes []*controlwire.EntryChange
		for _, e := range next.GetEntries()[50:] {
			changes = append(changes, &controlwire.EntryChange{Entry: e})
		}
		return changes
	})
	h.put(version(1))
	h.put(large)
	first, ok := h.answer(version(1).GetDigest(), time.Now())
	assert.Assert(t, ok && first.GetPacked() != nil)
	second, _ := h.answer(version(1).GetDigest(), time.Now())
	assert.Assert(t, first == second)
	unpacked, err := packer.Unpack(first)
	assert.NilError(t, err)
	assert.Equal(t, len(unpacked.GetDelta().GetChanges()), len(large.GetDocument().GetEntries())-50)
	_, err = packer.Unpack(&controlwire.FetchResponse{Packed: []byte("no gzip")})
	assert.ErrorContains(t, err, "decompress")
}
