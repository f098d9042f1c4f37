package gossiper

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire/gossipwireconnect"
)

const (
	// exchangeInterval is the average time between exchanges with peers whose tables
	// differ.
	exchangeInterval = 3 * time.Second
	// joinInterval is the average time between exchanges while the table is incomplete.
	joinInterval = 100 * time.Millisecond
	// windowBuckets is the number of buckets compared per request while the table is
	// incomplete, so that requests stay small.
	windowBuckets = 32
	// seedInterval is the average time between exchanges while no other instance is
	// known, and during startupPeriod. It is short because a process without peers serves
	// no requests, so a seed that has just started must be found soon.
	seedInterval = 250 * time.Millisecond
	// startupPeriod is how long after its start a process contacts seeds that are not
	// yet members.
	startupPeriod = 8 * time.Second
	// probeSuspensionTimeout limits how long a starting node sends no probes.
	probeSuspensionTimeout = 30 * time.Second
	// exchangeTimeout limits one exchange.
	exchangeTimeout = 2 * time.Second
	// joinTimeout limits one exchange while the table is incomplete.
	joinTimeout = time.Second
	// callOverhead is the number of bytes that HTTP and TCP headers add to a request or a
	// response.
	callOverhead = 400
	// requiredAgreements is the number of consecutive times that a peer's table must
	// hold nothing more before the table counts as complete.
	requiredAgreements = 3
	// maxCallBytes limits the body of one request or response.
	maxCallBytes = 64 << 10
	// maxRecordsPerCall limits the records that one request contains and asks for.
	maxRecordsPerCall = 256
	// minExchangeBytes is the budget that must be available before this node requests a
	// comparison, so that enough remains to respond to requests of other nodes.
	minExchangeBytes = 2400
	// introducedMembers is how many members a process that knows no other one is told of.
	introducedMembers = 10
	// minResponseBytes is the budget that must be available for the response to a
	// comparison, so that headers do not use up the budget.
	minResponseBytes = 1000
)

// errBudgetExhausted ends the exchange at the requesting process, whose next exchange may
// be with another peer.
var errBudgetExhausted = errors.New("membership byte budget exhausted")

// exchangeState holds the schedule of table exchanges and the progress of joining.
type exchangeState struct {
	joining       bool           // True until the table counts as complete.
	windows       []int          // First buckets of the windows still to compare while joining.
	agreements    int            // Consecutive times that a peer's table held nothing more.
	running       int            // Exchanges in progress.
	differingPeer netip.AddrPort // A peer whose table differed recently.
	next          time.Time
	started       time.Time
	seedTurn      bool // Toggled during startup, when every other exchange is with a missing seed.
}

// probesSuspended reports whether the node started recently and its table is
// incomplete. Such a node sends no probes: the few members that it knows are those that
// all starting nodes know, and acks alone would exhaust the budgets of these members.
func (x *exchangeState) probesSuspended(now time.Time) bool {
	return x.joining && now.Sub(x.started) < probeSuspensionTimeout
}

// startingUp reports whether the process started recently. If all processes start at
// the same time, those that joined through different seeds do not know each other until
// they contact the other seeds.
func (x *exchangeState) startingUp(now time.Time) bool { return now.Sub(x.started) < startupPeriod }

// Handler returns the path and the handler of the membership service, which must be
// served over TCP at the same address as the datagrams.
func (g *Gossiper) Handler() (string, http.Handler) {
	return gossipwireconnect.NewMembershipHandler(membershipHandler{g}, connect.WithReadMaxBytes(maxCallBytes))
}

// scheduleExchange starts an exchange if it is time for one.
func (g *Gossiper) scheduleExchange(now time.Time) {
	x := &g.exchange
	if x.running >= g.maxExchanges() || now.Before(x.next) || g.self.spec.State == registrar.StateLeft {
		return
	}
	peer, ok := g.nextExchangePeer(now)
	x.next = now.Add(g.exchangeDelay(now))
	x.differingPeer = netip.AddrPort{}
	if !ok || g.budget.exchangeAllowance() < minExchangeBytes || !g.budget.takeForExchange(callOverhead) {
		return
	}
	timeout := exchangeTimeout
	if x.joining {
		timeout = joinTimeout
	}
	x.running++
	g.tomb.Go(func() error {
		g.runExchange(peer, timeout)
		return nil
	})
}

