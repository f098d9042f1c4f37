// Package grantor decides how the requests of organisations are shared by the entry nodes, so
// that a quota holds over all of them.
//
// # Usage
//
//	g := grantor.New(grantor.Config{Window: window, Overage: 0.1, Slack: 20, Limit: limit})
//	g.Begin(tenure, members, now)     // once elected
//	answer, ok := g.Ask(from, ask, now)
//	g.Tick(now)                       // a few times a second
//
// A Grantor keeps one token bucket per organisation with traffic. It is made for a load of many
// times the limits that comes through nodes in changing shares, and for nodes that fall silent
// while they hold leases. See docs/design/quotas.md. It uses no network, and the caller serializes
// the calls. Server connects it to the network.
package grantor

import (
	"net/netip"
	"time"
)

const (
	// RenewInterval is the longest time between two asks of a node that holds leases, if it may
	// ask as often.
	RenewInterval = 150 * time.Millisecond
	// silentIntervals is the number of such times after which a node counts as silent.
	silentIntervals = 2
	// minInterval is the shortest time between two asks of a node, and asksPerSecond the number
	// of asks of all nodes that the interval allows.
	minInterval   = 20 * time.Millisecond
	asksPerSecond = 5000
	// A bucket may hold more than the burst by levelShare of the overage and slackShare of the
	// slack, and tokens are valid for validityShare of the overage, as a part of the window. A new
	// grantor may grant at least slackShare of the slack in a window, up to the limit, before it knows
	// all leases. The rest of both is for what silent nodes spend before they count as silent.
	validityShare = 0.5
	levelShare    = 0.2
	slackShare    = 0.25
	// leasableShare is the part of the rate that is leased at most, so that something is left
	// for nodes without a lease.
	leasableShare = 0.95
	// minValidity is the least time for which tokens are valid, whatever the overage: they have
	// to reach the node that asked for them.
	minValidity = 50 * time.Millisecond
	// minLease is the least rate that is leased, in requests a second.
	minLease = 0.01
	// minLeasableRate is the least limit of which parts are leased, in requests a second. A
	// node's part of a lower one would serve few requests, and without leases a new grantor
	// knows at once what is left of it.
	minLeasableRate = 50
	// maxNodeShare is the part of the rate that one node may lease. It bounds what a node that
	// has not reported its leases may spend.
	maxNodeShare = 0.1
	// maxWait is the longest time until there is room that an answer names.
	maxWait = 10 * time.Second
)

// Limit is the quota of an organisation.
type Limit struct{ Rate, Burst float64 }

// Config holds what a deployment allows, and the limits.
type Config struct {
	// Window is the time over which requests are counted, Overage the part of a limit by which
	// it may be exceeded, and Slack the number of requests by which besides.
	Window         time.Duration
	Overage, Slack float64
	// Limit returns the limit of an organisation and whether it has one.
	Limit func(OrganisationID) (Limit, bool)
}

// Lease returns the length of leases, which is one window.
func (c Config) Lease() time.Duration { return c.Window }

// validity returns how long tokens are valid.
func (c Config) validity() time.Duration {
	return max(time.Duration(validityShare*c.Overage*float64(c.Window)), minValidity)
}

// Grantor holds what one tenure has granted.
type Grantor struct {
	cfg     Config
	tenure  uint64
	begunAt time.Duration
	// unreported holds the nodes that may have leases of earlier tenures. It is nil once all are
	// known.
	unreported    map[netip.AddrPort]bool
	leasesKnownAt time.Duration // When all leases became known; 0 before.
	nodes         map[netip.AddrPort]*node
	pools         map[OrganisationID]*pool
}

// node is what is known of one node.
type node struct {
	start, formerStart uint64
	seq                uint32
	answer             Answer // The last one.
	heardAt            time.Duration
	silent             bool
	leases             map[OrganisationID]*lease
}

// lease is a part of an organisation's rate that a node may hold.
type lease struct {
	rate float64 // The most that the node may hold.
	wish float64
}

// New returns a grantor that has not begun.
func New(cfg Config) *Grantor { return &Grantor{cfg: cfg} }

// Begin begins a tenure. The given nodes may hold leases of earlier ones.
func (g *Grantor) Begin(tenure uint64, nodes []netip.AddrPort, now time.Duration) {
	g.tenure, g.begunAt, g.leasesKnownAt = tenure, now, 0
	g.unreported = make(map[netip.AddrPort]bool, len(nodes))
	for _, a := range nodes {
		g.unreported[a] = true
	}
	g.nodes = make(map[netip.AddrPort]*node)
	g.pools = make(map[OrganisationID]*pool)
	g.checkLeasesKnown(now)
}

