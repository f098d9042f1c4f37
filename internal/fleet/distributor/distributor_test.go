package distributor

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
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
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

var (
	errUnreachable = errors.New("unreachable")
	errCompile     = errors.New("does not compile")
	control        = netip.MustParseAddrPort("10.0.0.1:1")
	peers          = []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1"),
	}
)

// version returns a version whose first entry has the version number as its value. The
// other entries are the same in every version.
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

// network is a Client that calls the distributors of other processes directly.
type network struct {
	holders      map[netip.AddrPort]*Distributor
	current      atomic.Pointer[controlwire.Version]
	override     *controlwire.FetchResponse // Response to every Fetch, if set.
	fetches      atomic.Int64
	unresponsive map[netip.AddrPort]bool // Holders that accept a call and never respond.
}

// newNetwork returns a network whose control instance has current as newest version.
func newNetwork(current *controlwire.Version) *network {
	n := &network{}
	n.current.Store(current)
	return n
}

func (n *network) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	n.fetches.Add(1)
	if n.unresponsive[to] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if n.override != nil {
		return n.override, nil
	}
	d := n.holders[to]
	if d == nil {
		return nil, errUnreachable
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
	return nil, errUnreachable
}

// node is a distributor under test. It records the versions that it published.
type node struct {
	*Distributor
	published []uint64
}

// newNode returns a node for which version 13 does not compile, and version 14 panics.
func newNode(net *network, controls ...netip.AddrPort) *node {
	n := &node{}
	n.Distributor = New(Config{
		ControlAddresses: func() []netip.AddrPort { return controls },
		Client:           net,
		Compile: func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error) {
			switch doc.GetEntries()[0].GetValue() {
			case "13":
				return nil, errCompile
			case "14":
				panic("cannot compile this")
			}
			return compiler.NewConfiguration(number, "oaxaca", nil), nil
		},
		Digest: digest, Diff: diff, Apply: apply,
		Publish: func(c *compiler.Configuration) bool {
			n.published = append(n.published, c.Number())
			return true
		},
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)),
	})
	return n
}

// newHolderAt adds a process to the network that was offered the given versions in order.
func newHolderAt(t *testing.T, net *network, at netip.AddrPort, numbers ...uint64) *Distributor {
	t.Helper()
	d := New(Config{Digest: digest, Diff: diff, Apply: apply, Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(2, 2))})
	for _, number := range numbers {
		assert.NilError(t, d.Offer(version(number)))
	}
	if net.holders == nil {
		net.holders = make(map[netip.AddrPort]*Distributor)
	}
	net.holders[at] = d
	return d
}

func runSynctest(t *testing.T, f func(t *testing.T)) {
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

func TestFetchesFromReachableHolder(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		net := newNetwork(version(1))
		newHolderAt(t, net, peers[1], 1, 2, 3)
		n := newNode(net, control)
		startNode(t, n)
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1)
		n.ObserveVersion(peers[0], version(3).GetDigest()) // Unreachable.
		n.ObserveVersion(peers[1], version(3).GetDigest())
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1, 3)
		assert.NilError(t, n.Offer(version(2)))
		assertPublished(t, n, 1, 3)
	})
}

func TestVersionNeverDecreases(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		net := newNetwork(version(5))
		newHolderAt(t, net, peers[0], 4)
		n := newNode(net, control)
		startNode(t, n)
		time.Sleep(3 * time.Second)
		n.ObserveVersion(peers[0], version(4).GetDigest())
		assert.ErrorIs(t, n.Offer(version(4)), errTooOld)
		n.ObserveVersion(peers[0], version(6).GetDigest()) // The holder has only version 4.
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 5)
	})
}

