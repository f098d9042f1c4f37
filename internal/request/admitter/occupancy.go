package admitter

import (
	"math"
	"time"
)

const (
	// pacePeriod is the time over which the share of time without delayed starts is averaged.
	pacePeriod = 2 * time.Second
	// minOpenShare is the least share of time without delayed starts that a plan assumes.
	minOpenShare = 0.2
	// minHoldRatio and maxHoldRatio bound how many times longer than expected requests hold
	// their slots.
	minHoldRatio = 0.5
	maxHoldRatio = 4
	// holdRatioWeight is the weight of one request in the moving ratio.
	holdRatioWeight = 1.0 / 16
)

// occupancy tells when the slots in use become free, and how much faster or slower than
// expected they do.
type occupancy struct {
	running []runningRequest
	// holdRatio is how many times longer than expected requests hold their slots; 0 if unknown.
	holdRatio float64
	// openShare is the moving share of time in which starts were not delayed, up to changedAt.
	openShare float64
	delayed   bool // Whether starts are delayed since changedAt.
	changedAt time.Time
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	startedAt time.Time
	hold      time.Duration // Expected.
}

// start records that a request starts to hold a slot for the expected time.
func (o *occupancy) start(now time.Time, hold time.Duration) {
	o.running = append(o.running, runningRequest{startedAt: now, hold: hold})
}

// end removes a request that started at the given time.
func (o *occupancy) end(startedAt time.Time) {
	for i, r := range o.running {
		if r.startedAt.Equal(startedAt) {
			last := len(o.running) - 1
			o.running[i] = o.running[last]
			o.running = o.running[:last]
			return
		}
	}
}

// observe records how long a request held its slot, and how long it would have by its
// expected work alone.
func (o *occupancy) observe(held, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(held)/float64(expected), minHoldRatio), maxHoldRatio)
	if o.holdRatio == 0 {
		o.holdRatio = 1
	}
	o.holdRatio += holdRatioWeight * (ratio - o.holdRatio)
}

// hold returns how long a request with the given work is expected to hold its slot.
func (o *occupancy) hold(work time.Duration) time.Duration {
	if o.holdRatio == 0 {
		return work
	}
	return time.Duration(o.holdRatio * float64(work))
}

// setDelayed records whether starts are delayed from now on.
func (o *occupancy) setDelayed(delayed bool, now time.Time) {
	o.openShare = o.open(now)
	o.delayed = delayed
	o.changedAt = now
}

// open returns the share of time in which starts are not delayed.
func (o *occupancy) open(now time.Time) float64 {
	if o.changedAt.IsZero() {
		return 1
	}
	target := 1.0
	if o.delayed {
		target = 0
	}
	keep := math.Exp(-float64(now.Sub(o.changedAt)) / float64(pacePeriod))
	return max(target+(o.openShare-target)*keep, minOpenShare)
}

// appendFree appends when each slot in use becomes free. One that is held for longer than expected
// is taken to be held for as long again as it is late.
func (o *occupancy) appendFree(free []time.Duration, now time.Time) []time.Duration {
	for _, r := range o.running {
		left := r.hold - now.Sub(r.startedAt)
		free = append(free, max(left, -left))
	}
	return free
}
