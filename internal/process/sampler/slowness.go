package sampler

import "time"

// Spell is a time for which an upstream works at one speed.
type Spell struct {
	// SlownessPercent is how long work takes that begins in it, 100 as usual.
	SlownessPercent int
	// AfterPercent is the same for work that begins when the spell is over; 0 for 100.
	AfterPercent int
	// Ends is when the speed may change; the zero time if that is not known.
	Ends time.Time
}

// Usual reports whether nothing slows work that begins in the spell.
func (s Spell) Usual() bool { return s.SlownessPercent <= fullPercent }

// Wait returns for how long it is better to wait before work begins: until the
// spell is over, if the work is then done earlier than if it began now. What
// begins in a spell is slowed to its end, however long that takes.
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

// After returns how long work takes that begins when the spell is over.
func (s Spell) After(work time.Duration) time.Duration {
	if s.AfterPercent == 0 {
		return work
	}
	return Slowed(work, s.AfterPercent)
}

// Finish returns how long it takes from now until work is done that begins now
// or, if that is better, when the spell is over.
func (s Spell) Finish(work time.Duration, now time.Time) time.Duration {
	if wait := s.Wait(work, now); wait > 0 {
		return wait + s.After(work)
	}
	return Slowed(work, s.SlownessPercent)
}

// Slowed returns how long work takes that begins at an upstream with the given
// slowness, in percent.
func Slowed(work time.Duration, percent int) time.Duration {
	return work * time.Duration(max(percent, 1)) / fullPercent
}
