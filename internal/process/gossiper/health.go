package gossiper

import "time"

// maxHealthScore bounds how far timeouts grow.
const maxHealthScore = 8

// health is this node's doubt about its own timeliness. Late answers and
// wrong suspicions raise it; answers in time lower it. Timeouts grow with it,
// so that a loaded node does not suspect others for its own lateness.
type health struct{ score int }

func (h *health) worsen()  { h.score = min(h.score+1, maxHealthScore) }
func (h *health) improve() { h.score = max(h.score-1, 0) }

// scale returns d grown by the score.
func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(h.score+1)
}
