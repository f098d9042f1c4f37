package distributor

import (
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// changedDocument returns a document with many routes, all of them with a timeout of the given version.
func changedDocument(number uint64) *controlwire.Document {
	doc := routedDocument(routesOfLargeConfiguration, "1s")
	timeout := strconv.FormatUint(1000+number, 10) + "ms"
	for i, e := range doc.GetEntries() {
		if e.GetKey() == "timeout" {
			doc.Entries[i] = &controlwire.Entry{Section: e.GetSection(), Key: e.GetKey(), Value: timeout}
		}
	}
	return doc
}

// heapBytes returns the memory that is in use.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestKeptDeltasAreBoundedInBytes guards against memory that grows with each change of a large configuration.
func TestKeptDeltasAreBoundedInBytes(t *testing.T) {
	d := newCompilerDistributor(&network{})
	assert.NilError(t, d.Offer(numbered(1, changedDocument(1))))
	before := heapBytes()
	for number := uint64(2); number <= maxDeltas; number++ {
		assert.NilError(t, d.Offer(numbered(number, changedDocument(number))))
	}
	grown := heapBytes() - before
	runtime.KeepAlive(d)
	assert.Assert(t, grown < 3*retainer.DefaultBytes, "%d bytes", grown)
}

// TestProcessBehindByManyLargeChangesCatchesUp checks that a process gets a snapshot where no deltas reach back.
func TestProcessBehindByManyLargeChangesCatchesUp(t *testing.T) {
	net := &network{}
	holder, behind := newCompilerDistributor(net), newCompilerDistributor(net)
	net.holders = map[netip.AddrPort]*Distributor{peers[0]: holder}
	assert.NilError(t, behind.Offer(numbered(1, changedDocument(1))))
	const newest = 40
	for number := uint64(1); number <= newest; number++ {
		assert.NilError(t, holder.Offer(numbered(number, changedDocument(number))))
	}
	resp, ok := holder.store.response(numbered(1, changedDocument(1)).GetDigest(), time.Now())
	assert.Assert(t, ok)
	plain, err := packer.Unpack(resp)
	assert.NilError(t, err)
	assert.Assert(t, plain.GetSnapshot() != nil)
	assert.NilError(t, behind.fetch(peers[0], new(atomic.Bool)))
	assert.Equal(t, behind.InForce().GetNumber(), uint64(newest))
}

// TestPackedResponsesAreBoundedInBytes guards against a compressed response for each version that somebody holds.
func TestPackedResponsesAreBoundedInBytes(t *testing.T) {
	const limit = 64 << 10
	s := newStore(compiler.Diff, limit)
	s.deltas = retainer.NewList[*controlwire.Delta](maxDeltas, 1<<30)
	const newest = 40
	for number := uint64(1); number <= newest; number++ {
		s.put(numbered(number, changedDocument(number)), origin{})
	}
	for number := uint64(1); number < newest; number++ {
		_, ok := s.response(numbered(number, changedDocument(number)).GetDigest(), time.Now())
		assert.Assert(t, ok)
	}
	kept := 0
	for _, resp := range s.packed {
		kept += len(resp.GetPacked())
	}
	assert.Equal(t, kept, s.packedBytes)
	assert.Assert(t, kept > 0 && kept <= limit, "%d bytes", kept)
}

// TestResponsesSentAtOnceAreBoundedInBytes guards against as many large responses at once as there are processes behind.
func TestResponsesSentAtOnceAreBoundedInBytes(t *testing.T) {
	d := newCompilerDistributor(&network{})
	d.responses = retainer.NewGate(1)
	assert.NilError(t, d.Offer(numbered(1, changedDocument(1))))
	req := connect.NewRequest(&controlwire.FetchRequest{})
	_, err := d.Fetch(t.Context(), req)
	assert.NilError(t, err)
	_, err = d.Fetch(t.Context(), req)
	assert.ErrorIs(t, err, errManyResponses)
}