func TestRestartedNodePublishesNoOlderVersion(t *testing.T) {
	t.Run("control responds late", func(t *testing.T) {
		runSynctest(t, func(t *testing.T) {
			net := &network{}
			newHolderAt(t, net, peers[0], 4)
			n := newNode(net, control)
			startNode(t, n)
			for _, peer := range peers {
				n.ObserveVersion(peer, version(4).GetDigest())
			}
			time.Sleep(peerFallbackDelay - 2*time.Second)
			assertPublished(t, n)
			net.current.Store(version(5))
			time.Sleep(3 * time.Second)
			assertPublished(t, n, 5)
		})
	})
	t.Run("control is unreachable", func(t *testing.T) {
		runSynctest(t, func(t *testing.T) {
			net := &network{}
			n := newNode(net, control)
			startNode(t, n)
			newHolderAt(t, net, peers[0], 4)
			newHolderAt(t, net, peers[1], 5)
			newHolderAt(t, net, peers[2], 4)
			n.ObserveVersion(peers[0], version(4).GetDigest())
			n.ObserveVersion(peers[1], version(5).GetDigest())
			time.Sleep(2 * peerFallbackDelay)
			assertPublished(t, n)
			n.ObserveVersion(peers[2], version(4).GetDigest())
			time.Sleep(3 * time.Second)
			assertPublished(t, n, 5)
		})
	})
	t.Run("no older version while the newest cannot be fetched", func(t *testing.T) {
		runSynctest(t, func(t *testing.T) {
			net := &network{}
			newHolderAt(t, net, peers[0], 4)
			n := newNode(net, control)
			startNode(t, n)
			for i, peer := range peers {
				n.ObserveVersion(peer, version(4+uint64(i%2)).GetDigest())
			}
			time.Sleep(2 * peerFallbackDelay)
			assert.ErrorIs(t, n.Offer(version(4)), errTooOld)
			assertPublished(t, n)
		})
	})
}

func TestRejectsInvalidVersions(t *testing.T) {
	mismatchedVersion := version(7)
	mismatchedVersion.Digest = version(8).GetDigest()
	mismatchedDelta := &controlwire.Delta{Base: version(3).GetDigest(), Target: version(8).GetDigest()}
	responses := map[string]*controlwire.FetchResponse{
		"digest mismatch":   {Snapshot: mismatchedVersion},
		"base mismatch":     {Delta: mismatchedDelta},
		"no document":       {Snapshot: &controlwire.Version{Digest: version(8).GetDigest()}},
		"empty response":    {},
		"older version":     {Snapshot: version(1)},
		"does not compile":  {Snapshot: version(13)},
		"impossible number": {Snapshot: version(maxNumber + 1)},
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(t *testing.T) {
				net := newNetwork(version(1))
				net.override = response
				n := newNode(net, control)
				startNode(t, n)
				time.Sleep(3 * time.Second)
				n.ObserveVersion(peers[0], version(13).GetDigest())
				time.Sleep(3 * time.Second)
				assertPublished(t, n, 1)
				assert.Assert(t, net.fetches.Load() > 0)
			})
		})
	}
}

// TestVersionThatPanicsIsRejected guards against a configuration that ends each node that takes it.
func TestVersionThatPanicsIsRejected(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		net := newNetwork(version(1))
		n := newNode(net, control)
		startNode(t, n)
		time.Sleep(3 * time.Second)
		net.override = &controlwire.FetchResponse{Snapshot: version(14)}
		n.ObserveVersion(peers[0], version(14).GetDigest())
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1)
		net.override = &controlwire.FetchResponse{Snapshot: version(15)}
		n.ObserveVersion(peers[0], version(15).GetDigest())
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1, 15)
	})
}

func TestServesDeltasAndLimitsSnapshots(t *testing.T) {
	d := newHolderAt(t, &network{}, peers[0], 1, 2, 3, 4)
	now := time.Now()
	resp, _ := d.store.response(version(2).GetDigest(), now)
	assert.Equal(t, len(resp.GetDelta().GetChanges()), 1) // Both changes were of one entry.
	got, err := apply(version(2).GetDocument(), resp.GetDelta().GetChanges())
	assert.NilError(t, err)
	assert.DeepEqual(t, digest(got), version(4).GetDigest().GetDigest())
	served := 0
	for ok := true; ok; served++ {
		_, ok = d.store.response(nil, now)
	}
	assert.Assert(t, served > 1 && served <= snapshotBurst/proto.Size(version(4))+1)
	resp, ok := d.store.response(version(4).GetDigest(), now)
	assert.Assert(t, ok && resp.GetDelta() == nil && resp.GetSnapshot() == nil)
}

// TestUnresponsiveHoldersDoNotDelayVersion checks that a version is in force within two
// seconds even if its first known holders accept calls and never respond, as those on
// failed instances do.
func TestUnresponsiveHoldersDoNotDelayVersion(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		net := newNetwork(version(1))
		newHolderAt(t, net, control, 1, 2)
		n := newNode(net, control)
		n.Start()
		time.Sleep(time.Second)
		net.unresponsive = map[netip.AddrPort]bool{peers[0]: true, peers[1]: true}
		n.ObserveVersion(peers[0], version(2).GetDigest())
		n.ObserveVersion(peers[1], version(2).GetDigest())
		time.Sleep(2 * time.Second)
		assert.Equal(t, n.InForce().GetNumber(), uint64(2))
		assert.NilError(t, n.Stop())
	})
}

