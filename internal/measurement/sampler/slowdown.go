package sampler

import "time"

// lastingPercent is the slowness from which an upstream counts as slowed for longer, if it
// has that slowness also after the current slowdown.
const lastingPercent = 150

// Slowdown describes the current slowdown of an upstream, or that it runs at full speed.
// Its methods take work as the duration that it has at full speed.
type Slowdown struct {
	// SlownessPercent is the duration of work that begins now, in percent of its
	// duration at full speed.
	SlownessPercent int
	// SlownessAfterPercent is the same for work that begins after the slowdown; 0 means
	// 100.
	SlownessAfterPercent int
	// End is when the speed may change; the zero time if unknown.
	End time.Time
}

// FullSpeed reports whether work that begins now is not slowed.
func (s Slowdown) FullSpeed() bool { return s.SlownessPercent <= fullPercent }

// Lasting reports whether the upstream stays slowed after the current slowdown, such as
// during a cold start.
func (s Slowdown) Lasting() bool {
	return min(s.SlownessPercent, s.SlownessAfterPercent) >= lastingPercent
}

// StartDelay returns how long to delay work so that it finishes earliest: until the
// slowdown ends, if the work then finishes earlier than if it began now, or else 0.
// Work that begins during a slowdown is slowed until it is done, even after the
// slowdown has ended.
func (s Slowdown) StartDelay(work time.Duration, now time.Time) time.Duration {
	if s.FullSpeed() || work <= 0 || !s.End.After(now) {
		return 0
	}
	left := s.End.Sub(now)
	if SlowedDuration(work, s.SlownessPercent) <= left+s.DurationAfter(work) {
		return 0
	}
	return left
}

// DurationAfter returns the duration of work that begins after the slowdown.
func (s Slowdown) DurationAfter(work time.Duration) time.Duration {
	if s.SlownessAfterPercent == 0 {
		return work
	}
	return SlowedDuration(work, s.SlownessAfterPercent)
}

// TimeToFinish returns the time from now until work is done, if it begins after the
// delay that StartDelay returns.
func (s Slowdown) TimeToFinish(work time.Duration, now time.Time) time.Duration {
	if wait := s.StartDelay(work, now); wait > 0 {
		return wait + s.DurationAfter(work)
	}
	return SlowedDuration(work, s.SlownessPercent)
}

// SlowedDuration returns how long work takes at an upstream with the given slowness in
// percent, if it takes the given time at full speed.
func SlowedDuration(work time.Duration, percent int) time.Duration {
	return work * time.Duration(max(percent, 1)) / fullPercent
}
