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

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire/gossipwireconnect"
)

const (
	// exchangeInterval is the average time between exchanges with peers whose tables differ.
	exchangeInterval = 3 * time.Second
	// joinInterval is the average time between exchanges while the table is not complete.
	joinInterval = 100 * time.Millisecond
	// windowBuckets is how many buckets are compared at once while the table is
	// not complete, so that a request stays small.
	windowBuckets = 32
	// seedInterval is the average time between exchanges while no other instance is
	// known: such a process serves nobody, and a seed that has just started is soon found.
	seedInterval = 250 * time.Millisecond
	// youngPeriod is how long after its start a process looks for the seeds that it
	// has not found.
	youngPeriod = 8 * time.Second
	// quietTimeout bounds how long a starting node probes nobody.
	quietTimeout = 30 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// joinTimeout bounds one exchange while the table is not complete.
	joinTimeout = time.Second
	// callOverhead is the bytes of headers that a call or an answer adds, with those of TCP.
	callOverhead = 400
	// agreements is how many times in a row peers must know nothing more before
	// the table counts as complete.
	agreements = 3
	// maxCallBytes bounds the body of one call or answer.
	maxCallBytes = 64 << 10
	// maxDifferences bounds the records sent and asked for in one call.
	maxDifferences = 256
	// exchangeRoom is the bytes that must be left for comparisons before this node
	// asks for one, so that enough stays to answer those that others ask for.
	exchangeRoom = 2400
	// minAnswerBytes is the least room for which a comparison is answered, so
	// that headers do not use up the budget.
	minAnswerBytes = 1000
)

// errBudget tells an asking process to turn to another one.
var errBudget = errors.New("the byte budget for membership is spent")

// exchangeState says when to compare tables with whom.
type exchangeState struct {
	joining   bool           // True until peers had nothing more to tell.
	windows   []int          // First buckets of the windows that peers have more of, while joining.
	agreed    int            // How many times in a row peers knew nothing more.
	running   bool           // True while a call is under way.
	differing netip.AddrPort // A peer whose table differed lately.
	next      time.Time
	started   time.Time
	seedTurn  bool // The next exchange while young is with a missing seed.
}

// quiet reports whether the node started lately and its table is not complete.
// Such a node probes nobody: the few members that it knows are those that all
// starting nodes know, and their acks alone would use up their budgets.
func (x *exchangeState) quiet(now time.Time) bool {
	return x.joining && now.Sub(x.started) < quietTimeout
}

// young reports whether the process started lately. Where all start at the same
// moment, those that found different seeds know nothing of each other until the
// other seeds are found as well.
func (x *exchangeState) young(now time.Time) bool { return now.Sub(x.started) < youngPeriod }

// Handler returns the path and the handler of the membership service, to be
// served over TCP at the address of the datagrams.
func (g *Gossiper) Handler() (string, http.Handler) {
	return gossipwireconnect.NewMembershipHandler(server{g}, connect.WithReadMaxBytes(maxCallBytes))
}

// scheduleExchange starts an exchange if one is due.
func (g *Gossiper) scheduleExchange(now time.Time) {
	x := &g.exchange
	if x.running || now.Before(x.next) || g.self.spec.State == registrar.StateLeft {
		return
	}
	peer, ok := g.exchangePeer(now)
	x.next = now.Add(g.exchangeDelay(now))
	x.differing = netip.AddrPort{}
	if !ok || g.budget.bulk() < exchangeRoom || !g.budget.takeBulk(callOverhead) {
		return
	}
	timeout := exchangeTimeout
	if x.joining {
		timeout = joinTimeout
	}
	x.running = true
	g.tomb.Go(func() error {
		g.runExchange(peer, timeout)
		return nil
	})
}

func (g *Gossiper) exchangeDelay(now time.Time) time.Duration {
	switch {
	case g.table.live < 2:
		return g.jitter(seedInterval)
	case g.exchange.joining:
		return g.jitter(joinInterval)
	case g.exchange.young(now):
		return g.jitter(seedInterval)
	default:
		return g.jitter(exchangeInterval)
	}
}

