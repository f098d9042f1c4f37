package admitter

import (
	"math"
	"time"
)

const (
	// windowResults and windowLength are how many latencies, over at least what
	// time, decide one step of the limit. A burst of a noisy neighbor is shorter.
	windowResults = 12
	windowLength  = 300 * time.Millisecond
	// tolerance is how many times the baseline a latency may be before the limit falls.
	tolerance = 2
	// maxDecrease is the least factor by which the limit falls in one step.
	maxDecrease = 0.5
	// minShare is the part of the slots that the limit never falls below, and
	// at which a cold start begins.
	minShare = 1.0 / 3
	// latencyWeight is the weight of a new duration in a moving average.
	latencyWeight = 1.0 / 8
	// baselineFall and baselineRise are the time constants by which the baseline
	// follows a lower and a higher latency.
	baselineFall = 5 * time.Second
	baselineRise = 60 * time.Second
	// fastestRise is how long it takes until the fastest latency counts twice.
	fastestRise = 30 * time.Second
	// idleHalfLife is how long an idle upstream takes to lose half of its
	// latency above the baseline, so that it is tried again.
	idleHalfLife = time.Second
	// failureWeight is the weight of a new result in the failure rate.
	failureWeight = 1.0 / 8
	// failureHalfLife is how long it takes until half of a failure rate is
	// forgotten, so that an upstream without work is tried again.
	failureHalfLife = 2 * time.Second
	fullPercent     = 100
)

// limiter holds the adaptive limit of one upstream. The limit grows by one
// while it is reached and latency is near its baseline, and falls in proportion
// to how far latency exceeds the tolerance.
type limiter struct {
	slots, connections int
	coldStart          time.Duration
	started            time.Time
	current            float64
	// fixed keeps the limit at the ceiling, or below crowding if that slows the upstream.
	fixed    bool
	crowding crowding

	average, baseline, fastest         time.Duration
	slotTime                           time.Duration // Moving average.
	windowEnd, fastestAt, lastObserved time.Time
	windowTotal                        time.Duration
	windowCount                        int
	saturated                          bool

	failures float64 // Failure rate at endedAt.
	endedAt  time.Time
}

func newLimiter(slots, connections int, coldStart time.Duration, now time.Time) *limiter {
	l := &limiter{started: now, windowEnd: now, lastObserved: now}
	l.update(slots, connections, coldStart)
	l.current = float64(l.ceiling())
	return l
}

// ceiling returns what the limit never exceeds.
func (l *limiter) ceiling() int { return min(l.slots, l.connections) }

// expectedLatency returns the moving average of latency; for an idle upstream
// it falls towards the baseline with time.
func (l *limiter) expectedLatency(now time.Time, idle bool) time.Duration {
	if !idle || l.average <= l.baseline {
		return l.average
	}
	excess := float64(l.average - l.baseline)
	age := now.Sub(l.lastObserved)
	return l.baseline + time.Duration(excess*math.Exp2(-float64(age)/float64(idleHalfLife)))
}

// ended takes in whether an exchange failed.
func (l *limiter) ended(failed bool, now time.Time) {
	rate := l.failureRate(now)
	if failed {
		rate += failureWeight * (1 - rate)
	} else {
		rate -= failureWeight * rate
	}
	l.failures = rate
	l.endedAt = now
}

// failureRate returns the smoothed share of exchanges that failed.
func (l *limiter) failureRate(now time.Time) float64 {
	age := max(now.Sub(l.endedAt), 0)
	return l.failures * halved(age, failureHalfLife)
}

// halved returns what is left of 1 after a time in which it halves again and again.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// fastestLatency returns the least latency seen lately.
func (l *limiter) fastestLatency(now time.Time) time.Duration {
	age := now.Sub(l.fastestAt)
	return min(time.Duration(float64(l.fastest)*math.Exp2(float64(age)/float64(fastestRise))), l.average)
}

// held takes in for how long an exchange held its slot.
func (l *limiter) held(d time.Duration) { l.slotTime = smoothed(l.slotTime, d) }

// limit returns how many requests may run at once now.
func (l *limiter) limit(now time.Time) int {
	limit := l.current
	if l.fixed {
		limit = float64(l.crowding.limit(l.ceiling(), now))
	}
	if warm := l.warmPercent(now); warm < fullPercent {
		share := minShare + (1-minShare)*float64(warm)/fullPercent
		limit = min(limit, share*float64(l.ceiling()))
	}
	return max(int(math.Round(limit)), 1)
}

// observe takes in the latency of one exchange. The exchange is saturated if
// all of the limit was in use.
func (l *limiter) observe(latency time.Duration, saturated bool, now time.Time) {
	l.lastObserved = now
	l.average = smoothed(l.average, latency)
	if l.fastest == 0 || latency <= l.fastestLatency(now) {
		l.fastest = latency
		l.fastestAt = now
	}
	l.windowTotal += latency
	l.windowCount++
	l.saturated = l.saturated || saturated
	if l.windowCount >= windowResults && now.Sub(l.windowEnd) >= windowLength {
		l.step(l.windowTotal/time.Duration(l.windowCount), now)
	}
}

// step ends a window with the given mean latency and moves the limit.
func (l *limiter) step(mean time.Duration, now time.Time) {
	length := now.Sub(l.windowEnd)
	saturated := l.saturated
	l.windowEnd = now
	l.windowTotal = 0
	l.windowCount = 0
	l.saturated = false
	if l.warmPercent(now) < fullPercent {
		return
	}
	if l.baseline == 0 {
		l.baseline = mean
	}
	switch {
	case l.fixed:
	case mean > tolerance*l.baseline:
		gradient := float64(tolerance*l.baseline) / float64(mean)
		l.current = max(l.current*max(gradient, maxDecrease), minShare*float64(l.ceiling()))
	case saturated:
		l.current = min(l.current+1, float64(l.ceiling()))
	}
	l.follow(mean, length)
}

// follow moves the baseline towards the mean of a window of the given length.
func (l *limiter) follow(mean, length time.Duration) {
	constant := baselineRise
	if mean < l.baseline {
		constant = baselineFall
	}
	share := 1 - math.Exp(-float64(length)/float64(constant))
	l.baseline += time.Duration(share * float64(mean-l.baseline))
}

func (l *limiter) update(slots, connections int, coldStart time.Duration) {
	before := l.ceiling()
	l.slots = max(slots, 1)
	l.connections = max(connections, 1)
	l.coldStart = coldStart
	if before > 0 {
		l.current *= float64(l.ceiling()) / float64(before)
	}
}

// warmPercent returns how far the cold start has come, from 0 to 100.
func (l *limiter) warmPercent(now time.Time) int {
	elapsed := now.Sub(l.started)
	if elapsed >= l.coldStart {
		return fullPercent
	}
	return int(max(elapsed, 0) * fullPercent / l.coldStart)
}

// smoothed returns the moving average after one more duration. The first one
// stands for itself.
func smoothed(average, d time.Duration) time.Duration {
	if average == 0 {
		return d
	}
	return average + time.Duration(latencyWeight*float64(d-average))
}
