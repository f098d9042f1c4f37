package admitter

import (
	"math"
	"time"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

const (
	// minWindowResults and minWindowLength are the minimum number of latencies and the
	// minimum time that one adjustment of the limit is based on. A burst of a noisy
	// neighbor is shorter.
	minWindowResults = 12
	minWindowLength  = 300 * time.Millisecond
	// latencyTolerance bounds the mean latency of a window as a multiple of the
	// baseline. Beyond it, the limit is lowered.
	latencyTolerance = 2
	// minDecreaseFactor is the smallest factor that one adjustment applies to the limit.
	minDecreaseFactor = 0.5
	// minLimitShare is the share of the slots that is the minimum of the limit, and
	// its value at the beginning of a cold start.
	minLimitShare = 1.0 / 3
	// durationWeight is the weight of a new duration in a moving average.
	durationWeight = 1.0 / 8
	// baselineFallTime and baselineRiseTime are the time constants with which the
	// baseline follows a lower or a higher latency.
	baselineFallTime = 5 * time.Second
	baselineRiseTime = 60 * time.Second
	// minLatencyDoubling is the time in which the minimum latency doubles unless a
	// new latency is below it.
	minLatencyDoubling = 30 * time.Second
	// idleHalfLife is the half-life of the latency above the baseline while the
	// upstream is idle, so that it is tried again.
	idleHalfLife = time.Second
	// failureWeight is the weight of a new result in the failure rate.
	failureWeight = 1.0 / 8
	// failureHalfLife is the half-life of the failure rate without new results, so
	// that an idle upstream is tried again.
	failureHalfLife = 2 * time.Second
	fullPercent     = 100
)

// limiter holds the adaptive concurrency limit of one upstream. The limit rises by
// one per window while it is reached and latency is near its baseline. It falls in
// proportion to the excess of latency over the tolerance.
type limiter struct {
	slots, connections int
	coldStart          time.Duration
	coldStartBegin     time.Time
	adaptiveLimit      float64 // Before the cold start and rounding.
	// ignoresLatency keeps the limit at its maximum, or at that of low occupancy while
	// contention is detected.
	ignoresLatency bool
	contention     contention
	// slowdown returns the current slowdown of the upstream; nil if that is unknown.
	slowdown func(now time.Time) sampler.Slowdown

	// baseline is the usual latency: it slowly follows the mean latency of the windows.
	// averageLatency and slotTime are moving averages of the requests.
	averageLatency, baseline, minLatency     time.Duration
	slotTime                                 time.Duration
	windowStart, minLatencyAt, lastLatencyAt time.Time
	windowTotal                              time.Duration
	windowCount                              int
	windowSaturated                          bool

	lastFailureRate float64 // Failure rate at lastResultAt.
	lastResultAt    time.Time
}

func newLimiter(slots, connections int, coldStart time.Duration, now time.Time) *limiter {
	l := &limiter{coldStartBegin: now, windowStart: now, lastLatencyAt: now}
	l.update(slots, connections, coldStart)
	l.adaptiveLimit = float64(l.maxLimit())
	return l
}

// maxLimit returns the maximum of the limit.
func (l *limiter) maxLimit() int { return min(l.slots, l.connections) }

// expectedLatency returns the moving average of latency. While the upstream is
// idle, it decays to the baseline.
func (l *limiter) expectedLatency(now time.Time, idle bool) time.Duration {
	if !idle || l.averageLatency <= l.baseline {
		return l.averageLatency
	}
	excess := float64(l.averageLatency - l.baseline)
	age := now.Sub(l.lastLatencyAt)
	return l.baseline + time.Duration(excess*math.Exp2(-float64(age)/float64(idleHalfLife)))
}

// observeResult records whether a request failed.
func (l *limiter) observeResult(failed bool, now time.Time) {
	rate := l.failureRate(now)
	if failed {
		rate += failureWeight * (1 - rate)
	} else {
		rate -= failureWeight * rate
	}
	l.lastFailureRate = rate
	l.lastResultAt = now
}

// failureRate returns the smoothed share of failed requests.
func (l *limiter) failureRate(now time.Time) float64 {
	age := max(now.Sub(l.lastResultAt), 0)
	return l.lastFailureRate * decayFactor(age, failureHalfLife)
}

// decayFactor returns the factor of exponential decay at the given age.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// recentMinLatency returns the minimum of recent latencies.
func (l *limiter) recentMinLatency(now time.Time) time.Duration {
	age := now.Sub(l.minLatencyAt)
	return min(time.Duration(float64(l.minLatency)*math.Exp2(float64(age)/float64(minLatencyDoubling))), l.averageLatency)
}

// observeSlotTime records how long a request held its slot.
func (l *limiter) observeSlotTime(d time.Duration) { l.slotTime = smoothed(l.slotTime, d) }

// limit returns how many requests may be in flight at now.
func (l *limiter) limit(now time.Time) int {
	limit := l.adaptiveLimit
	if l.ignoresLatency {
		limit = float64(l.contention.limit(l.maxLimit(), l.cold(now), now))
	}
	if warm := l.warmPercent(now); warm < fullPercent {
		share := minLimitShare + (1-minLimitShare)*float64(warm)/fullPercent
		limit = min(limit, share*float64(l.maxLimit()))
	}
	return max(int(math.Round(limit)), 1)
}

// cold reports whether the upstream says that it is slow until it has warmed up.
func (l *limiter) cold(now time.Time) bool { return l.slowdown != nil && l.slowdown(now).Lasting() }

// observeLatency records the latency of one request, and whether the limit was
// reached when it finished.
func (l *limiter) observeLatency(latency time.Duration, saturated bool, now time.Time) {
	l.lastLatencyAt = now
	l.averageLatency = smoothed(l.averageLatency, latency)
	if l.minLatency == 0 || latency <= l.recentMinLatency(now) {
		l.minLatency = latency
		l.minLatencyAt = now
	}
	l.windowTotal += latency
	l.windowCount++
	l.windowSaturated = l.windowSaturated || saturated
	if l.windowCount >= minWindowResults && now.Sub(l.windowStart) >= minWindowLength {
		l.closeWindow(l.windowTotal/time.Duration(l.windowCount), now)
	}
}

// closeWindow adjusts the limit to the mean latency of the window that ends now, and
// starts a new one. A window that ends during the cold start has no effect.
func (l *limiter) closeWindow(mean time.Duration, now time.Time) {
	length := now.Sub(l.windowStart)
	saturated := l.windowSaturated
	l.windowStart = now
	l.windowTotal = 0
	l.windowCount = 0
	l.windowSaturated = false
	if l.warmPercent(now) < fullPercent {
		return
	}
	if l.baseline == 0 {
		l.baseline = mean
	}
	switch {
	case l.ignoresLatency:
	case mean > latencyTolerance*l.baseline:
		factor := float64(latencyTolerance*l.baseline) / float64(mean)
		l.adaptiveLimit = max(l.adaptiveLimit*max(factor, minDecreaseFactor), minLimitShare*float64(l.maxLimit()))
	case saturated:
		l.adaptiveLimit = min(l.adaptiveLimit+1, float64(l.maxLimit()))
	}
	l.updateBaseline(mean, length)
}

// updateBaseline moves the baseline towards the mean latency of a window.
func (l *limiter) updateBaseline(mean, length time.Duration) {
	timeConstant := baselineRiseTime
	if mean < l.baseline {
		timeConstant = baselineFallTime
	}
	share := 1 - math.Exp(-float64(length)/float64(timeConstant))
	l.baseline += time.Duration(share * float64(mean-l.baseline))
}

// update applies new settings and scales the limit to the new maximum.
func (l *limiter) update(slots, connections int, coldStart time.Duration) {
	before := l.maxLimit()
	l.slots = max(slots, 1)
	l.connections = max(connections, 1)
	l.coldStart = coldStart
	if before > 0 {
		l.adaptiveLimit *= float64(l.maxLimit()) / float64(before)
	}
}

// warmPercent returns the progress of the cold start, from 0 to 100.
func (l *limiter) warmPercent(now time.Time) int {
	elapsed := now.Sub(l.coldStartBegin)
	if elapsed >= l.coldStart {
		return fullPercent
	}
	return int(max(elapsed, 0) * fullPercent / l.coldStart)
}

// smoothed returns the moving average after one more duration. The first duration
// is the initial average.
func smoothed(average, d time.Duration) time.Duration {
	if average == 0 {
		return d
	}
	return average + time.Duration(durationWeight*float64(d-average))
}
