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
	// pushMembers is the number of members that get one push.
	pushMembers = 3
	// versionPushes is how many times a new version is pushed to pushMembers members.
	versionPushes = 3
)

// send completes a message with what every message carries, adds updates as
// far as the budget allows, and sends it. A message that the budget does not
// allow is dropped and counted.
func (g *Gossiper) send(to netip.AddrPort, msg *gossipwire.Datagram) {
	msg.Sender = g.self.spec.ID
	msg.TableDigest = g.table.digest
	msg.Version = g.version
	base := proto.Size(msg)
	bulk := min(courier.MaxPayload, g.budget.push()-courier.Overhead)
	msg.Updates = append(msg.Updates, g.queue.take(bulk-base, g.table.live)...)
	payload, err := proto.Marshal(msg)
	if err != nil || len(payload) > courier.MaxPayload {
		g.metrics.count(eventMalformed)
		return
	}
	cost := len(payload) + courier.Overhead
	if !g.spend(msg.GetKind(), cost) {
		g.metrics.count(eventOverBudget)
		return
	}
	g.metrics.messages[msg.GetKind()].Inc(1)
	g.metrics.bytes.Inc(int64(cost))
	if err := g.cfg.Transport.Send(courier.KindGossip, to, payload); err != nil {
		g.metrics.count(eventSendFailed)
	}
}

func (g *Gossiper) spend(kind gossipwire.Datagram_Kind, cost int) bool {
	if kind == gossipwire.Datagram_KIND_PUSH {
		return cost <= g.budget.push() && g.budget.take(cost)
	}
	return g.budget.take(cost)
}

// spread pushes updates and a new version to random members.
func (g *Gossiper) spread(now time.Time) {
	if g.queue.len() == 0 && g.pushes == 0 {
		return
	}
	if now.Before(g.nextPush) {
		return
	}
	g.push(now)
}

func (g *Gossiper) push(now time.Time) {
	g.nextPush = now.Add(pushInterval)
	g.pushes = max(g.pushes-1, 0)
	members := g.table.sample(pushMembers, func(m *member) bool { return m != g.self })
	for _, m := range members {
		g.send(m.spec.Peer, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PUSH})
	}
}

// receive takes one datagram.
func (g *Gossiper) receive(from netip.AddrPort, payload []byte) {
	msg := &gossipwire.Datagram{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		g.metrics.count(eventMalformed)
		return
	}
	g.metrics.received.Inc(1)
	now := time.Now()
	g.mu.Lock()
	newer := g.take(from, msg, now)
	g.mu.Unlock()
	if newer != nil && g.cfg.OnVersion != nil {
		g.cfg.OnVersion(from, newer)
	}
}

// take applies a message and answers it. It returns the message's version if
// it is newer than the own one.
func (g *Gossiper) take(from netip.AddrPort, msg *gossipwire.Datagram, now time.Time) *controlwire.VersionDigest {
	g.noticeFreeze(now)
	if msg.GetReceiver() != "" && msg.GetReceiver() != g.self.spec.ID {
		return nil
	}
	g.applyAll(msg.GetUpdates(), msg.GetSender(), now)
	switch msg.GetKind() {
	case gossipwire.Datagram_KIND_PING:
		g.answer(from, msg)
	case gossipwire.Datagram_KIND_ACK:
		g.acknowledge(msg, now)
	case gossipwire.Datagram_KIND_NACK:
		if p := g.detector.probes[msg.GetNonce()]; p != nil {
			p.nacks++
		}
	case gossipwire.Datagram_KIND_PING_REQUEST:
		g.relay(from, msg, now)
	}
	g.compareDigest(from, msg, now)
	if msg.GetVersion().GetNumber() > g.version.GetNumber() {
		return msg.GetVersion()
	}
	return nil
}

// applyAll applies the updates of a message. A sender that is failed here is
// believed about itself only.
func (g *Gossiper) applyAll(updates []*gossipwire.Update, sender string, now time.Time) {
	m := g.table.members[sender]
	doubted := m != nil && m.status == statusFailed
	for _, u := range updates {
		if !doubted || u.GetId() == sender {
			g.apply(u, now)
		}
	}
}

// answer acks a ping. A sender that is doubted here is told so.
func (g *Gossiper) answer(from netip.AddrPort, msg *gossipwire.Datagram) {
	ack := &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_ACK, Nonce: msg.GetNonce(), Receiver: msg.GetSender()}
	if m := g.table.members[msg.GetSender()]; m != nil && m.status != statusAlive {
		ack.Updates = append(ack.Updates, encodeShort(m))
	}
	g.send(from, ack)
}

// acknowledge takes the ack of an own ping or of one for another node.
func (g *Gossiper) acknowledge(msg *gossipwire.Datagram, now time.Time) {
	d := &g.detector
	nonce := msg.GetNonce()
	if r := d.relays[nonce]; r != nil {
		delete(d.relays, nonce)
		g.send(r.to, &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_ACK, Nonce: r.nonce, SubjectId: msg.GetSender()})
		return
	}
	if sent, late := d.late[nonce]; late {
		delete(d.late, nonce)
		g.health.worsen()
		g.health.observe(now.Sub(sent))
		g.hear(msg, now)
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
		g.health.observe(now.Sub(p.sent))
	}
	g.hear(msg, now)
}

// hear notes that a member answered, by itself or through another node.
func (g *Gossiper) hear(msg *gossipwire.Datagram, now time.Time) {
	id := msg.GetSender()
	if msg.GetSubjectId() != "" {
		id = msg.GetSubjectId()
	}
	if m := g.table.members[id]; m != nil {
		m.heard = now
	}
}

// relay pings a member on behalf of another node.
func (g *Gossiper) relay(from netip.AddrPort, msg *gossipwire.Datagram, now time.Time) {
	subject, ok := decodeAddress(msg.GetSubject())
	if !ok || len(g.detector.relays) >= maxRelays {
		g.metrics.count(eventMalformed)
		return
	}
	nonce := g.cfg.Random.Uint64()
	g.detector.relays[nonce] = &relay{nonce: msg.GetNonce(), to: from, deadline: now.Add(g.health.relayTimeout())}
	g.send(subject, &gossipwire.Datagram{
		Kind:     gossipwire.Datagram_KIND_PING,
		Nonce:    nonce,
		Receiver: msg.GetSubjectId(),
	})
}

// compareDigest notes a peer whose table differs, for the next exchange.
func (g *Gossiper) compareDigest(from netip.AddrPort, msg *gossipwire.Datagram, now time.Time) {
	if msg.GetTableDigest() != g.table.digest {
		g.exchange.differing = from
		return
	}
	g.agree()
	if g.detector.resyncing(now) {
		g.detector.resyncUntil = time.Time{}
	}
}
