package gossiper

import (
	"context"
	"net/netip"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	// probePeriod is how often one member is pinged.
	probePeriod = time.Second
	// indirectProbes is how many others are asked to ping a member.
	indirectProbes = 3
	// suspicionPeriods scales the shortest suspicion timeout, in probe periods.
	suspicionPeriods = 3
	// maxSuspicionFactor is the longest suspicion timeout in units of the shortest.
	maxSuspicionFactor = 2
	// confirmations is how many accusers besides the first shorten the timeout to the shortest.
	confirmations = 2
	// freezeBound is the gap in a node's own work after which it does not
	// trust what it concluded about others.
	freezeBound = 2 * time.Second
	// resyncTimeout is how long a node that froze waits for a peer to compare
	// tables with before it suspects others again.
	resyncTimeout = 15 * time.Second
	// disputeInterval is the time between pings that settle disagreements.
	disputeInterval = 500 * time.Millisecond
	// maxRelays bounds the pings in flight on behalf of others.
	maxRelays = 256
	// maxDisputes bounds the remembered disagreements.
	maxDisputes = 4096
	// retryInterval is the average time between pings of failed members and missing seeds.
	retryInterval = 5 * time.Second
	// forgetInterval is the time between searches for members to forget.
	forgetInterval = 10 * time.Second
	// lateRetention is how long a ping is remembered, so that a late ack is noticed.
	lateRetention = time.Minute
	// reportInterval is the shortest time between probes out of turn: those that
	// the path of a request asks for, and those that verify a suspicion.
	reportInterval = 100 * time.Millisecond
)

// probe is a ping in flight.
type probe struct {
	id       string
	to       netip.AddrPort
	sent     time.Time
	deadline time.Time // When others are asked, then when the member is suspect.
	repeated bool      // True once the ping was sent again.
	indirect bool
	asked    int // How many others were asked.
	nacks    int // How many of them answered that the member does not.
}

// relay is a ping in flight on behalf of another node.
type relay struct {
	nonce    uint64
	to       netip.AddrPort
	deadline time.Time
}

// dispute is a disagreement whether a member lives.
type dispute struct {
	to       netip.AddrPort
	accused  stamp
	suspects bool // Whether the member is suspect if it does not answer.
}

// detector holds the timers of failure detection.
type detector struct {
	probes      map[uint64]*probe
	late        map[uint64]time.Time // When pings whose time is over were sent.
	relays      map[uint64]*relay
	disputes    map[string]dispute
	nextProbe   time.Time
	nextDispute time.Time
	nextRetry   time.Time
	nextForget  time.Time
	nextReport  time.Time
	resyncUntil time.Time // Not zero after a freeze until tables were compared.
}

func newDetector() detector {
	return detector{
		probes:   make(map[uint64]*probe),
		late:     make(map[uint64]time.Time),
		relays:   make(map[uint64]*relay),
		disputes: make(map[string]dispute),
	}
}

func (d *detector) probing(id string) bool {
	for _, p := range d.probes {
		if p.id == id {
			return true
		}
	}
	return false
}

// allowReport limits the probes out of turn.
func (d *detector) allowReport(now time.Time) bool {
	if now.Before(d.nextReport) {
		return false
	}
	d.nextReport = now.Add(reportInterval)
	return true
}

// resyncing reports whether the node froze and has not compared tables since.
func (d *detector) resyncing(now time.Time) bool { return now.Before(d.resyncUntil) }

// noticeFreeze compares now to when the node last did anything. After a long
// gap it drops what it concluded about others, since the silence was its own.
func (g *Gossiper) noticeFreeze(now time.Time) {
	gap := max(now.Sub(g.lastSeen), now.Round(0).Sub(g.lastSeen.Round(0)))
	g.lastSeen = now
	if gap <= freezeBound {
		return
	}
	g.metrics.count(eventFroze)
	g.log.Warn().Dur("gap", gap).Msg("This process stood still; its suspicions are dropped.")
	clear(g.detector.probes)
	clear(g.detector.late)
	clear(g.detector.relays)
	clear(g.detector.disputes)
	g.queue.retain(g.self.spec.ID)
	for _, m := range g.table.members {
		g.restartSuspicion(m, now)
	}
	g.detector.resyncUntil = now.Add(resyncTimeout)
	g.exchange.next = now
}

