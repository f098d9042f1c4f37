package emulator

import (
	"math/rand/v2"
	"time"
)

// noise schedules the slowdowns that co-located processes cause. The times
// between them are exponentially distributed with mean period.
type noise struct {
	period, length time.Duration
	rng            *rand.Rand
	start, end     time.Time
}

// active reports whether a slowdown is in effect at now. The times of successive
// calls must not decrease. If the last slowdown ended more than eight periods ago,
// those in between are skipped and the next one is scheduled from now.
func (n *noise) active(now time.Time) bool {
	if n.period <= 0 {
		return false
	}
	for now.After(n.end) {
		gap := time.Duration(n.rng.ExpFloat64() * float64(n.period))
		if n.end.IsZero() || now.Sub(n.end) > n.period*8 {
			n.end = now
		}
		n.start = n.end.Add(gap)
		n.end = n.start.Add(n.length)
	}
	return !now.Before(n.start)
}
