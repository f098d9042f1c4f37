package admitter

import (
	"math/bits"
	"time"
)

const (
	// goalBuckets is the number of ranges of time until the goal, each twice as long as
	// the one before. The first one ends at 1 ms, the last one is open.
	goalBuckets = 16
	// overtakingWeight is the weight of one start in the moving sums.
	overtakingWeight = 1.0 / 64
	// minOvertakenShare is the least share of the slots that overtaking requests leave.
	minOvertakenShare = 0.1
)

// overtaking knows how much of the work of a class comes with a short time until its goal.
// Such requests that have yet to arrive will go before a waiting one with more time left, as
// those of higher classes do.
type overtaking struct {
	work [goalBuckets]float64 // Moving sums of started work in seconds, by time until the goal.
	sum  float64
}

// record records that a request started, which had the given time until its goal on arrival.
func (o *overtaking) record(goal, work time.Duration) {
	for i := range o.work {
		o.work[i] -= overtakingWeight * o.work[i]
	}
	o.sum -= overtakingWeight * o.sum
	o.work[goalBucket(goal)] += work.Seconds()
	o.sum += work.Seconds()
}

// shareLeft returns the share of the slots that is left for a request with the given time until
// its goal by those with less than half of it.
func (o *overtaking) shareLeft(goal time.Duration) float64 {
	if o.sum == 0 {
		return 1
	}
	before := 0.0
	for _, work := range o.work[:goalBucket(goal/2)] {
		before += work
	}
	return max(1-before/o.sum, minOvertakenShare)
}

// goalBucket returns the index of the range of a time until a goal.
func goalBucket(goal time.Duration) int {
	return min(bits.Len64(uint64(max(goal, 0)/time.Millisecond)), goalBuckets-1)
}
