package sampler

import "time"

// Reading is what was known about one instance at one moment.
type Reading struct {
	load                         Load
	sampled, fresh               bool
	incarnation                  uint64
	age                          time.Duration
	sentSinceSample, outstanding int
	results                      int
	reportedLatency              time.Duration // Of the sample, forgotten with time.
	lastMeasuredLatency          time.Duration // Smoothed, when last used.
	measuredLatency              time.Duration // The same, forgotten with time.
	failureRate                  float64
}

// Age returns the age of the sample, or 0 if there is none.
func (r Reading) Age() time.Duration { return r.age }

// FailureRate returns the smoothed share of failures, from 0 to 1, forgotten
// with time: the larger of what the serving node told and what own requests saw.
func (r Reading) FailureRate() float64 { return r.failureRate }

// Fresh reports whether there is a sample that is neither too old nor used up.
func (r Reading) Fresh() bool { return r.fresh }

// Incarnation returns the incarnation that the sample is of.
func (r Reading) Incarnation() uint64 { return r.incarnation }

// Latency returns the expected time of one exchange: the larger of what the
// serving node told and what own requests saw; 0 if neither is known.
func (r Reading) Latency() time.Duration { return max(r.load.Latency(), r.measuredLatency) }

// Load returns the newest sample, fresh or not; the zero Load if there is none.
func (r Reading) Load() Load { return r.load }

// Occupancy returns the estimated number of requests at the instance, in
// flight and queued: the sample and the own requests sent since, and at least
// the own requests in flight.
func (r Reading) Occupancy() int {
	return max(r.load.InFlight()+r.load.Queued()+r.sentSinceSample, r.outstanding)
}

// Outstanding returns the number of own requests in flight.
func (r Reading) Outstanding() int { return r.outstanding }

// SentSince returns the number of own requests sent since the sample.
func (r Reading) SentSince() int { return r.sentSinceSample }

// Spell returns how fast the instance works at the given moment, which is that
// of the reading.
func (r Reading) Spell(now time.Time) Spell {
	s := Spell{SlownessPercent: r.load.SlownessPercent()}
	if left := r.load.SpellLeft() - r.age; left > 0 {
		s.Ends = now.Add(left)
	}
	return s
}

// Sampled reports whether there is any sample, however old.
func (r Reading) Sampled() bool { return r.sampled }