// detect runs the timers of failure detection.
func (g *Gossiper) detect(now time.Time) {
	d := &g.detector
	g.expireProbes(now)
	g.expireSuspicions(now)
	if !now.Before(d.nextProbe) {
		d.nextProbe = now.Add(g.health.scale(probePeriod))
		if m := g.table.next(g.self.spec.ID); m != nil && !g.exchange.quiet(now) {
			g.probe(m, now)
		}
	}
	if !now.Before(d.nextDispute) {
		d.nextDispute = now.Add(disputeInterval)
		g.settleDispute(now)
	}
	if !now.Before(d.nextRetry) {
		d.nextRetry = now.Add(g.jitter(retryInterval))
		g.retryFailed(now)
	}
	if !now.Before(d.nextForget) {
		d.nextForget = now.Add(forgetInterval)
		if g.table.forget(now) {
			g.metrics.count(eventForgotten)
			g.dirty = true
		}
	}
}

// jitter returns a random duration between half of d and one and a half of d.
func (g *Gossiper) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.cfg.Random.Int64N(int64(d)))
}

// probe pings a member and expects an ack, unless a ping to it is in flight. A
// suspect is told of the suspicion.
func (g *Gossiper) probe(m *member, now time.Time) {
	if g.detector.probing(m.spec.ID) {
		return
	}
	nonce := g.cfg.Random.Uint64()
	msg := &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PING, Nonce: nonce, Receiver: m.spec.ID}
	if m.status != statusAlive {
		msg.Updates = append(msg.Updates, encodeShort(m))
	}
	g.detector.probes[nonce] = &probe{id: m.spec.ID, to: m.spec.Peer, sent: now, deadline: now.Add(g.health.ackTimeout())}
	g.send(m.spec.Peer, msg)
}

func (g *Gossiper) expireProbes(now time.Time) {
	d := &g.detector
	for nonce, p := range d.probes {
		if now.Before(p.deadline) {
			g.repeatPing(nonce, p, now)
			continue
		}
		if !p.indirect {
			g.askOthers(nonce, p, now)
			continue
		}
		delete(d.probes, nonce)
		d.late[nonce] = p.sent
		g.concludeProbe(p, now)
	}
	for nonce, sent := range d.late {
		if now.Sub(sent) > lateRetention {
			delete(d.late, nonce)
		}
	}
	for nonce, r := range d.relays {
		if now.After(r.deadline) {
			delete(d.relays, nonce)
			g.send(r.to, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_NACK, Nonce: r.nonce})
		}
	}
}

// repeatPing sends a ping again once half of the time for its ack has passed.
func (g *Gossiper) repeatPing(nonce uint64, p *probe, now time.Time) {
	if p.repeated || p.indirect || now.Sub(p.sent) < p.deadline.Sub(p.sent)/2 {
		return
	}
	p.repeated = true
	g.send(p.to, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PING, Nonce: nonce, Receiver: p.id})
}

// concludeProbe suspects a member that neither this node nor those that it
// asked could reach. If not even they answered, this node may be at fault.
func (g *Gossiper) concludeProbe(p *probe, now time.Time) {
	if p.asked > 0 && p.nacks == 0 {
		g.health.worsen()
	}
	m := g.table.members[p.id]
	if m == nil || m.spec.Peer != p.to || g.detector.resyncing(now) {
		return
	}
	g.suspect(m, g.self.spec.ID, now)
}

// askOthers asks random members to ping a member that did not ack in time.
func (g *Gossiper) askOthers(nonce uint64, p *probe, now time.Time) {
	p.indirect = true
	p.deadline = now.Add(g.health.indirectTimeout())
	others := g.table.sample(indirectProbes, func(m *member) bool {
		return m != g.self && m.spec.ID != p.id && m.status == statusAlive
	})
	p.asked = len(others)
	for _, m := range others {
		g.send(m.spec.Peer, &gossipwire.Datagram{
			Kind:      gossipwire.Datagram_KIND_PING_REQUEST,
			Nonce:     nonce,
			Receiver:  m.spec.ID,
			Subject:   encodeAddress(p.to),
			SubjectId: p.id,
		})
	}
	g.callMember(nonce, p, now)
}