// exchangePeer returns the peer of the next exchange: a random member or a
// seed while the table is incomplete, else one whose table differed, or, soon
// after the start, a seed that was not there yet.
func (g *Gossiper) exchangePeer(now time.Time) (netip.AddrPort, bool) {
	x := &g.exchange
	if x.young(now) {
		x.seedTurn = !x.seedTurn
		if seed, missing := g.missingSeed(); missing && x.seedTurn {
			return seed, true
		}
	}
	if !x.joining && !g.detector.resyncing(now) {
		return x.differing, x.differing.IsValid()
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
	version, err := g.compareWith(ctx, peer)
	g.mu.Lock()
	g.exchange.running = false
	newer := version.GetNumber() > g.version.GetNumber()
	g.mu.Unlock()
	if err != nil {
		g.metrics.count(eventExchangeFail)
		g.log.Debug().Err(err).Stringer("peer", peer).Msg("Comparing tables failed.")
		return
	}
	if newer && g.cfg.OnVersion != nil {
		g.cfg.OnVersion(peer, version)
	}
}

// compareWith compares tables with a peer and exchanges what differs.
func (g *Gossiper) compareWith(ctx context.Context, peer netip.AddrPort) (*controlwire.VersionDigest, error) {
	req, ok := g.compareRequest()
	if !ok {
		return nil, nil
	}
	resp, err := g.cfg.Client.Compare(ctx, peer, req)
	if err != nil {
		return nil, err
	}
	next := g.takeCompared(resp)
	if len(next.GetWanted())+len(next.GetRecords()) > 0 {
		answer, err := g.cfg.Client.Reconcile(ctx, peer, next)
		if err != nil {
			return nil, err
		}
		g.takeRecords(answer.GetRecords())
	}
	g.finishExchange(req, resp.GetMore())
	return resp.GetVersion(), nil
}

// compareRequest asks to compare the whole table, or, after a peer had more to
// tell than fits, a window of it.
func (g *Gossiper) compareRequest() (*gossipwire.CompareRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	req := &gossipwire.CompareRequest{Sender: encodeFull(g.self)}
	digests := g.table.digests[:]
	if windows := g.exchange.windows; len(windows) > 0 {
		first := windows[g.cfg.Random.IntN(len(windows))]
		req.First = uint32(first)
		digests = digests[first : first+windowBuckets]
	}
	req.Digests = append(req.Digests, digests...)
	return req, g.spendCall(compressedSize(req))
}

func (g *Gossiper) spendCall(size int) bool {
	if !g.budget.takeBulk(size) {
		g.metrics.count(eventOverBudget)
		return false
	}
	g.metrics.bytes.Inc(int64(size))
	return true
}

// takeCompared applies the answer to a comparison and returns what to ask for
// and what to send.
func (g *Gossiper) takeCompared(resp *gossipwire.CompareResponse) *gossipwire.ReconcileRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.noticeFreeze(now)
	g.apply(resp.GetSender(), now)
	for _, u := range resp.GetRecords() {
		g.apply(u, now)
	}
	difference := &gossipwire.ReconcileRequest{}
	for _, b := range resp.GetBuckets() {
		g.reconcileBucket(b, difference, now)
	}
	return g.trimDifference(difference)
}

// trimDifference returns as much of a request as the budget allows, and spends
// its bytes. Records come before wanted ids.
func (g *Gossiper) trimDifference(difference *gossipwire.ReconcileRequest) *gossipwire.ReconcileRequest {
	records, wanted := difference.GetRecords(), difference.GetWanted()
	if len(records)+len(wanted) == 0 {
		return difference
	}
	room := g.budget.bulk() - callOverhead
	req := &gossipwire.ReconcileRequest{}
	n := min(len(records)+len(wanted), maxDifferences)
	part, size := fit(n, room, func(n int) proto.Message {
		req.Records = records[:min(n, len(records))]
		req.Wanted = wanted[:n-len(req.Records)]
		return req
	})
	if part == 0 || !g.spendCall(size+callOverhead) {
		return &gossipwire.ReconcileRequest{}
	}
	return req
}

// reconcileBucket compares one bucket of a peer with the own one, and adds to
// difference what either side lacks.
func (g *Gossiper) reconcileBucket(b *gossipwire.Bucket, difference *gossipwire.ReconcileRequest, now time.Time) {
	theirs := make(map[string]bool, len(b.GetMembers()))
	for _, u := range b.GetMembers() {
		theirs[u.GetId()] = true
		m := g.table.members[u.GetId()]
		if m != nil && stampOf(u).before(m.stamp()) {
			difference.Records = append(difference.Records, encodeFull(m))
			continue
		}
		unknown := m == nil || u.GetIncarnation() > m.spec.Incarnation
		if !unknown || u.GetId() == g.self.spec.ID {
			g.apply(u, now)
			continue
		}
		if announced(u) {
			difference.Wanted = append(difference.Wanted, u.GetId())
		}
	}
	if b.GetIndex() >= bucketCount {
		return
	}
	for _, m := range g.table.buckets[b.GetIndex()] {
		if m.live() && !theirs[m.spec.ID] {
			difference.Records = append(difference.Records, encodeFull(m))
		}
	}
}

func (g *Gossiper) takeRecords(records []*gossipwire.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.noticeFreeze(now)
	for _, u := range records {
		g.apply(u, now)
	}
}

// finishExchange notes what is left to ask for while joining.
func (g *Gossiper) finishExchange(req *gossipwire.CompareRequest, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !more {
		g.detector.resyncUntil = time.Time{}
	}
	x := &g.exchange
	whole := len(req.GetDigests()) == bucketCount
	switch {
	case !x.joining:
		x.windows = nil
	case whole && more:
		x.windows = allWindows()
	case whole:
		g.agree()
	case !more:
		x.windows = slices.DeleteFunc(x.windows, func(first int) bool { return first == int(req.GetFirst()) })
	}
}

// agree notes that a peer knew nothing more. One peer is no proof that the
// table is complete, since it may have started at the same time.
func (g *Gossiper) agree() {
	x := &g.exchange
	x.agreed++
	if x.joining && g.table.live > 1 && x.agreed >= min(agreements, g.table.live-1) {
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
