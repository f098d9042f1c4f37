package gossiper

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// membershipHandler serves the membership calls of other processes.
type membershipHandler struct{ g *Gossiper }

// Compare implements gossipwireconnect.MembershipHandler.
func (h membershipHandler) Compare(_ context.Context, req *connect.Request[gossipwire.CompareRequest]) (*connect.Response[gossipwire.CompareResponse], error) {
	resp, err := h.g.ServeCompare(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(resp), nil
}

// Reconcile implements gossipwireconnect.MembershipHandler.
func (h membershipHandler) Reconcile(_ context.Context, req *connect.Request[gossipwire.ReconcileRequest]) (*connect.Response[gossipwire.ReconcileResponse], error) {
	resp, err := h.g.ServeReconcile(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(resp), nil
}

// ServeCompare applies the sender's record and returns as many differing buckets as the
// budget allows. It fails if the budget is exhausted.
func (g *Gossiper) ServeCompare(req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectFreeze(now)
	g.apply(req.GetSender(), now)
	maxBytes := g.budget.exchangeAllowance() - callOverhead
	if len(req.GetDigests()) == 0 {
		return g.livenessResponse()
	}
	if knowsOnlyItself(req) {
		return g.introduction(req.GetSender().GetId())
	}
	if maxBytes < minResponseBytes {
		g.metrics.count(eventOverBudget)
		return nil, errBudgetExhausted
	}
	resp, size := g.newCompareResponse(req, maxBytes, now)
	if !g.spendExchangeBytes(size + callOverhead) {
		return nil, errBudgetExhausted
	}
	return resp, nil
}

// livenessResponse returns the response to a request without digests, which only checks
// whether this process is alive.
func (g *Gossiper) livenessResponse() (*gossipwire.CompareResponse, error) {
	resp := &gossipwire.CompareResponse{Sender: encodeRecord(g.self)}
	if !g.budget.take(compressedSize(resp) + callOverhead) {
		return nil, errBudgetExhausted
	}
	return resp, nil
}

// knowsOnlyItself reports whether the table of the sender of a request holds no other
// member.
func knowsOnlyItself(req *gossipwire.CompareRequest) bool {
	members := 0
	for _, digest := range req.GetDigests() {
		if digest != 0 {
			members++
		}
	}
	return len(req.GetDigests()) == bucketCount && members <= 1
}

// introduction returns the response to a process that has just started: a few random
// members, which it can ask for the others. It is small, since many processes may start
// at the same time and all ask the same seeds.
func (g *Gossiper) introduction(id string) (*gossipwire.CompareResponse, error) {
	resp := &gossipwire.CompareResponse{Sender: encodeRecord(g.self), Version: g.version, Evacuation: g.evacuation, More: true}
	for _, m := range g.table.sample(introducedMembers, func(m *member) bool { return m != g.self && m.spec.ID != id }) {
		resp.Records = append(resp.Records, encodeRecord(m))
	}
	size := compressedSize(resp) + callOverhead
	if !g.budget.take(size) {
		g.metrics.count(eventOverBudget)
		return nil, errBudgetExhausted
	}
	g.metrics.sentBytes.Inc(int64(size))
	return resp, nil
}

// newCompareResponse returns a response with as many differing buckets as fit into
// maxBytes when compressed, starting at a random one, and the compressed size of that
// response. The response has no buckets while this node resyncs, or if the request
// exceeds the table.
func (g *Gossiper) newCompareResponse(req *gossipwire.CompareRequest, maxBytes int, now time.Time) (*gossipwire.CompareResponse, int) {
	resp := &gossipwire.CompareResponse{Sender: encodeRecord(g.self), Version: g.version, Evacuation: g.evacuation, More: true}
	if g.detector.resyncing(now) || int(req.GetFirst())+len(req.GetDigests()) > bucketCount {
		return resp, compressedSize(resp)
	}
	differences, all := g.differingBuckets(req, min(maxCompressionRatio*maxBytes, maxCallBytes/2))
	n, size := fitCompressed(len(differences), maxBytes, func(n int) proto.Message {
		resp.Buckets, resp.Records = nil, nil
		for _, d := range differences[:n] {
			resp.Records = append(resp.Records, d.records...)
			if d.bucket != nil {
				resp.Buckets = append(resp.Buckets, d.bucket)
			}
		}
		return resp
	})
	resp.More = !all || n < len(differences)
	return resp, size
}

// bucketDifference holds the response for one differing bucket: the list of its
// members, or the full records of the live ones if the bucket is empty at the peer.
type bucketDifference struct {
	bucket  *gossipwire.Bucket
	records []*gossipwire.Update
}

// differingBuckets returns differing buckets of up to maxBytes in total, uncompressed,
// starting at a random one, and reports whether they are all that differ.
func (g *Gossiper) differingBuckets(req *gossipwire.CompareRequest, maxBytes int) ([]bucketDifference, bool) {
	n := len(req.GetDigests())
	if n == 0 {
		return nil, true
	}
	var differences []bucketDifference
	start := g.cfg.Random.IntN(n)
	for i := range n {
		offset := (start + i) % n
		peerDigest := req.GetDigests()[offset]
		index := int(req.GetFirst()) + offset
		if peerDigest == g.table.digests[index] {
			continue
		}
		difference, size := encodeBucket(index, g.table.buckets[index], peerDigest == 0)
		if maxBytes -= size; maxBytes < 0 {
			return differences, false
		}
		differences = append(differences, difference)
	}
	return differences, true
}

// encodeBucket returns the response for one bucket and its size in bytes.
func encodeBucket(index int, members []*member, peerEmpty bool) (bucketDifference, int) {
	difference := bucketDifference{}
	if !peerEmpty {
		difference.bucket = &gossipwire.Bucket{Index: uint32(index)}
	}
	size := 2 * fieldOverhead
	for _, m := range members {
		switch {
		case !peerEmpty:
			u := encodeStatus(m)
			difference.bucket.Members = append(difference.bucket.Members, u)
			size += proto.Size(u) + fieldOverhead
		case m.live():
			u := encodeRecord(m)
			difference.records = append(difference.records, u)
			size += proto.Size(u) + fieldOverhead
		}
	}
	return difference, size
}

// ServeReconcile applies the records of a request and returns the wanted ones, as many
// as the budget allows. It fails if the budget is exhausted.
func (g *Gossiper) ServeReconcile(req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectFreeze(now)
	for _, u := range req.GetRecords() {
		g.apply(u, now)
	}
	maxBytes := g.budget.exchangeAllowance() - callOverhead
	var records []*gossipwire.Update
	for _, id := range req.GetWanted() {
		if m := g.table.members[id]; m != nil && m.live() {
			records = append(records, encodeRecord(m))
		}
	}
	resp := &gossipwire.ReconcileResponse{}
	_, size := fitCompressed(len(records), maxBytes, func(n int) proto.Message {
		resp.Records = records[:n]
		return resp
	})
	if !g.spendExchangeBytes(size + callOverhead) {
		return nil, errBudgetExhausted
	}
	return resp, nil
}
