package emulator

import (
	"math/rand/v2"
	"time"
)

// noise schedules the slow spells that a noisy neighbor causes.
type noise struct {
	period, length time.Duration
	rng            *rand.Rand
	from, until    time.Time
}

// active reports whether now lies in a slow spell. Calls must come in the
// order of time.
func (n *noise) active(now time.Time) bool {
	if n.period <= 0 {
		return false
	}
	for now.After(n.until) {
		gap := time.Duration(n.rng.ExpFloat64() * float64(n.period))
		if n.until.IsZero() || now.Sub(n.until) > n.period*8 {
			n.until = now
		}
		n.from = n.until.Add(gap)
		n.until = n.from.Add(n.length)
	}
	return !now.Before(n.from)
}