// callMember asks a member over TCP for its record, which lost datagrams do not
// prevent, and takes the answer for an ack.
func (g *Gossiper) callMember(nonce uint64, p *probe, now time.Time) {
	req := &gossipwire.CompareRequest{Sender: encodeFull(g.self)}
	if !g.tomb.Alive() || !g.budget.take(compressedSize(req)+callOverhead) {
		return
	}
	timeout := p.deadline.Sub(now)
	g.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), timeout)
		defer cancel()
		resp, err := g.cfg.Client.Compare(ctx, p.to, req)
		if err != nil || resp.GetSender().GetId() != p.id {
			return nil //nolint:nilerr // The probe ends at its deadline.
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		now := time.Now()
		g.noticeFreeze(now)
		delete(g.detector.probes, nonce)
		if m := g.table.members[p.id]; m != nil {
			m.heard = now
		}
		g.apply(resp.GetSender(), now)
		return nil
	})
}

func (g *Gossiper) setStatus(m *member, s status, now time.Time) {
	if s == statusAlive && m.status != statusAlive {
		g.metrics.count(eventRecovered)
	}
	g.table.change(m, func() {
		m.status = s
		m.changed = now
		if s != statusSuspect {
			m.suspicion = nil
		}
	})
	g.dirty = true
}

// settleDispute pings one member about which this node and another disagree,
// and tells it the accusation, so that it announces itself anew if it lives.
func (g *Gossiper) settleDispute(now time.Time) {
	for id, d := range g.detector.disputes {
		delete(g.detector.disputes, id)
		m := g.table.members[id]
		if m != nil && m.live() && !m.stamp().before(d.accused) && !d.suspects {
			continue
		}
		g.accuse(id, d, now)
		return
	}
}

func (g *Gossiper) accuse(id string, d dispute, now time.Time) {
	nonce := g.cfg.Random.Uint64()
	if d.suspects && !g.detector.probing(id) {
		g.detector.probes[nonce] = &probe{id: id, to: d.to, sent: now, deadline: now.Add(g.health.ackTimeout())}
	}
	g.send(d.to, &gossipwire.Datagram{
		Kind:     gossipwire.Datagram_KIND_PING,
		Nonce:    nonce,
		Receiver: id,
		Updates: []*gossipwire.Update{{
			Id:          id,
			Incarnation: d.accused.incarnation,
			Sequence:    d.accused.sequence,
			State:       gossipwire.State_STATE_FAILED,
		}},
	})
}

// dispute remembers a disagreement about a member, to be settled in its turn.
func (g *Gossiper) dispute(id string, d dispute) {
	if len(g.detector.disputes) >= maxDisputes {
		return
	}
	g.metrics.count(eventDisputed)
	g.detector.disputes[id] = d
}

// retryFailed pings one failed member and one seed that is not known, so that
// regions that lost each other find each other again.
func (g *Gossiper) retryFailed(now time.Time) {
	if m := g.table.randomFailed(); m != nil {
		g.accuse(m.spec.ID, dispute{to: m.spec.Peer, accused: m.stamp()}, now)
	}
	if g.exchange.quiet(now) {
		return
	}
	if seed, ok := g.missingSeed(); ok {
		g.send(seed, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PING, Nonce: g.cfg.Random.Uint64()})
	}
}

// missingSeed returns the next seed, in turn, that is not the address of a
// live member.
func (g *Gossiper) missingSeed() (netip.AddrPort, bool) {
	live := make(map[netip.AddrPort]bool, len(g.cfg.Seeds))
	for _, m := range g.table.members {
		if m.live() {
			live[m.spec.Peer] = true
		}
	}
	for range g.cfg.Seeds {
		seed := g.cfg.Seeds[g.nextSeed%len(g.cfg.Seeds)]
		g.nextSeed++
		if !live[seed] {
			return seed, true
		}
	}
	return netip.AddrPort{}, false
}

// refute answers a wrong conclusion about this instance.
func (g *Gossiper) refute(sequence uint64) {
	if g.self.spec.State == registrar.StateLeft {
		return
	}
	g.metrics.count(eventRefuted)
	g.health.worsen()
	g.announce(func(s *registrar.Spec) { s.Sequence = max(s.Sequence, sequence+1) })
}
