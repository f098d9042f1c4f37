package gossiper

import (
	"context"
	"net/netip"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	// probePeriod is the time between probes, each of which pings one member.
	probePeriod = time.Second
	// indirectProbeCount is how many members are asked to ping one that did not ack.
	indirectProbeCount = 3
	// suspicionMultiplier is the shortest suspicion timeout in probe periods, before it
	// is scaled by the size of the fleet.
	suspicionMultiplier = 3
	// maxSuspicionMultiplier is the longest suspicion timeout in units of the shortest.
	maxSuspicionMultiplier = 2
	// expectedConfirmations is how many accusers besides the first reduce the suspicion
	// timeout to the shortest.
	expectedConfirmations = 2
	// freezeThreshold is the longest gap in this node's own activity that does not count
	// as a freeze.
	freezeThreshold = 2 * time.Second
	// resyncTimeout is how long a node that was frozen waits to compare tables with a
	// peer before it suspects other members again.
	resyncTimeout = 15 * time.Second
	// disputeInterval is the time between pings that resolve disputes.
	disputeInterval = 500 * time.Millisecond
	// maxRelays limits the pings in flight on behalf of other nodes.
	maxRelays = 256
	// maxDisputes limits the pending disputes.
	maxDisputes = 4096
	// retryInterval is the average time between pings of failed members and missing seeds.
	retryInterval = 5 * time.Second
	// cleanupInterval is the time between removals of expired members.
	cleanupInterval = 10 * time.Second
	// timedOutRetention is how long a ping that timed out is kept, so that a late ack is
	// recognized.
	timedOutRetention = time.Minute
	// extraProbeInterval is the shortest time between probes outside the probe order:
	// those that failed requests trigger and those that verify a suspicion.
	extraProbeInterval = 100 * time.Millisecond
)

// probe is a check in progress of whether a member responds: a ping, then indirect pings
// and a call over TCP.
type probe struct {
	id            string
	address       netip.AddrPort
	sent          time.Time
	deadline      time.Time // When indirect pings are requested, then when the member becomes suspect.
	retransmitted bool      // True once the ping was sent again.
	indirect      bool      // True once indirect pings were requested.
	indirectPings int       // Number of indirect pings requested.
	nacks         int       // Number of indirect pings reported to have received no ack.
}

// relay is a ping in flight on behalf of another node.
type relay struct {
	nonce     uint64 // Of the requester's ping.
	requester netip.AddrPort
	deadline  time.Time
}

// dispute is a disagreement between nodes about whether a member is alive. It is resolved
// by a ping to the member.
type dispute struct {
	address          netip.AddrPort
	accusedRevision  revision // Revision of the member that was declared failed.
	suspectOnTimeout bool     // Whether the member becomes suspect if it sends no ack.
}

// detector holds the state of failure detection: probes, disputes and timers.
type detector struct {
	probes         map[uint64]*probe
	timedOut       map[uint64]time.Time // Send times of pings that timed out, by nonce.
	relays         map[uint64]*relay
	disputes       map[string]dispute
	nextProbe      time.Time
	nextDispute    time.Time
	nextRetry      time.Time
	nextCleanup    time.Time
	nextExtraProbe time.Time
	resyncUntil    time.Time // Set after a freeze until tables were compared.
}

func newDetector() detector {
	return detector{
		probes:   make(map[uint64]*probe),
		timedOut: make(map[uint64]time.Time),
		relays:   make(map[uint64]*relay),
		disputes: make(map[string]dispute),
	}
}

// probing reports whether a probe of a member is in progress.
func (d *detector) probing(id string) bool {
	for _, p := range d.probes {
		if p.id == id {
			return true
		}
	}
	return false
}

// allowExtraProbe limits the rate of probes outside the probe order.
func (d *detector) allowExtraProbe(now time.Time) bool {
	if now.Before(d.nextExtraProbe) {
		return false
	}
	d.nextExtraProbe = now.Add(extraProbeInterval)
	return true
}

// resyncing reports whether the node was frozen and has not compared tables since.
func (d *detector) resyncing(now time.Time) bool { return now.Before(d.resyncUntil) }

