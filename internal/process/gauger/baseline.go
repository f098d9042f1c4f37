package gauger

import "time"

// baselinePeriod is how long the lowest slowness counts, at least: several spells of
// slowness that neighbors cause.
const baselinePeriod = 600 * time.Millisecond

// baseline is the lowest slowness of late, in percent: how long work takes where
// nothing but the upstream's own state slows it, such as a cold start.
type baseline struct {
	current, previous int // Of this period and of the one before; 0 for none.
	periodStart       time.Time
}

// observe takes in a report of slowness.
func (b *baseline) observe(percent int, now time.Time) {
	if now.Sub(b.periodStart) >= baselinePeriod {
		b.previous, b.current = b.current, 0
		b.periodStart = now
	}
	if b.current == 0 || percent < b.current {
		b.current = percent
	}
}

// percent returns the base, or 0 if nothing was reported.
func (b *baseline) percent() int {
	if b.previous > 0 {
		return min(b.current, b.previous)
	}
	return b.current
}
