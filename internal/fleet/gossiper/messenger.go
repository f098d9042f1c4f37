package gossiper

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	// pushInterval is the time between pushes of updates to random members.
	pushInterval = 200 * time.Millisecond
	// pushFanout is the number of members that each push is sent to.
	pushFanout = 3
	// versionPushes is how many times a new version or evacuation is pushed to pushFanout
	// members.
	versionPushes = 3
)

// send fills in the common fields of a message, adds updates as far as the budget
// allows, and sends it. A message that exceeds the budget is dropped and counted.
func (g *Gossiper) send(to netip.AddrPort, msg *gossipwire.Datagram) {
	msg.Sender = g.self.spec.ID
	msg.TableDigest = g.table.digest
	msg.Version = g.version
	msg.Evacuation = g.evacuation
	base := proto.Size(msg)
	maxBytes := min(courier.MaxPayload, g.budget.pushAllowance()-courier.Overhead)
	msg.Updates = append(msg.Updates, g.queue.take(maxBytes-base, g.table.liveCount)...)
	payload, err := proto.Marshal(msg)
	if err != nil || len(payload) > courier.MaxPayload {
		g.metrics.count(eventMalformed)
		return
	}
	cost := len(payload) + courier.Overhead
	if !g.spendDatagramBytes(msg.GetKind(), cost) {
		g.metrics.count(eventOverBudget)
		return
	}
	g.metrics.sentMessages[msg.GetKind()].Inc(1)
	g.metrics.sentBytes.Inc(int64(cost))
	if err := g.cfg.Transport.Send(courier.KindGossip, to, payload); err != nil {
		g.metrics.count(eventSendFailed)
	}
}

// spendDatagramBytes spends the bytes of a datagram and reports whether the budget
// allows it. Pushes leave the reserves for other messages untouched.
func (g *Gossiper) spendDatagramBytes(kind gossipwire.Datagram_Kind, cost int) bool {
	if kind == gossipwire.Datagram_KIND_PUSH {
		return cost <= g.budget.pushAllowance() && g.budget.take(cost)
	}
	return g.budget.take(cost)
}

// schedulePush pushes queued updates and a new version, at most once per pushInterval.
func (g *Gossiper) schedulePush(now time.Time) {
	if g.queue.len() == 0 && g.versionPushesLeft == 0 {
		return
	}
	if now.Before(g.nextPush) {
		return
	}
	g.push(now)
}

// push sends updates and the version to random members.
func (g *Gossiper) push(now time.Time) {
	g.nextPush = now.Add(pushInterval)
	g.versionPushesLeft = max(g.versionPushesLeft-1, 0)
	members := g.table.sample(pushFanout, func(m *member) bool { return m != g.self })
	for _, m := range members {
		g.send(m.spec.Peer, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PUSH})
	}
}

// receive handles one datagram from the transport.
func (g *Gossiper) receive(from netip.AddrPort, payload []byte) {
	msg := &gossipwire.Datagram{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		g.metrics.count(eventMalformed)
		return
	}
	g.metrics.receivedMessages.Inc(1)
	if msg.GetReceiver() == "" || msg.GetReceiver() == g.cfg.Instance.ID {
		g.ObserveEvacuation(msg.GetEvacuation())
	}
	newer := g.handleDatagram(from, msg, time.Now())
	if newer != nil && g.cfg.OnVersion != nil {
		g.cfg.OnVersion(from, newer)
	}
}

// handleDatagram applies a message and responds to it, unless it is meant for another
// instance. It returns the message's configuration version if that is newer than this
// process's own.
func (g *Gossiper) handleDatagram(from netip.AddrPort, msg *gossipwire.Datagram, now time.Time) *controlwire.VersionDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectFreeze(now)
	if msg.GetReceiver() != "" && msg.GetReceiver() != g.self.spec.ID {
		return nil
	}
	g.applyUpdates(msg.GetUpdates(), msg.GetSender(), now)
	switch msg.GetKind() {
	case gossipwire.Datagram_KIND_PING:
		g.ackPing(from, msg)
	case gossipwire.Datagram_KIND_ACK:
		g.handleAck(msg, now)
	case gossipwire.Datagram_KIND_NACK:
		if p := g.detector.probes[msg.GetNonce()]; p != nil {
			p.nacks++
		}
	case gossipwire.Datagram_KIND_PING_REQUEST:
		g.relayPing(from, msg, now)
	}
	g.compareDigest(from, msg, now)
	if msg.GetVersion().GetNumber() > g.version.GetNumber() {
		return msg.GetVersion()
	}
	return nil
}

