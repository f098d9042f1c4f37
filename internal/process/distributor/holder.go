package distributor

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// maxDeltas bounds the deltas that are kept for others.
	maxDeltas = 256
	// deltaShare is how many times the size of the whole version a delta may have:
	// unlike a snapshot it is no sign of many processes that start at once.
	deltaShare = 2
	// snapshotBytesPerSecond bounds the snapshots that one process hands out.
	snapshotBytesPerSecond = 4 << 10
	// snapshotBurst is how many bytes of snapshots it hands out at once, in bytes.
	snapshotBurst = 256 << 10
)

// holder keeps the newest version and the latest deltas that led to it.
type holder struct {
	diff    func(old, next *controlwire.Document) []*controlwire.EntryChange
	limiter *rate.Limiter

	mu      sync.Mutex
	current *controlwire.Version
	deltas  []*controlwire.Delta // Each starts where the one before ends.
	// packed holds large answers for the current version by the number that the
	// asking process has.
	packed map[uint64]*controlwire.FetchResponse
}

func newHolder(diff func(old, next *controlwire.Document) []*controlwire.EntryChange) *holder {
	return &holder{diff: diff, limiter: rate.NewLimiter(snapshotBytesPerSecond, snapshotBurst)}
}

// version returns the newest version, or nil. The caller must not change it.
func (h *holder) version() *controlwire.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *holder) digest() *controlwire.VersionDigest { return h.version().GetDigest() }

func (h *holder) number() uint64 { return h.digest().GetNumber() }

// put replaces the version by a newer one and keeps the difference.
func (h *holder) put(version *controlwire.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil {
		h.deltas = append(h.deltas, &controlwire.Delta{
			Base:    h.current.GetDigest(),
			Target:  version.GetDigest(),
			Changes: h.diff(h.current.GetDocument(), version.GetDocument()),
		})
	}
	if len(h.deltas) > maxDeltas {
		h.deltas = append([]*controlwire.Delta(nil), h.deltas[len(h.deltas)-maxDeltas:]...)
	}
	h.current = version
	h.packed = make(map[uint64]*controlwire.FetchResponse)
}

// answer returns what leads from have to the held version: nothing if have is
// not older, a delta if one is known and not far larger, else the whole version. It
// reports false if a snapshot exceeds what may be handed out now.
func (h *holder) answer(have *controlwire.VersionDigest, now time.Time) (*controlwire.FetchResponse, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil || have.GetNumber() >= h.current.GetDigest().GetNumber() {
		return &controlwire.FetchResponse{}, true
	}
	if packed := h.packed[have.GetNumber()]; packed != nil && have.GetNumber() > 0 {
		return packed, true
	}
	if delta := h.deltaFrom(have); delta != nil && proto.Size(delta) < deltaShare*proto.Size(h.current) {
		return h.pack(have, &controlwire.FetchResponse{Delta: delta}), true
	}
	snapshot := h.pack(nil, &controlwire.FetchResponse{Snapshot: h.current})
	if !h.limiter.AllowN(now, min(proto.Size(snapshot), snapshotBurst)) {
		return nil, false
	}
	return snapshot, true
}

// pack returns the answer in the form in which it is handed out, and keeps it
// if it is large.
func (h *holder) pack(have *controlwire.VersionDigest, resp *controlwire.FetchResponse) *controlwire.FetchResponse {
	if packed := h.packed[have.GetNumber()]; packed != nil {
		return packed
	}
	packed, err := packer.Pack(resp)
	if err != nil || packed.GetPacked() == nil {
		return resp // Small, or handed out as it is.
	}
	h.packed[have.GetNumber()] = packed
	return packed
}

// deltaFrom joins the kept deltas from have on, or returns nil.
func (h *holder) deltaFrom(have *controlwire.VersionDigest) *controlwire.Delta {
	for i, first := range h.deltas {
		if !sameVersion(first.GetBase(), have) {
			continue
		}
		joined := &controlwire.Delta{Base: have, Target: h.current.GetDigest()}
		for _, delta := range h.deltas[i:] {
			joined.Changes = append(joined.Changes, delta.GetChanges()...)
		}
		return joined
	}
	return nil
}
