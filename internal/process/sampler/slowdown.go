package sampler

import "time"

// Spell describes the current slowdown of an upstream, or its normal speed.
type Spell struct {
	// SlownessPercent is the duration of work that begins now relative to normal,
	// which is 100.
	SlownessPercent int
	// AfterPercent is the same for work that begins after the slowdown; 0 means 100.
	AfterPercent int
	// Ends is when the speed may change; the zero time if unknown.
	Ends time.Time
}

// Usual reports whether work that begins now is not slowed.
func (s Spell) Usual() bool { return s.SlownessPercent <= fullPercent }

// Wait returns how long to delay work so that it finishes earliest: until the
// slowdown ends, if it then finishes earlier than if it began now, or else 0.
// Work that begins during a slowdown is slowed until it is done, even after the
// slowdown has ended.
func (s Spell) Wait(work time.Duration, now time.Time) time.Duration {
	if s.Usual() || work <= 0 || !s.Ends.After(now) {
		return 0
	}
	left := s.Ends.Sub(now)
	if Slowed(work, s.SlownessPercent) <= left+s.After(work) {
		return 0
	}
	return left
}

// After returns the duration of work that begins after the slowdown.
func (s Spell) After(work time.Duration) time.Duration {
	if s.AfterPercent == 0 {
		return work
	}
	return Slowed(work, s.AfterPercent)
}

// Finish returns the time from now until work is done, if it begins after the delay
// that Wait returns.
func (s Spell) Finish(work time.Duration, now time.Time) time.Duration {
	if wait := s.Wait(work, now); wait > 0 {
		return wait + s.After(work)
	}
	return Slowed(work, s.SlownessPercent)
}

// Slowed returns the duration of work that begins at an upstream with the given
// slowness, in percent.
func Slowed(work time.Duration, percent int) time.Duration {
	return work * time.Duration(max(percent, 1)) / fullPercent
}
