package distributor

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// maxDeltas bounds the number of recent deltas kept for other processes. Their size is
	// bounded as well.
	maxDeltas = 256
	// maxDeltaRatio bounds the size of a delta relative to the full version. It is above 1
	// because deltas need no rate limit: unlike requests for snapshots, requests for
	// deltas do not indicate that many processes are starting at once.
	maxDeltaRatio = 2
	// snapshotBytesPerSecond bounds the rate at which one process serves snapshots.
	snapshotBytesPerSecond = 4 << 10
	// snapshotBurst bounds the bytes of snapshots that it serves in a burst.
	snapshotBurst = 256 << 10
)

// store keeps the newest version and the latest deltas that led to it, and builds the
// responses to Fetch from them.
type store struct {
	diff    func(old, next *controlwire.Document) []*controlwire.EntryChange
	limiter *rate.Limiter
	// maxPackedBytes bounds the compressed responses.
	maxPackedBytes int

	mu      sync.Mutex
	current *controlwire.Version
	deltas  retainer.List[*controlwire.Delta] // Each starts from the target of the one before.
	// packed holds the compressed responses that contain or lead to the current version,
	// by the number of the version that the requester holds. The snapshot has number 0.
	packed      map[uint64]*controlwire.FetchResponse
	packedBytes int
}

// newStore returns an empty store, which keeps up to catchUpBytes of deltas and as much of
// compressed responses.
func newStore(diff func(old, next *controlwire.Document) []*controlwire.EntryChange, catchUpBytes int) *store {
	return &store{
		diff:           diff,
		limiter:        rate.NewLimiter(snapshotBytesPerSecond, snapshotBurst),
		maxPackedBytes: catchUpBytes,
		deltas:         retainer.NewList[*controlwire.Delta](maxDeltas, catchUpBytes),
	}
}

// version returns the newest version, or nil. The caller must not modify it.
func (s *store) version() *controlwire.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *store) digest() *controlwire.VersionDigest { return s.version().GetDigest() }

func (s *store) number() uint64 { return s.digest().GetNumber() }

// put replaces the version with a newer one and records the delta between them: the one that
// it came as, if it did, else the difference of the documents.
func (s *store) put(version *controlwire.Version, o origin) {
	delta := o.delta
	if held := s.version(); delta == nil && held != nil {
		delta = &controlwire.Delta{
			Base:    held.GetDigest(),
			Target:  version.GetDigest(),
			Changes: s.diff(held.GetDocument(), version.GetDocument()),
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta != nil {
		s.deltas = s.deltas.With(delta, retainer.ChangesSize(delta.GetChanges()))
	}
	s.current = version
	s.packed, s.packedBytes = make(map[uint64]*controlwire.FetchResponse), 0
	if o.delta != nil && o.resp.GetPacked() != nil {
		s.keepPacked(o.delta.GetBase(), o.resp) // Others need not compress it again.
	}
}

// keepPacked keeps a compressed response for later requesters of the same version, if it fits.
func (s *store) keepPacked(have *controlwire.VersionDigest, packed *controlwire.FetchResponse) {
	if s.packedBytes+len(packed.GetPacked()) > s.maxPackedBytes {
		return
	}
	s.packed[have.GetNumber()] = packed
	s.packedBytes += len(packed.GetPacked())
}

// response returns what updates have to the held version: an empty response if have is not
// older, a delta if one is known and within maxDeltaRatio, else a snapshot. It reports
// false if a snapshot exceeds the rate limit.
func (s *store) response(have *controlwire.VersionDigest, now time.Time) (*controlwire.FetchResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || have.GetNumber() >= s.current.GetDigest().GetNumber() {
		return &controlwire.FetchResponse{}, true
	}
	if packed := s.packed[have.GetNumber()]; packed != nil && have.GetNumber() > 0 {
		return packed, true
	}
	if delta := s.deltaFrom(have); delta != nil && proto.Size(delta) < maxDeltaRatio*proto.Size(s.current) {
		return s.pack(have, &controlwire.FetchResponse{Delta: delta}), true
	}
	snapshot := s.pack(nil, &controlwire.FetchResponse{Snapshot: s.current})
	if !s.limiter.AllowN(now, min(proto.Size(snapshot), snapshotBurst)) {
		return nil, false
	}
	return snapshot, true
}

// pack returns the response in the form in which it is sent. It compresses a large one
// and keeps the result for later requesters of the same version.
func (s *store) pack(have *controlwire.VersionDigest, resp *controlwire.FetchResponse) *controlwire.FetchResponse {
	if packed := s.packed[have.GetNumber()]; packed != nil {
		return packed
	}
	packed, err := packer.Pack(resp)
	if err != nil || packed.GetPacked() == nil {
		return resp // Small, or compression failed: it is sent uncompressed.
	}
	s.keepPacked(have, packed)
	return packed
}

// deltaFrom returns one delta from have to the current version, composed of the kept
// ones, or nil if they do not reach back to have.
func (s *store) deltaFrom(have *controlwire.VersionDigest) *controlwire.Delta {
	for i, first := range s.deltas.All() {
		if !sameVersion(first.GetBase(), have) {
			continue
		}
		var changes []*controlwire.EntryChange
		for _, delta := range s.deltas.From(i) {
			changes = append(changes, delta.GetChanges()...)
		}
		return &controlwire.Delta{Base: have, Target: s.current.GetDigest(), Changes: compiler.JoinChanges(changes)}
	}
	return nil
}
