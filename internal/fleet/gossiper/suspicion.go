package gossiper

import (
	"math"
	"time"
)

// resetSuspicion ends the suspicion of a member if this node is among its accusers, and
// otherwise restarts its timeout and forgets its accusers.
func (g *Gossiper) resetSuspicion(m *member, now time.Time) {
	if m.status != statusSuspect {
		return
	}
	if m.suspicion.accusers[g.self.spec.ID] {
		g.setStatus(m, statusAlive, now)
		return
	}
	m.suspicion = &suspicion{started: now, accusers: make(map[string]bool)}
}

// suspect starts the suspicion of a member, or adds an accuser to it.
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
	if m.suspicion.accusers[accuser] || len(m.suspicion.accusers) > expectedConfirmations {
		return
	}
	m.suspicion.accusers[accuser] = true
	u := encodeStatus(m)
	u.Accuser = accuser
	g.queue.push(u)
}

// suspicionTimeout returns how long a suspect has to refute. It decreases with the
// number of accusers and grows with the fleet size and this node's health score. The
// score does not delay a failure that another node reported.
func (g *Gossiper) suspicionTimeout(s *suspicion) time.Duration {
	fleetScale := max(1, math.Log10(float64(g.table.liveCount+1)))
	shortest := time.Duration(suspicionMultiplier * fleetScale * float64(probePeriod))
	longest := maxSuspicionMultiplier * shortest
	if s.failureReported {
		return shortest
	}
	reduction := min(1, math.Log(float64(max(len(s.accusers), 1)))/math.Log(expectedConfirmations+1))
	return g.health.scale(longest - time.Duration(reduction*float64(longest-shortest)))
}

// expireSuspicions verifies suspects after half of their suspicion timeout. At its end
// it marks them as failed, or as alive if an ack arrived during the suspicion.
func (g *Gossiper) expireSuspicions(now time.Time) {
	for _, m := range g.table.suspects {
		timeout := g.suspicionTimeout(m.suspicion)
		elapsed := now.Sub(m.suspicion.started)
		if elapsed >= timeout/2 {
			g.verifySuspect(m, now)
		}
		if elapsed < timeout {
			continue
		}
		if m.lastAck.After(m.suspicion.started) {
			g.setStatus(m, statusAlive, now)
			continue
		}
		if !g.detector.resyncing(now) {
			g.markFailed(m, now)
		}
	}
}

// verifySuspect sends one ping to a suspect that only other nodes accused, in case its
// refutation did not arrive here. The rate limit of extra probes leaves out some if there
// are many suspects.
func (g *Gossiper) verifySuspect(m *member, now time.Time) {
	s := m.suspicion
	if s.verified || s.accusers[g.self.spec.ID] || !g.detector.allowExtraProbe(now) {
		return
	}
	s.verified = true
	g.probe(m, now)
}

func (g *Gossiper) markFailed(m *member, now time.Time) {
	g.setStatus(m, statusFailed, now)
	g.queue.push(encodeStatus(m))
	g.metrics.count(eventFailed)
	g.log.Warn().Str("instance", m.spec.ID).Msg("Instance failed.")
}
