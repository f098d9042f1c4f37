package gauger

import "time"

// basePeriod is how long the lowest slowness counts, at least: several spells of
// slowness that neighbors cause.
const basePeriod = 600 * time.Millisecond

// base is the lowest slowness of late, in percent: how long work takes where
// nothing but the upstream's own state slows it, such as a cold start.
type base struct {
	now, before int // Of this period and of the one before; 0 for none.
	began       time.Time
}

// observe takes in a report of slowness.
func (b *base) observe(percent int, now time.Time) {
	if now.Sub(b.began) >= basePeriod {
		b.before, b.now = b.now, 0
		b.began = now
	}
	if b.now == 0 || percent < b.now {
		b.now = percent
	}
}

// percent returns the base, or 0 if nothing was reported.
func (b *base) percent() int {
	if b.before > 0 {
		return min(b.now, b.before)
	}
	return b.now
}