// maxExchanges returns how many exchanges may be in progress. A process that knows no
// other one asks all seeds, without waiting for those that do not respond.
func (g *Gossiper) maxExchanges() int {
	if g.table.liveCount < 2 {
		return max(len(g.cfg.Seeds), 1)
	}
	return 1
}

func (g *Gossiper) exchangeDelay(now time.Time) time.Duration {
	switch {
	case g.table.liveCount < 2:
		return g.jitter(seedInterval)
	case g.exchange.joining:
		return g.jitter(joinInterval)
	case g.exchange.startingUp(now):
		return g.jitter(seedInterval)
	default:
		return g.jitter(exchangeInterval)
	}
}

// nextExchangePeer returns the peer for the next exchange: every other time during
// startup a missing seed, while joining or resyncing a random member or else a missing
// seed, and otherwise a peer whose table differed.
func (g *Gossiper) nextExchangePeer(now time.Time) (netip.AddrPort, bool) {
	x := &g.exchange
	if x.startingUp(now) {
		x.seedTurn = !x.seedTurn
		if x.seedTurn {
			// Only now, because missingSeed moves on to the next seed.
			if seed, missing := g.missingSeed(); missing {
				return seed, true
			}
		}
	}
	if !x.joining && !g.detector.resyncing(now) {
		return x.differingPeer, x.differingPeer.IsValid()
	}
	if m := g.table.sample(1, func(m *member) bool { return m != g.self }); len(m) > 0 {
		return m[0].spec.Peer, true
	}
	return g.missingSeed()
}

func (g *Gossiper) runExchange(peer netip.AddrPort, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), timeout)
	defer cancel()
	g.metrics.count(eventExchange)
	version, err := g.exchangeWith(ctx, peer)
	g.mu.Lock()
	g.exchange.running--
	newer := version.GetNumber() > g.version.GetNumber()
	g.mu.Unlock()
	if err != nil {
		g.metrics.count(eventExchangeFailed)
		g.log.Debug().Err(err).Stringer("peer", peer).Msg("Table exchange failed.")
		return
	}
	if newer && g.cfg.OnVersion != nil {
		g.cfg.OnVersion(peer, version)
	}
}

// exchangeWith compares tables with a peer and exchanges the records that differ. It
// returns the peer's configuration version.
func (g *Gossiper) exchangeWith(ctx context.Context, peer netip.AddrPort) (*controlwire.VersionDigest, error) {
	req, ok := g.newCompareRequest()
	if !ok {
		return nil, nil
	}
	resp, err := g.cfg.Client.Compare(ctx, peer, req)
	if err != nil {
		return nil, err
	}
	g.ObserveEvacuation(resp.GetEvacuation())
	reconcileReq := g.applyCompareResponse(resp)
	if len(reconcileReq.GetWanted())+len(reconcileReq.GetRecords()) > 0 {
		reconcileResp, err := g.cfg.Client.Reconcile(ctx, peer, reconcileReq)
		if err != nil {
			return nil, err
		}
		g.applyRecords(reconcileResp.GetRecords())
	}
	g.finishExchange(req, resp.GetMore())
	return resp.GetVersion(), nil
}

// newCompareRequest returns a request to compare the entire table or, if the
// differences exceeded one response, a window of it. It reports whether the budget
// allows the request.
func (g *Gossiper) newCompareRequest() (*gossipwire.CompareRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	req := &gossipwire.CompareRequest{Sender: encodeRecord(g.self)}
	digests := g.table.digests[:]
	if windows := g.exchange.windows; len(windows) > 0 {
		first := windows[g.cfg.Random.IntN(len(windows))]
		req.First = uint32(first)
		digests = digests[first : first+windowBuckets]
	}
	req.Digests = append(req.Digests, digests...)
	return req, g.spendExchangeBytes(compressedSize(req))
}

// spendExchangeBytes spends the bytes of a request or a response, and reports whether the
// budget allows it.
func (g *Gossiper) spendExchangeBytes(size int) bool {
	if !g.budget.takeForExchange(size) {
		g.metrics.count(eventOverBudget)
		return false
	}
	g.metrics.sentBytes.Inc(int64(size))
	return true
}