// Tenure returns the id of the tenure.
func (g *Grantor) Tenure() uint64 { return g.tenure }

// Unreported returns the nodes that have not reported their leases yet.
func (g *Grantor) Unreported() []netip.AddrPort {
	var list []netip.AddrPort
	for a := range g.unreported {
		list = append(list, a)
	}
	return list
}

// Ask answers a node. It returns false for an ask that is older than the last one.
func (g *Grantor) Ask(from netip.AddrPort, ask Ask, now time.Duration) (Answer, bool) {
	n := g.nodes[from]
	if n != nil && (ask.Start == n.formerStart || ask.Start == n.start && ask.Seq < n.seq) {
		return Answer{}, false
	}
	if n != nil && ask.Start == n.start && ask.Seq == n.seq {
		return n.answer, true
	}
	n = g.hear(from, ask, now)
	n.answer = Answer{
		Seq: ask.Seq, Tenure: g.tenure,
		Interval: g.interval(), Validity: g.cfg.validity(), Lease: g.cfg.Lease(),
	}
	for _, r := range ask.Records {
		n.answer.Grants = append(n.answer.Grants, g.grant(n, r, now))
	}
	if ask.Complete && ask.Tenure == g.tenure && g.unreported != nil {
		delete(g.unreported, from)
		g.checkLeasesKnown(now)
	}
	return n.answer, true
}

// hear records that a node has sent an ask, and returns the node, which is not silent any more.
func (g *Grantor) hear(from netip.AddrPort, ask Ask, now time.Duration) *node {
	n := g.nodes[from]
	if n == nil {
		n = &node{start: ask.Start, leases: make(map[OrganisationID]*lease)}
		g.nodes[from] = n
	}
	if n.start != ask.Start {
		g.free(n, now) // The process that held them has ended.
		n.formerStart, n.start = n.start, ask.Start
	}
	if n.silent {
		g.refund(n, now)
	}
	n.seq, n.heardAt = ask.Seq, now
	return n
}

// interval returns the shortest time between two asks of a node.
func (g *Grantor) interval() time.Duration {
	return max(minInterval, time.Duration(len(g.nodes))*time.Second/asksPerSecond)
}

// silentAfter returns the time after which a node that holds leases counts as silent.
func (g *Grantor) silentAfter() time.Duration {
	return silentIntervals * max(RenewInterval, g.interval())
}

// grant decides on one record of an ask.
func (g *Grantor) grant(n *node, r AskRecord, now time.Duration) Grant {
	limit, limited := g.cfg.Limit(r.Organisation)
	if !limited { // Not in the configuration that this instance knows.
		return Grant{Organisation: r.Organisation, Wait: g.cfg.Window}
	}
	p := g.pool(r.Organisation, limit, now)
	p.advance(now, g.accrual(p))
	p.add(float64(r.Returned - g.charged(n, r)))
	rate := g.lease(n, p, r)
	tokens := p.take(r.Wanted)
	granted := Grant{Organisation: r.Organisation, Tokens: tokens, Rate: rate}
	if tokens < r.Wanted {
		granted.Wait = p.wait(g.accrual(p))
	}
	return granted
}

// charged returns how many of the requests that a node took from its lease are deducted from the
// pool. Those of an earlier tenure are not, since nothing has accrued for that lease yet.
func (g *Grantor) charged(n *node, r AskRecord) int {
	if known, _ := g.leasesKnown(g.pools[r.Organisation]); n.leases[r.Organisation] == nil && !known {
		return 0
	}
	return r.Spent
}

// pool returns the pool of an organisation, with its limit as it is now.
func (g *Grantor) pool(id OrganisationID, limit Limit, now time.Duration) *pool {
	p := g.pools[id]
	if p == nil {
		p = &pool{at: now}
		g.pools[id] = p
		p.setLimit(limit, g.cfg)
		if known, at := g.leasesKnown(p); known {
			p.add(limit.Rate * (now - at).Seconds())
		}
		return p
	}
	if p.limit != limit {
		p.advance(now, g.accrual(p))
		p.setLimit(limit, g.cfg)
	}
	return p
}

