package gossiper

import (
	"fmt"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// apply merges one update into the table. New information is queued for other members.
func (g *Gossiper) apply(u *gossipwire.Update, now time.Time) {
	if err := validateUpdate(u); err != nil {
		g.refuseUpdate(u, err)
		return
	}
	switch {
	case u.GetId() == g.self.spec.ID:
		g.applySelf(u)
	case isAnnouncement(u):
		g.applyAnnouncement(u, now)
	case u.GetState() == gossipwire.State_STATE_SUSPECT:
		g.applySuspicion(u, now)
	default:
		g.applyFailure(u)
	}
}

// refuseUpdate counts and logs an update that cannot be true. The others of its message hold.
func (g *Gossiper) refuseUpdate(u *gossipwire.Update, reason error) {
	g.metrics.count(eventMalformed)
	g.logLimiter.Limit(g.log.Warn()).Err(reason).Str("instance", fmt.Sprintf("%.64q", u.GetId())).Msg("Entry of the list refused.")
}

// applySelf handles an update about this instance. It announces the instance again if
// the update is newer or declares it suspect or failed.
func (g *Gossiper) applySelf(u *gossipwire.Update) {
	own := g.self.revision()
	received := revisionOf(u)
	switch {
	case received.incarnation > own.incarnation:
		g.log.Warn().Uint64("incarnation", received.incarnation).Msg("Fleet knows a higher incarnation of this instance; announcing the next one.")
		g.updateSelf(func(s *registrar.Spec) {
			s.Incarnation = received.incarnation + 1
			s.Sequence = 1
		})
	case received.before(own):
		return
	case !isAnnouncement(u):
		g.refute(received.sequence)
	case own.before(received):
		g.exceed(received)
	}
}

// exceed announces this instance with a revision after the given one of the same incarnation.
func (g *Gossiper) exceed(received revision) {
	next := revision{received.incarnation, received.sequence + 1}
	if next.sequence > registrar.MaxRevisionNumber {
		next = revision{received.incarnation + 1, 1}
	}
	g.updateSelf(func(s *registrar.Spec) { s.Incarnation, s.Sequence = next.incarnation, next.sequence })
}

// applyAnnouncement merges an announcement that an instance made about itself.
func (g *Gossiper) applyAnnouncement(u *gossipwire.Update, now time.Time) {
	received := revisionOf(u)
	m := g.table.members[u.GetId()]
	switch {
	case m == nil:
		g.applyJoin(u, now)
	case received.before(m.revision()):
		g.metrics.count(eventStale)
	case received == m.revision():
		if m.status == statusFailed {
			g.recordDispute(u.GetId(), dispute{address: m.spec.Peer, accusedRevision: received})
		}
	case received.incarnation == m.spec.Incarnation:
		g.applyNewSequence(m, u, now)
	default:
		g.applyRestart(u, now)
	}
}

// applyJoin adds an instance that is not in the table. If the announcement is not newer
// than the tombstone of an expired member, the instance is pinged instead and has to
// announce itself again.
func (g *Gossiper) applyJoin(u *gossipwire.Update, now time.Time) {
	if u.GetProfile() == nil {
		return
	}
	spec, err := decodeRecord(u)
	if err != nil {
		g.refuseUpdate(u, err)
		return
	}
	old, known := g.table.tombstones[u.GetId()]
	if known && !old.revision.before(revisionOf(u)) {
		g.metrics.count(eventStale)
		g.recordDispute(u.GetId(), dispute{address: spec.Peer, accusedRevision: old.revision})
		return
	}
	if spec.State == registrar.StateLeft {
		return
	}
	g.insert(spec, u, now)
	g.metrics.count(eventJoined)
	g.log.Info().Str("instance", spec.ID).Str("service", spec.Service).Msg("Instance joined.")
}

// applyRestart replaces a member by its new incarnation.
func (g *Gossiper) applyRestart(u *gossipwire.Update, now time.Time) {
	if u.GetProfile() == nil {
		return
	}
	spec, err := decodeRecord(u)
	if err != nil {
		g.refuseUpdate(u, err)
		return
	}
	g.insert(spec, u, now)
	g.metrics.count(eventRestarted)
	g.log.Info().Str("instance", spec.ID).Uint64("incarnation", spec.Incarnation).Msg("Instance restarted.")
}

// insert adds or replaces a member. While this node is joining, the update is not queued,
// because all other nodes know most of what is new to this one.
func (g *Gossiper) insert(spec registrar.Spec, u *gossipwire.Update, now time.Time) {
	g.table.put(&member{spec: spec, changed: now})
	g.exchange.agreements = 0
	if !g.exchange.joining {
		g.queue.push(u)
	}
	g.viewStale = true
}

// applyNewSequence merges a later announcement of the same incarnation, which also ends
// a suspicion or a failure.
func (g *Gossiper) applyNewSequence(m *member, u *gossipwire.Update, now time.Time) {
	previous := m.spec.State
	if previous == registrar.StateLeft {
		return
	}
	g.table.change(m, func() {
		m.spec.Sequence = u.GetSequence()
		m.spec.State = registrar.State(u.GetState())
	})
	g.setStatus(m, statusAlive, now)
	g.queue.push(encodeStatus(m))
	if m.spec.State == previous {
		return
	}
	if m.spec.State == registrar.StateLeft {
		g.metrics.count(eventLeft)
	}
	g.log.Info().Str("instance", m.spec.ID).Stringer("state", m.spec.State).Msg("Instance changed state.")
}

// applySuspicion merges another node's suspicion.
func (g *Gossiper) applySuspicion(u *gossipwire.Update, now time.Time) {
	m := g.table.members[u.GetId()]
	if m == nil || u.GetIncarnation() != m.spec.Incarnation || revisionOf(u).before(m.revision()) {
		g.metrics.count(eventStale)
		return
	}
	if u.GetAccuser() == g.self.spec.ID && m.status == statusAlive {
		return // This node has withdrawn its own suspicion since.
	}
	g.suspect(m, u.GetAccuser(), now)
}

// applyFailure merges another node's conclusion that a member failed. It shortens the
// suspicion timeout of a suspect; a member considered alive is pinged to resolve the
// dispute.
func (g *Gossiper) applyFailure(u *gossipwire.Update) {
	m := g.table.members[u.GetId()]
	if m == nil || u.GetIncarnation() != m.spec.Incarnation || revisionOf(u).before(m.revision()) || !m.live() {
		g.metrics.count(eventStale)
		return
	}
	if m.status == statusSuspect {
		m.suspicion.failureReported = true
		return
	}
	g.recordDispute(m.spec.ID, dispute{address: m.spec.Peer, accusedRevision: revisionOf(u), suspectOnTimeout: true})
}

func revisionOf(u *gossipwire.Update) revision {
	return revision{u.GetIncarnation(), u.GetSequence()}
}