// applyCompareResponse applies the response to a comparison. It returns the request that
// sends the records that the peer lacks and asks for those that this node lacks.
func (g *Gossiper) applyCompareResponse(resp *gossipwire.CompareResponse) *gossipwire.ReconcileRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectFreeze(now)
	g.apply(resp.GetSender(), now)
	for _, u := range resp.GetRecords() {
		g.apply(u, now)
	}
	req := &gossipwire.ReconcileRequest{}
	for _, b := range resp.GetBuckets() {
		g.reconcileBucket(b, req, now)
	}
	return g.trimReconcileRequest(req)
}

// trimReconcileRequest returns the part of a request that the budget allows and spends
// its bytes. Records take precedence over wanted ids.
func (g *Gossiper) trimReconcileRequest(full *gossipwire.ReconcileRequest) *gossipwire.ReconcileRequest {
	records, wanted := full.GetRecords(), full.GetWanted()
	if len(records)+len(wanted) == 0 {
		return full
	}
	maxBytes := g.budget.exchangeAllowance() - callOverhead
	req := &gossipwire.ReconcileRequest{}
	n := min(len(records)+len(wanted), maxRecordsPerCall)
	fitted, size := fitCompressed(n, maxBytes, func(n int) proto.Message {
		req.Records = records[:min(n, len(records))]
		req.Wanted = wanted[:n-len(req.Records)]
		return req
	})
	if fitted == 0 || !g.spendExchangeBytes(size+callOverhead) {
		return &gossipwire.ReconcileRequest{}
	}
	return req
}

// reconcileBucket compares a peer's bucket with the local one. It adds the records that
// the peer lacks, and the ids of those that this node lacks, to req.
func (g *Gossiper) reconcileBucket(b *gossipwire.Bucket, req *gossipwire.ReconcileRequest, now time.Time) {
	listed := make(map[string]bool, len(b.GetMembers()))
	for _, u := range b.GetMembers() {
		if err := validateUpdate(u); err != nil {
			g.refuseUpdate(u, err)
			continue
		}
		listed[u.GetId()] = true
		m := g.table.members[u.GetId()]
		if m != nil && revisionOf(u).before(m.revision()) {
			req.Records = append(req.Records, encodeRecord(m))
			continue
		}
		needsRecord := m == nil || u.GetIncarnation() > m.spec.Incarnation
		if !needsRecord || u.GetId() == g.self.spec.ID {
			g.apply(u, now)
			continue
		}
		if isAnnouncement(u) {
			req.Wanted = append(req.Wanted, u.GetId())
		}
	}
	if b.GetIndex() >= bucketCount {
		return
	}
	for _, m := range g.table.buckets[b.GetIndex()] {
		if m.live() && !listed[m.spec.ID] {
			req.Records = append(req.Records, encodeRecord(m))
		}
	}
}

func (g *Gossiper) applyRecords(records []*gossipwire.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectFreeze(now)
	for _, u := range records {
		g.apply(u, now)
	}
}

// finishExchange ends a resync if the tables had no further differences, and while
// joining records which windows remain to be compared.
func (g *Gossiper) finishExchange(req *gossipwire.CompareRequest, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !more {
		g.detector.resyncUntil = time.Time{}
	}
	x := &g.exchange
	fullTable := len(req.GetDigests()) == bucketCount
	if knowsOnlyItself(req) {
		return // The response was an introduction.
	}
	switch {
	case !x.joining:
		x.windows = nil
	case fullTable && more:
		x.windows = allWindows()
	case fullTable:
		g.recordAgreement()
	case !more:
		x.windows = slices.DeleteFunc(x.windows, func(first int) bool { return first == int(req.GetFirst()) })
	}
}

// recordAgreement counts that a peer's table held nothing more. A single peer does not
// prove that the table is complete, since it may have started at the same time.
func (g *Gossiper) recordAgreement() {
	x := &g.exchange
	x.agreements++
	if x.joining && g.table.liveCount > 1 && x.agreements >= min(requiredAgreements, g.table.liveCount-1) {
		x.joining = false
		x.windows = nil
	}
}

func allWindows() []int {
	var windows []int
	for first := 0; first < bucketCount; first += windowBuckets {
		windows = append(windows, first)
	}
	return windows
}
