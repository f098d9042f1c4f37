package gossiper

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// server answers the calls of other processes.
type server struct{ g *Gossiper }

// Compare answers with differing buckets, as many as the budget allows.
func (s server) Compare(_ context.Context, req *connect.Request[gossipwire.CompareRequest]) (*connect.Response[gossipwire.CompareResponse], error) {
	resp, err := s.g.ServeCompare(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(resp), nil
}

// Reconcile takes newer records and answers with those that are wanted.
func (s server) Reconcile(_ context.Context, req *connect.Request[gossipwire.ReconcileRequest]) (*connect.Response[gossipwire.ReconcileResponse], error) {
	resp, err := s.g.ServeReconcile(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(resp), nil
}

// ServeCompare answers a comparison of tables. It fails if the budget is spent.
func (g *Gossiper) ServeCompare(req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.noticeFreeze(now)
	g.apply(req.GetSender(), now)
	room := g.budget.bulk() - callOverhead
	if len(req.GetDigests()) == 0 {
		return g.answerProbe()
	}
	if room < minAnswerBytes {
		g.metrics.count(eventOverBudget)
		return nil, errBudget
	}
	resp, size := g.answerCompare(req, room, now)
	if !g.spendCall(size + callOverhead) {
		return nil, errBudget
	}
	return resp, nil
}

// answerProbe answers a request without digests, which only asks whether this
// process lives.
func (g *Gossiper) answerProbe() (*gossipwire.CompareResponse, error) {
	resp := &gossipwire.CompareResponse{Sender: encodeFull(g.self)}
	if !g.budget.take(compressedSize(resp) + callOverhead) {
		return nil, errBudget
	}
	return resp, nil
}

// answerCompare returns an answer with as many differing buckets as fit into
// room bytes, beginning with a random one, and its size.
func (g *Gossiper) answerCompare(req *gossipwire.CompareRequest, room int, now time.Time) (*gossipwire.CompareResponse, int) {
	resp := &gossipwire.CompareResponse{Sender: encodeFull(g.self), Version: g.version, More: true}
	if g.detector.resyncing(now) || int(req.GetFirst())+len(req.GetDigests()) > bucketCount {
		return resp, compressedSize(resp)
	}
	parts, all := g.differingBuckets(req, min(maxCompression*room, maxCallBytes/2))
	n, size := fit(len(parts), room, func(n int) proto.Message {
		resp.Buckets, resp.Records = nil, nil
		for _, p := range parts[:n] {
			resp.Records = append(resp.Records, p.records...)
			if p.bucket != nil {
				resp.Buckets = append(resp.Buckets, p.bucket)
			}
		}
		return resp
	})
	resp.More = !all || n < len(parts)
	return resp, size
}

// bucketAnswer is what is told about one bucket: its list, or the full records
// of its live members if the asking instance has none of them.
type bucketAnswer struct {
	bucket  *gossipwire.Bucket
	records []*gossipwire.Update
}

// differingBuckets returns the differing buckets of up to limit bytes in all,
// beginning with a random one, and whether these are all.
func (g *Gossiper) differingBuckets(req *gossipwire.CompareRequest, limit int) ([]bucketAnswer, bool) {
	n := len(req.GetDigests())
	if n == 0 {
		return nil, true
	}
	var parts []bucketAnswer
	start := g.cfg.Random.IntN(n)
	for i := range n {
		offset := (start + i) % n
		theirs := req.GetDigests()[offset]
		index := int(req.GetFirst()) + offset
		if theirs == g.table.digests[index] {
			continue
		}
		part, size := answerBucket(index, g.table.buckets[index], theirs == 0)
		if limit -= size; limit < 0 {
			return parts, false
		}
		parts = append(parts, part)
	}
	return parts, true
}

// answerBucket returns what is told about one bucket and its size in bytes.
func answerBucket(index int, members []*member, empty bool) (bucketAnswer, int) {
	part := bucketAnswer{}
	if !empty {
		part.bucket = &gossipwire.Bucket{Index: uint32(index)}
	}
	size := 2 * fieldOverhead
	for _, m := range members {
		switch {
		case !empty:
			u := encodeShort(m)
			part.bucket.Members = append(part.bucket.Members, u)
			size += proto.Size(u) + fieldOverhead
		case m.live():
			u := encodeFull(m)
			part.records = append(part.records, u)
			size += proto.Size(u) + fieldOverhead
		}
	}
	return part, size
}

// ServeReconcile answers an exchange of records. It fails if the budget is spent.
func (g *Gossiper) ServeReconcile(req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.noticeFreeze(now)
	for _, u := range req.GetRecords() {
		g.apply(u, now)
	}
	room := g.budget.bulk() - callOverhead
	var records []*gossipwire.Update
	for _, id := range req.GetWanted() {
		if m := g.table.members[id]; m != nil && m.live() {
			records = append(records, encodeFull(m))
		}
	}
	resp := &gossipwire.ReconcileResponse{}
	_, size := fit(len(records), room, func(n int) proto.Message {
		resp.Records = records[:n]
		return resp
	})
	if !g.spendCall(size + callOverhead) {
		return nil, errBudget
	}
	return resp, nil
}