// applyUpdates applies the updates of a message. If this node considers the sender
// failed, only updates about the sender itself are applied.
func (g *Gossiper) applyUpdates(updates []*gossipwire.Update, sender string, now time.Time) {
	m := g.table.members[sender]
	senderFailed := m != nil && m.status == statusFailed
	for _, u := range updates {
		if !senderFailed || u.GetId() == sender {
			g.apply(u, now)
		}
	}
}

// ackPing sends an ack. If this node considers the sender of the ping suspect or
// failed, the ack includes that status, so that the sender can refute it.
func (g *Gossiper) ackPing(from netip.AddrPort, msg *gossipwire.Datagram) {
	ack := &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_ACK, Nonce: msg.GetNonce(), Receiver: msg.GetSender()}
	if m := g.table.members[msg.GetSender()]; m != nil && m.status != statusAlive {
		ack.Updates = append(ack.Updates, encodeStatus(m))
	}
	g.send(from, ack)
}

// handleAck handles the ack of this node's own ping or of one relayed for another node.
func (g *Gossiper) handleAck(msg *gossipwire.Datagram, now time.Time) {
	d := &g.detector
	nonce := msg.GetNonce()
	if r := d.relays[nonce]; r != nil {
		delete(d.relays, nonce)
		g.send(r.requester, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_ACK, Nonce: r.nonce, SubjectId: msg.GetSender()})
		return
	}
	if sent, timedOut := d.timedOut[nonce]; timedOut {
		delete(d.timedOut, nonce)
		g.health.worsen()
		g.health.observeRTT(now.Sub(sent))
		g.recordAck(msg, now)
		return
	}
	p := d.probes[nonce]
	if p == nil {
		return
	}
	delete(d.probes, nonce)
	if !p.indirect {
		g.health.improve()
	}
	if msg.GetSubjectId() == "" {
		g.health.observeRTT(now.Sub(p.sent))
	}
	g.recordAck(msg, now)
}

// recordAck records that a member responded, directly or through another node.
func (g *Gossiper) recordAck(msg *gossipwire.Datagram, now time.Time) {
	id := msg.GetSender()
	if msg.GetSubjectId() != "" {
		id = msg.GetSubjectId()
	}
	if m := g.table.members[id]; m != nil {
		m.lastAck = now
	}
}

// relayPing pings a member on behalf of another node.
func (g *Gossiper) relayPing(from netip.AddrPort, msg *gossipwire.Datagram, now time.Time) {
	subject, ok := decodeAddress(msg.GetSubject())
	if !ok || len(g.detector.relays) >= maxRelays {
		g.metrics.count(eventMalformed)
		return
	}
	nonce := g.cfg.Random.Uint64()
	g.detector.relays[nonce] = &relay{nonce: msg.GetNonce(), requester: from, deadline: now.Add(g.health.relayTimeout())}
	g.send(subject, &gossipwire.Datagram{
		Kind:     gossipwire.Datagram_KIND_PING,
		Nonce:    nonce,
		Receiver: msg.GetSubjectId(),
	})
}

// compareDigest compares the digest of a sender's table with that of the local one. If
// they differ, it proposes the sender as the peer of the next exchange.
func (g *Gossiper) compareDigest(from netip.AddrPort, msg *gossipwire.Datagram, now time.Time) {
	if msg.GetTableDigest() != g.table.digest {
		g.exchange.differingPeer = from
		return
	}
	g.recordAgreement()
	if g.detector.resyncing(now) {
		g.detector.resyncUntil = time.Time{}
	}
}
