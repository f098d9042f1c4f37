package sampler

import "time"

// Reading is a snapshot of the sample and the request statistics of one instance.
type Reading struct {
	load                         Load
	sampled, fresh               bool
	incarnation                  uint64
	age                          time.Duration
	sentSinceSample, outstanding int
	results                      int
	reportedLatency              time.Duration // Of the sample, decayed since.
	lastMeasuredLatency          time.Duration // Smoothed, at the newest result.
	measuredLatency              time.Duration // lastMeasuredLatency, decayed since.
	failureRate                  float64
}

// Age returns the age of the sample, or 0 if there is none.
func (r Reading) Age() time.Duration { return r.age }

// FailureRate returns the smoothed share of failures, from 0 to 1, decayed since
// it was measured: the larger of the rate that the serving node reported and that
// of this node's requests.
func (r Reading) FailureRate() float64 { return r.failureRate }

// Fresh reports whether there is a sample that is recent enough and still below
// the limit of requests per sample.
func (r Reading) Fresh() bool { return r.fresh }

// Incarnation returns the incarnation at which the sample was taken.
func (r Reading) Incarnation() uint64 { return r.incarnation }

// Latency returns the expected time until a response begins: the larger of the latency
// in the sample and the measured one, which decays; 0 if neither is known.
func (r Reading) Latency() time.Duration { return max(r.load.Latency(), r.measuredLatency) }

// Load returns the newest sample, fresh or not, or the zero Load if there is none.
func (r Reading) Load() Load { return r.load }

// Occupancy returns the estimated number of requests in flight and queued at the
// instance: those of the sample and those that this node sent since, and at least
// this node's requests in flight.
func (r Reading) Occupancy() int {
	return max(r.load.InFlight()+r.load.Queued()+r.sentSinceSample, r.outstanding)
}

// Outstanding returns the number of this node's requests in flight.
func (r Reading) Outstanding() int { return r.outstanding }

// SentSinceSample returns the number of requests that this node sent since the sample.
func (r Reading) SentSinceSample() int { return r.sentSinceSample }

// Slowdown returns the slowdown of the instance. It computes the end from now, which
// must be the time of the reading.
func (r Reading) Slowdown(now time.Time) Slowdown {
	s := Slowdown{SlownessPercent: r.load.SlownessPercent()}
	if left := r.load.SlowdownLeft() - r.age; left > 0 {
		s.End = now.Add(left)
	}
	return s
}

// RateWait returns how long the instance refuses requests because of the rate limit that
// its upstream names, as far as the sample tells.
func (r Reading) RateWait() time.Duration { return max(r.load.Rate().Wait-r.age, 0) }

// Sampled reports whether there is any sample, however old.
func (r Reading) Sampled() bool { return r.sampled }
