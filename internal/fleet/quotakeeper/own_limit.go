package quotakeeper

import "time"

// ownSlack is the number of requests and ownAhead the time whose requests may be taken at once in
// addition to the burst, since tokens come in batches.
const (
	ownSlack = 5
	ownAhead = 250 * time.Millisecond
)

// ownLimit is the limit by the configuration of this node alone: a token bucket that starts full.
// It holds if this node is told of a lower limit before the grantor is.
type ownLimit struct {
	rate, burst, level float64
	at                 time.Duration
}

// set sets the limit.
func (l *ownLimit) set(rate, burst float64, now time.Duration) {
	burst += rate*ownAhead.Seconds() + ownSlack
	if l.rate != rate || l.burst != burst {
		if l.rate == 0 {
			l.level, l.at = burst, now
		}
		l.rate, l.burst = rate, burst
	}
	l.level = min(l.level+rate*(now-l.at).Seconds(), burst)
	l.at = now
}

// allows reports whether a request may be taken. It must follow set.
func (l *ownLimit) allows(now time.Duration) bool {
	return l.level+l.rate*(now-l.at).Seconds() >= 1
}

func (l *ownLimit) take() { l.level-- }