// detectFreeze compares now with the time of the node's last activity. After a long gap
// it discards the node's probes, relayed pings, disputes, queued updates and own
// suspicions of other members, since it was this node that did not respond. It compares
// the wall clock as well as the monotonic one, which may stop while the operating system
// is suspended.
func (g *Gossiper) detectFreeze(now time.Time) {
	gap := max(now.Sub(g.lastActive), now.Round(0).Sub(g.lastActive.Round(0)))
	g.lastActive = now
	if gap <= freezeThreshold {
		return
	}
	g.metrics.count(eventFrozen)
	g.log.Warn().Dur("gap", gap).Msg("Process was frozen; discarding its suspicions of other members.")
	clear(g.detector.probes)
	clear(g.detector.timedOut)
	clear(g.detector.relays)
	clear(g.detector.disputes)
	g.queue.retainOnly(g.self.spec.ID)
	for _, m := range g.table.members {
		g.resetSuspicion(m, now)
	}
	g.detector.resyncUntil = now.Add(resyncTimeout)
	g.exchange.next = now
}

// runDetection runs the timers of failure detection.
func (g *Gossiper) runDetection(now time.Time) {
	d := &g.detector
	g.advanceProbes(now)
	g.expireSuspicions(now)
	if !now.Before(d.nextProbe) {
		d.nextProbe = now.Add(g.health.scale(probePeriod))
		if m := g.table.nextToProbe(g.self.spec.ID); m != nil && !g.exchange.probesSuspended(now) {
			g.probe(m, now)
		}
	}
	if !now.Before(d.nextDispute) {
		d.nextDispute = now.Add(disputeInterval)
		g.resolveDispute(now)
	}
	if !now.Before(d.nextRetry) {
		d.nextRetry = now.Add(g.jitter(retryInterval))
		g.retryFailed(now)
	}
	if !now.Before(d.nextCleanup) {
		d.nextCleanup = now.Add(cleanupInterval)
		if g.table.removeExpired(now) {
			g.metrics.count(eventExpired)
			g.viewStale = true
		}
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func (g *Gossiper) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.cfg.Random.Int64N(int64(d)))
}

// probe pings a member and expects an ack, unless a probe of it is in progress. The ping
// to a suspect includes the suspicion, so that the member can refute it.
func (g *Gossiper) probe(m *member, now time.Time) {
	if g.detector.probing(m.spec.ID) {
		return
	}
	nonce := g.cfg.Random.Uint64()
	msg := &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PING, Nonce: nonce, Receiver: m.spec.ID}
	if m.status != statusAlive {
		msg.Updates = append(msg.Updates, encodeStatus(m))
	}
	g.detector.probes[nonce] = &probe{id: m.spec.ID, address: m.spec.Peer, sent: now, deadline: now.Add(g.health.ackTimeout())}
	g.send(m.spec.Peer, msg)
}

// advanceProbes retransmits pings, requests indirect pings and ends probes as their
// deadlines pass. It ends relayed pings that received no ack with a nack.
func (g *Gossiper) advanceProbes(now time.Time) {
	d := &g.detector
	for nonce, p := range d.probes {
		if now.Before(p.deadline) {
			g.retransmitPing(nonce, p, now)
			continue
		}
		if !p.indirect {
			g.requestIndirectPings(nonce, p, now)
			continue
		}
		delete(d.probes, nonce)
		d.timedOut[nonce] = p.sent
		g.handleProbeTimeout(p, now)
	}
	for nonce, sent := range d.timedOut {
		if now.Sub(sent) > timedOutRetention {
			delete(d.timedOut, nonce)
		}
	}
	for nonce, r := range d.relays {
		if now.After(r.deadline) {
			delete(d.relays, nonce)
			g.send(r.requester, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_NACK, Nonce: r.nonce})
		}
	}
}

// retransmitPing sends a ping a second time after half of its ack timeout.
func (g *Gossiper) retransmitPing(nonce uint64, p *probe, now time.Time) {
	if p.retransmitted || p.indirect || now.Sub(p.sent) < p.deadline.Sub(p.sent)/2 {
		return
	}
	p.retransmitted = true
	g.send(p.address, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PING, Nonce: nonce, Receiver: p.id})
}

// handleProbeTimeout suspects a member that neither this node nor the members it asked
// for indirect pings could reach. If those members did not respond either, this node may
// be at fault and its health score rises.
func (g *Gossiper) handleProbeTimeout(p *probe, now time.Time) {
	if p.indirectPings > 0 && p.nacks == 0 {
		g.health.worsen()
	}
	m := g.table.members[p.id]
	if m == nil || m.spec.Peer != p.address || g.detector.resyncing(now) {
		return
	}
	g.suspect(m, g.self.spec.ID, now)
}

