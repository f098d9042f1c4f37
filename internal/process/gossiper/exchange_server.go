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
	resp := &gossipwire.CompareResponse{Sender: encodeFull(g.self), Version: g.version, More: true}
	room := g.budget.bulk() - callOverhead - proto.Size(resp)
	if room < 0 {
		g.metrics.count(eventOverBudget)
		return nil, errBudget
	}
	if !g.detector.resyncing(now) && int(req.GetFirst())+len(req.GetDigests()) <= bucketCount {
		resp.More = g.addBuckets(resp, req, room)
	}
	g.spendCall(proto.Size(resp) + callOverhead)
	return resp, nil
}

// addBuckets adds differing buckets within room bytes, beginning with a random
// one, and reports whether some were left out.
func (g *Gossiper) addBuckets(resp *gossipwire.CompareResponse, req *gossipwire.CompareRequest, room int) bool {
	n := len(req.GetDigests())
	if n == 0 {
		return false
	}
	start := g.cfg.Random.IntN(n)
	byBucket := g.table.byBucket()
	for i := range n {
		offset := (start + i) % n
		theirs := req.GetDigests()[offset]
		index := int(req.GetFirst()) + offset
		if theirs == g.table.digests[index] {
			continue
		}
		used, ok := addBucket(resp, index, byBucket[index], theirs == 0, room)
		if !ok {
			return true
		}
		room -= used
	}
	return false
}

// addBucket adds one bucket to an answer, as full records if the asking
// instance has none, and returns its size. It adds nothing if room is short.
func addBucket(resp *gossipwire.CompareResponse, index int, members []*member, full bool, room int) (int, bool) {
	bucket := &gossipwire.Bucket{Index: uint32(index)}
	var records []*gossipwire.Update
	size := 2 * fieldOverhead
	for _, m := range members {
		u := encodeShort(m)
		if full && m.live() {
			u = encodeFull(m)
			records = append(records, u)
		} else {
			bucket.Members = append(bucket.Members, u)
		}
		size += proto.Size(u) + fieldOverhead
	}
	if size > room {
		return 0, false
	}
	resp.Records = append(resp.Records, records...)
	if !full {
		resp.Buckets = append(resp.Buckets, bucket)
	}
	return size, true
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
	resp := &gossipwire.ReconcileResponse{}
	room := g.budget.bulk() - callOverhead
	if room < 0 {
		g.metrics.count(eventOverBudget)
		return nil, errBudget
	}
	for _, id := range req.GetWanted() {
		m := g.table.members[id]
		if m == nil || !m.live() {
			continue
		}
		record := encodeFull(m)
		if room -= proto.Size(record) + fieldOverhead; room < 0 {
			break
		}
		resp.Records = append(resp.Records, record)
	}
	g.spendCall(proto.Size(resp) + callOverhead)
	return resp, nil
}
