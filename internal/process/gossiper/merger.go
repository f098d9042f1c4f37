package gossiper

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// apply merges one update into the table. What is new is sent on.
func (g *Gossiper) apply(u *gossipwire.Update, now time.Time) {
	if err := checkUpdate(u); err != nil {
		g.metrics.count(eventMalformed)
		return
	}
	switch {
	case u.GetId() == g.self.spec.ID:
		g.applySelf(u)
	case announced(u):
		g.applyAnnounced(u, now)
	case u.GetState() == gossipwire.State_STATE_SUSPECT:
		g.applySuspect(u, now)
	default:
		g.applyFailed(u)
	}
}

// applySelf takes what others believe about this instance.
func (g *Gossiper) applySelf(u *gossipwire.Update) {
	own := g.self.stamp()
	theirs := stampOf(u)
	switch {
	case theirs.incarnation > own.incarnation:
		g.log.Warn().Uint64("incarnation", theirs.incarnation).Msg("The fleet knows a later start of this instance; going above it.")
		g.announce(func(s *registrar.Spec) {
			s.Incarnation = theirs.incarnation + 1
			s.Sequence = 1
		})
	case theirs.before(own):
		return
	case !announced(u):
		g.refute(theirs.sequence)
	case own.before(theirs):
		g.announce(func(s *registrar.Spec) { s.Sequence = theirs.sequence + 1 })
	}
}

// applyAnnounced takes an announcement that an instance made about itself.
func (g *Gossiper) applyAnnounced(u *gossipwire.Update, now time.Time) {
	theirs := stampOf(u)
	m := g.table.members[u.GetId()]
	switch {
	case m == nil:
		g.admit(u, now)
	case theirs.before(m.stamp()):
		g.metrics.count(eventStale)
	case theirs == m.stamp():
		if m.status == statusFailed {
			g.dispute(u.GetId(), dispute{to: m.spec.Peer, accused: theirs})
		}
	case theirs.incarnation == m.spec.Incarnation:
		g.renew(m, u, now)
	default:
		g.replace(u, now)
	}
}

// admit takes an instance that is not in the table. One that was forgotten
// has to prove that it lives.
func (g *Gossiper) admit(u *gossipwire.Update, now time.Time) {
	if u.GetProfile() == nil {
		return
	}
	spec, err := decodeFull(u)
	if err != nil {
		g.metrics.count(eventMalformed)
		return
	}
	s, known := g.table.tombstones[u.GetId()]
	if known && !s.stamp.before(stampOf(u)) {
		g.metrics.count(eventStale)
		g.dispute(u.GetId(), dispute{to: spec.Peer, accused: s.stamp})
		return
	}
	if spec.State == registrar.StateLeft {
		return
	}
	g.insert(spec, u, now)
	g.metrics.count(eventJoined)
	g.log.Info().Str("instance", spec.ID).Str("service", spec.Service).Msg("Instance joined.")
}

// replace takes a new incarnation of a known instance.
func (g *Gossiper) replace(u *gossipwire.Update, now time.Time) {
	if u.GetProfile() == nil {
		return
	}
	spec, err := decodeFull(u)
	if err != nil {
		g.metrics.count(eventMalformed)
		return
	}
	g.insert(spec, u, now)
	g.metrics.count(eventRestarted)
	g.log.Info().Str("instance", spec.ID).Uint64("incarnation", spec.Incarnation).Msg("Instance restarted.")
}

// insert adds a member. While this node joins, most of what is new to it is
// known to all others, and is not sent on.
func (g *Gossiper) insert(spec registrar.Spec, u *gossipwire.Update, now time.Time) {
	g.table.put(&member{spec: spec, changed: now})
	g.exchange.agreed = 0
	if !g.exchange.joining {
		g.queue.push(u)
	}
	g.dirty = true
}

// renew takes a later announcement of the same incarnation, which also ends a
// suspicion and a failure.
func (g *Gossiper) renew(m *member, u *gossipwire.Update, now time.Time) {
	before := m.spec.State
	if before == registrar.StateLeft {
		return
	}
	g.table.change(m, func() {
		m.spec.Sequence = u.GetSequence()
		m.spec.State = registrar.State(u.GetState())
	})
	g.setStatus(m, statusAlive, now)
	g.queue.push(encodeShort(m))
	if m.spec.State == before {
		return
	}
	if m.spec.State == registrar.StateLeft {
		g.metrics.count(eventLeft)
	}
	g.log.Info().Str("instance", m.spec.ID).Stringer("state", m.spec.State).Msg("Instance announced a state.")
}

// applySuspect takes another node's suspicion.
func (g *Gossiper) applySuspect(u *gossipwire.Update, now time.Time) {
	m := g.table.members[u.GetId()]
	if m == nil || u.GetIncarnation() != m.spec.Incarnation || stampOf(u).before(m.stamp()) {
		g.metrics.count(eventStale)
		return
	}
	if u.GetAccuser() == g.self.spec.ID && m.status == statusAlive {
		return // An own suspicion that was dropped since.
	}
	g.suspect(m, u.GetAccuser(), now)
}

// applyFailed takes another node's conclusion that a member failed. It
// shortens the time that a suspect has left here; a member held for alive is
// asked itself.
func (g *Gossiper) applyFailed(u *gossipwire.Update) {
	m := g.table.members[u.GetId()]
	if m == nil || u.GetIncarnation() != m.spec.Incarnation || stampOf(u).before(m.stamp()) || !m.live() {
		g.metrics.count(eventStale)
		return
	}
	if m.status == statusSuspect {
		m.suspicion.confirmed = true
		return
	}
	g.dispute(m.spec.ID, dispute{to: m.spec.Peer, accused: stampOf(u), suspects: true})
}

func stampOf(u *gossipwire.Update) stamp {
	return stamp{u.GetIncarnation(), u.GetSequence()}
}
