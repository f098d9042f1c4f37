package gossiper

import (
	"math"
	"time"
)

// restartSuspicion drops an own suspicion and gives the full timeout again to
// one that others raised.
func (g *Gossiper) restartSuspicion(m *member, now time.Time) {
	if m.status != statusSuspect {
		return
	}
	if m.suspicion.accusers[g.self.spec.ID] {
		g.setStatus(m, statusAlive, now)
		return
	}
	m.suspicion = &suspicion{started: now, accusers: make(map[string]bool)}
}

// suspect starts or confirms the suspicion of a member.
func (g *Gossiper) suspect(m *member, accuser string, now time.Time) {
	if !m.live() {
		return
	}
	if m.status == statusAlive {
		g.setStatus(m, statusSuspect, now)
		m.suspicion = &suspicion{started: now, accusers: make(map[string]bool)}
		g.metrics.count(eventSuspected)
		g.log.Info().Str("instance", m.spec.ID).Str("accuser", accuser).Msg("Instance is suspect.")
	}
	if accuser == g.self.spec.ID {
		g.probe(m, now)
	}
	if m.suspicion.accusers[accuser] || len(m.suspicion.accusers) > confirmations {
		return
	}
	m.suspicion.accusers[accuser] = true
	u := encodeShort(m)
	u.Accuser = accuser
	g.queue.push(u)
}

// suspicionTimeout shrinks with the number of independent accusers and grows
// with the fleet and with this node's own lateness. A failure that another node
// concluded does not wait for this node's lateness.
func (g *Gossiper) suspicionTimeout(s *suspicion) time.Duration {
	scale := max(1, math.Log10(float64(g.table.live+1)))
	shortest := time.Duration(suspicionPeriods * scale * float64(probePeriod))
	longest := maxSuspicionFactor * shortest
	if s.confirmed {
		return shortest
	}
	confirmed := min(1, math.Log(float64(max(len(s.accusers), 1)))/math.Log(confirmations+1))
	return g.health.scale(longest - time.Duration(confirmed*float64(longest-shortest)))
}

// expireSuspicions concludes the failure of members that did not refute in time.
func (g *Gossiper) expireSuspicions(now time.Time) {
	for _, m := range g.table.suspects {
		timeout := g.suspicionTimeout(m.suspicion)
		elapsed := now.Sub(m.suspicion.started)
		if elapsed >= timeout/2 {
			g.verify(m, now)
		}
		if elapsed < timeout {
			continue
		}
		if m.heard.After(m.suspicion.started) {
			g.setStatus(m, statusAlive, now)
			continue
		}
		if !g.detector.resyncing(now) {
			g.fail(m, now)
		}
	}
}

// verify pings a suspect once that others accused, in case its refutation was
// lost on the way here. Of many suspects at once only a few are pinged.
func (g *Gossiper) verify(m *member, now time.Time) {
	s := m.suspicion
	if s.verified || s.accusers[g.self.spec.ID] || !g.detector.allowReport(now) {
		return
	}
	s.verified = true
	g.probe(m, now)
}

func (g *Gossiper) fail(m *member, now time.Time) {
	g.setStatus(m, statusFailed, now)
	g.queue.push(encodeShort(m))
	g.metrics.count(eventFailed)
	g.log.Warn().Str("instance", m.spec.ID).Msg("Instance failed.")
}