// requestIndirectPings asks random members to ping a member that did not ack in time,
// and probes it over TCP.
func (g *Gossiper) requestIndirectPings(nonce uint64, p *probe, now time.Time) {
	p.indirect = true
	p.deadline = now.Add(g.health.indirectTimeout())
	others := g.table.sample(indirectProbeCount, func(m *member) bool {
		return m != g.self && m.spec.ID != p.id && m.status == statusAlive
	})
	p.indirectPings = len(others)
	for _, m := range others {
		g.send(m.spec.Peer, &gossipwire.Datagram{
			Kind:      gossipwire.Datagram_KIND_PING_REQUEST,
			Nonce:     nonce,
			Receiver:  m.spec.ID,
			Subject:   encodeAddress(p.address),
			SubjectId: p.id,
		})
	}
	g.probeOverTCP(nonce, p, now)
}

// probeOverTCP requests a member's record over TCP, which tolerates lost datagrams, and
// counts the response as an ack.
func (g *Gossiper) probeOverTCP(nonce uint64, p *probe, now time.Time) {
	req := &gossipwire.CompareRequest{Sender: encodeRecord(g.self)}
	if !g.tomb.Alive() || !g.budget.take(compressedSize(req)+callOverhead) {
		return
	}
	timeout := p.deadline.Sub(now)
	g.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), timeout)
		defer cancel()
		resp, err := g.cfg.Client.Compare(ctx, p.address, req)
		if err != nil || resp.GetSender().GetId() != p.id {
			return nil //nolint:nilerr // The probe times out at its deadline.
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		now := time.Now()
		g.detectFreeze(now)
		delete(g.detector.probes, nonce)
		if m := g.table.members[p.id]; m != nil {
			m.lastAck = now
		}
		g.apply(resp.GetSender(), now)
		return nil
	})
}

// setStatus changes the status that this node assigns to a member.
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
	g.viewStale = true
}

// resolveDispute sends the accusation to one disputed member, which announces itself
// again if it is alive. It skips failed members that are live again.
func (g *Gossiper) resolveDispute(now time.Time) {
	for id, d := range g.detector.disputes {
		delete(g.detector.disputes, id)
		m := g.table.members[id]
		if m != nil && m.live() && !m.revision().before(d.accusedRevision) && !d.suspectOnTimeout {
			continue
		}
		g.sendAccusation(id, d, now)
		return
	}
}

// sendAccusation pings a member with an update that declares it failed. The member
// refutes the update if it is alive.
func (g *Gossiper) sendAccusation(id string, d dispute, now time.Time) {
	nonce := g.cfg.Random.Uint64()
	if d.suspectOnTimeout && !g.detector.probing(id) {
		g.detector.probes[nonce] = &probe{id: id, address: d.address, sent: now, deadline: now.Add(g.health.ackTimeout())}
	}
	g.send(d.address, &gossipwire.Datagram{
		Kind:     gossipwire.Datagram_KIND_PING,
		Nonce:    nonce,
		Receiver: id,
		Updates: []*gossipwire.Update{{
			Id:          id,
			Incarnation: d.accusedRevision.incarnation,
			Sequence:    d.accusedRevision.sequence,
			State:       gossipwire.State_STATE_FAILED,
		}},
	})
}

// recordDispute stores a dispute for resolveDispute, unless too many are pending.
func (g *Gossiper) recordDispute(id string, d dispute) {
	if len(g.detector.disputes) >= maxDisputes {
		return
	}
	g.metrics.count(eventDisputed)
	g.detector.disputes[id] = d
}

// retryFailed pings one failed member and one missing seed, so that partitions merge once
// they can reach each other again.
func (g *Gossiper) retryFailed(now time.Time) {
	if m := g.table.randomFailed(); m != nil {
		g.sendAccusation(m.spec.ID, dispute{address: m.spec.Peer, accusedRevision: m.revision()}, now)
	}
	if g.exchange.probesSuspended(now) {
		return
	}
	if seed, ok := g.missingSeed(); ok {
		g.send(seed, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PING, Nonce: g.cfg.Random.Uint64()})
	}
}

// missingSeed returns the next seed, in round-robin order, that is not the address of
// a live member.
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

// refute announces this instance again, with a sequence above that of an update that
// declares it suspect or failed.
func (g *Gossiper) refute(sequence uint64) {
	if g.self.spec.State == registrar.StateLeft {
		return
	}
	g.metrics.count(eventRefuted)
	g.health.worsen()
	own := g.self.revision()
	g.exceed(revision{own.incarnation, max(own.sequence, sequence)})
}