// largeVersion returns a version that is large enough to be packed.
func largeVersion(number uint64) *controlwire.Version {
	large := version(number)
	for i := range 2000 {
		large.Document.Entries = append(large.Document.Entries, &controlwire.Entry{Section: fmt.Sprintf("route r%d", i), Key: "services", Value: "vitrina"})
	}
	large.Digest.Digest = digest(large.GetDocument())
	return large
}

// TestFetchesPackedSnapshotAfterUnusableDelta checks that a process fetches the snapshot,
// packed as well, after a delta whose result does not match the digest.
func TestFetchesPackedSnapshotAfterUnusableDelta(t *testing.T) {
	net := &network{}
	h := newHolderAt(t, net, peers[0], 1)
	assert.NilError(t, h.Offer(largeVersion(2))) // diff covers the first entry only, so the delta is incomplete.
	n := newNode(net)
	assert.NilError(t, n.Offer(version(1)))
	assert.NilError(t, n.fetch(peers[0], new(atomic.Bool)))
	assert.Equal(t, n.InForce().GetNumber(), uint64(2))
}

// TestLargeDeltasArePackedOnce checks that a large delta is compressed once for all
// requesters, and that unpacking restores it.
func TestLargeDeltasArePackedOnce(t *testing.T) {
	large := largeVersion(2)
	s := newStore(func(_, next *controlwire.Document) []*controlwire.EntryChange {
		var changes []*controlwire.EntryChange
		for _, e := range next.GetEntries()[50:] {
			changes = append(changes, &controlwire.EntryChange{Entry: e})
		}
		return changes
	}, retainer.DefaultBytes)
	s.put(version(1), origin{})
	s.put(large, origin{})
	first, ok := s.response(version(1).GetDigest(), time.Now())
	assert.Assert(t, ok && first.GetPacked() != nil)
	second, _ := s.response(version(1).GetDigest(), time.Now())
	assert.Assert(t, first == second)
	unpacked, err := packer.Unpack(first)
	assert.NilError(t, err)
	assert.Equal(t, len(unpacked.GetDelta().GetChanges()), len(large.GetDocument().GetEntries())-50)
	_, err = packer.Unpack(&controlwire.FetchResponse{Packed: []byte("no gzip")})
	assert.ErrorContains(t, err, "decompress")
}

// TestVersionThatNobodyHoldsHidesNoOther guards against a reported version beyond all others after which a process
// follows no configuration and asks control instances without end.
func TestVersionThatNobodyHoldsHidesNoOther(t *testing.T) {
	for _, number := range []uint64{1000, maxNumber, math.MaxUint64} {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			runSynctest(t, func(t *testing.T) {
				net := newNetwork(version(3))
				holder := newHolderAt(t, net, peers[0], 3)
				n := newNode(net, control)
				startNode(t, n)
				time.Sleep(time.Minute)
				n.ObserveVersion(peers[1], &controlwire.VersionDigest{Number: number})
				time.Sleep(time.Minute)
				before := net.fetches.Load()
				time.Sleep(10 * time.Minute)
				assert.Equal(t, net.fetches.Load(), before, "fetches of a version that nobody holds")
				assert.NilError(t, holder.Offer(version(4)))
				n.ObserveVersion(peers[0], version(4).GetDigest())
				time.Sleep(2 * time.Second)
				assertPublished(t, n, 3, 4)
			})
		})
	}
}

// TestAdoptionIsTraceable checks that the line of a version tells how it came into force.
func TestAdoptionIsTraceable(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		net := newNetwork(version(1))
		newHolderAt(t, net, peers[0], 1, 2)
		n := newNode(net, control)
		var log bytes.Buffer
		n.log = zerolog.New(&log)
		startNode(t, n)
		time.Sleep(3 * time.Second)
		log.Reset()
		n.ObserveVersion(peers[1], version(2).GetDigest()) // Unreachable.
		n.ObserveVersion(peers[0], version(2).GetDigest())
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1, 2)
		for _, want := range []string{`"version":2`, `"form":"delta"`, `"holder":"10.0.0.2:1"`, `"bytes":`, `"fetch-ms":`, `"adopt-ms":`, `"heard-ms-ago":`, `"fetches":`} {
			assert.Assert(t, strings.Contains(log.String(), want), "%s in %s", want, log.String())
		}
	})
}