// leasesKnown reports whether the leases of an organisation are known, and since when.
func (g *Grantor) leasesKnown(p *pool) (known bool, since time.Duration) {
	if p.limit.Rate < minLeasableRate {
		return true, g.begunAt
	}
	return g.leasesKnownAt > 0, g.leasesKnownAt
}

// accrual returns the tokens a second that a pool gets: the rate without what silent nodes may
// spend, and what nodes may spend that have not reported their leases. At least it is what the
// nodes that were heard from hold, since they ask now instead of spending it, and a small
// allowance.
func (g *Grantor) accrual(p *pool) float64 {
	if known, _ := g.leasesKnown(p); known {
		return max(p.limit.Rate-p.silent, 0)
	}
	most := float64(len(g.unreported)) * maxNodeShare * p.limit.Rate // Of nodes that have not reported.
	unknown := min(most, max(leasableShare*p.limit.Rate-p.leased, 0))
	allowance := slackShare * g.cfg.Slack / g.cfg.Window.Seconds()
	least := min(max(p.leased-p.silent, 0)+allowance, p.limit.Rate)
	return max(p.limit.Rate-p.silent-unknown, least)
}

// lease decides which rate a node may hold, and returns it. What it holds already counts until
// the node has reported that it holds less.
func (g *Grantor) lease(n *node, p *pool, r AskRecord) float64 {
	l := n.leases[r.Organisation]
	if l == nil {
		l = &lease{}
	}
	p.leased -= l.rate
	p.wished += r.Wish - l.wish
	share := r.Wish
	if leasable := leasableShare * p.limit.Rate; p.wished > leasable {
		share *= leasable / p.wished
	}
	granted := min(share, maxNodeShare*p.limit.Rate, max(leasableShare*p.limit.Rate-p.leased, 0))
	if p.limit.Rate < minLeasableRate {
		granted = 0
	}
	if g.leasesKnownAt == 0 {
		granted = min(granted, r.Held)
	}
	if granted < minLease {
		granted = 0
	}
	l.rate, l.wish = max(granted, r.Held), r.Wish
	p.leased += l.rate
	if l.rate == 0 && l.wish == 0 {
		delete(n.leases, r.Organisation)
	} else {
		n.leases[r.Organisation] = l
	}
	return granted
}

// Tick takes account of time: nodes that fell silent, leases that ended, unused pools.
func (g *Grantor) Tick(now time.Duration) {
	for a, n := range g.nodes {
		switch {
		case now-n.heardAt >= g.cfg.Lease():
			g.free(n, now)
			delete(g.nodes, a)
		case !n.silent && now-n.heardAt >= g.silentAfter():
			g.silence(n, now)
		}
	}
	g.checkLeasesKnown(now)
	for id, p := range g.pools {
		if p.advance(now, g.accrual(p)); p.idle() && g.leasesKnownAt > 0 {
			delete(g.pools, id)
		}
	}
}

// silence marks a node as silent: what it may spend is deducted from the pools, from when it was
// heard last.
func (g *Grantor) silence(n *node, now time.Duration) {
	n.silent = true
	for id, l := range n.leases {
		p := g.pools[id]
		p.advance(now, g.accrual(p))
		p.add(-l.rate * (now - n.heardAt).Seconds())
		p.silent += l.rate
	}
}

// refund ends the silence of a node: the pools get back what was deducted, since the node reports
// what it spent.
func (g *Grantor) refund(n *node, now time.Duration) {
	n.silent = false
	for id, l := range n.leases {
		p := g.pools[id]
		p.advance(now, g.accrual(p))
		p.silent -= l.rate
		p.add(l.rate * (now - n.heardAt).Seconds())
	}
}

// free ends the leases of a node.
func (g *Grantor) free(n *node, now time.Duration) {
	for id, l := range n.leases {
		p := g.pools[id]
		p.advance(now, g.accrual(p))
		p.leased -= l.rate
		p.wished -= l.wish
		if n.silent {
			p.silent -= l.rate
		}
	}
	n.silent = false
	clear(n.leases)
}

// checkLeasesKnown checks whether all leases of earlier tenures are known or have ended.
func (g *Grantor) checkLeasesKnown(now time.Duration) {
	if g.leasesKnownAt > 0 || len(g.unreported) > 0 && now-g.begunAt < g.cfg.Lease() {
		return
	}
	for _, p := range g.pools {
		p.advance(now, g.accrual(p))
	}
	g.unreported, g.leasesKnownAt = nil, now
}
