package sampler

import "time"

const (
	// spellLeft is how much longer a spell of slowness lasts on average: half of
	// the time for which a neighbor on the same machine slows an upstream.
	spellLeft = 75 * time.Millisecond
	// typicalSlowness is how long work takes on average, in percent, once the
	// present spell is over.
	typicalSlowness = 150
)

// Slowed returns how long work takes that begins at an upstream with the given
// slowness, in percent: a spell of that is over before long work ends.
func Slowed(work time.Duration, percent int) time.Duration {
	percent = max(percent, 1)
	inSpell := work * time.Duration(percent) / fullPercent
	if inSpell <= spellLeft {
		return inSpell
	}
	done := spellLeft * fullPercent / time.Duration(percent)
	return spellLeft + (work-done)*typicalSlowness/fullPercent
}
