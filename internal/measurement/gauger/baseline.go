package gauger

import "time"

// baselineWindow is the least time for which the lowest slowness is kept. It spans
// several slowdowns by neighbors.
const baselineWindow = 600 * time.Millisecond

// baseline tracks the lowest recent slowness, in percent: the slowness that the
// upstream's own state causes, such as a cold start, without that of neighbors.
type baseline struct {
	current, previous int // Lowest of each window; 0 for none.
	windowStart       time.Time
}

// observe records a reported slowness.
func (b *baseline) observe(percent int, now time.Time) {
	if now.Sub(b.windowStart) >= baselineWindow {
		b.previous, b.current = b.current, 0
		b.windowStart = now
	}
	if b.current == 0 || percent < b.current {
		b.current = percent
	}
}

// percent returns the baseline, or 0 if no slowness was reported.
func (b *baseline) percent() int {
	if b.previous > 0 {
		return min(b.current, b.previous)
	}
	return b.current
}
