package sampler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in its moving average.
	latencyWeight = 1.0 / 8
	// failureWeight is the weight of a new result in the moving failure rate.
	failureWeight = 1.0 / 5
	// decayHalfLife is the time in which a latency or failure rate that is not
	// updated decays to half, so that an avoided instance is tried again.
	decayHalfLife = 2 * time.Second
	// incarnationMemory is how long a sample keeps out those of earlier incarnations, which
	// arrive late. After that the incarnation cannot be one that exists.
	incarnationMemory = 10 * time.Second
)

// sample is a load received from an instance. It is immutable.
type sample struct {
	incarnation uint64
	load        Load
	receivedAt  time.Time
}

// requestStats summarizes the requests of this node to one incarnation of an
// instance. It is immutable.
type requestStats struct {
	latency     time.Duration
	failureRate float64
	results     int // Requests that ended, excluding refusals.
	updatedAt   time.Time
}

// entry holds the sample and the request statistics of one instance.
type entry struct {
	outstanding     atomic.Int64 // Requests of this node in flight.
	lastSentAt      atomic.Int64 // Time of the newest request, in Unix nanoseconds.
	sentSinceSample atomic.Int64 // Requests of this node since the sample.
	sample          atomic.Pointer[sample]
	stats           atomic.Pointer[requestStats]
	mu              sync.Mutex // Serializes writers of sample and stats.
}

// recordResult updates the statistics with the end of a request.
func (e *entry) recordResult(result Result, now time.Time) {
	e.outstanding.Add(-1)
	if result.Refused {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next := requestStats{updatedAt: now}
	if old := e.stats.Load(); old != nil {
		next.latency = old.latency
		next.failureRate = decayed(old.failureRate, now.Sub(old.updatedAt))
		next.results = old.results
	}
	next.results++
	if result.Failed {
		next.failureRate += failureWeight * (1 - next.failureRate)
	} else {
		next.failureRate -= failureWeight * next.failureRate
		next.latency = smoothed(next.latency, result.Latency)
	}
	e.stats.Store(&next)
}

// observe stores a sample unless the one held is newer or, for incarnationMemory, of a later
// incarnation. The first sample of a new incarnation discards the statistics of the previous one.
func (e *entry) observe(next sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.sample.Load()
	if old != nil && old.incarnation > next.incarnation && next.receivedAt.Sub(old.receivedAt) < incarnationMemory {
		return
	}
	if old != nil && old.incarnation == next.incarnation && old.receivedAt.After(next.receivedAt) {
		return
	}
	if old != nil && old.incarnation != next.incarnation {
		e.stats.Store(nil)
	}
	e.sample.Store(&next)
	e.sentSinceSample.Store(0)
}

// read returns a reading, whose sample is fresh if it is no older than maxAge and
// fewer than maxRequests requests were sent since.
func (e *entry) read(maxRequests int64, maxAge time.Duration, now time.Time) Reading {
	r := Reading{
		outstanding:     int(max(e.outstanding.Load(), 0)),
		sentSinceSample: int(e.sentSinceSample.Load()),
	}
	if s := e.sample.Load(); s != nil {
		r.sampled = true
		r.load = s.load
		r.incarnation = s.incarnation
		r.age = max(now.Sub(s.receivedAt), 0)
		r.fresh = r.age <= maxAge && int64(r.sentSinceSample) < maxRequests
		r.reportedLatency = time.Duration(decayed(float64(s.load.Latency()), r.age))
		r.failureRate = decayed(float64(s.load.FailurePercent())/fullPercent, r.age)
	}
	if stats := e.stats.Load(); stats != nil {
		idle := now.Sub(stats.updatedAt)
		r.results = stats.results
		r.lastMeasuredLatency = stats.latency
		r.measuredLatency = time.Duration(decayed(float64(stats.latency), idle))
		r.failureRate = max(r.failureRate, decayed(stats.failureRate, idle))
	}
	return r
}

// decayed returns v after exponential decay over the given idle time.
func decayed(v float64, idle time.Duration) float64 {
	if v == 0 || idle <= 0 {
		return v
	}
	return v * math.Exp2(-float64(idle)/float64(decayHalfLife))
}

// smoothed returns the moving average after one more latency. The first latency
// is the initial average.
func smoothed(average, latency time.Duration) time.Duration {
	if average == 0 {
		return latency
	}
	return average + time.Duration(latencyWeight*float64(latency-average))
}
