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
	// left is the share of the work that is not in lower ranges, at least minOvertakenShare.
	left [goalBuckets]float64
}

// record records that a request started, which had the given time until its goal on arrival.
func (o *overtaking) record(goal, work time.Duration) {
	sum := work.Seconds()
	for i := range o.work {
		o.work[i] -= overtakingWeight * o.work[i]
		sum += o.work[i]
	}
	o.work[goalBucket(goal)] += work.Seconds()
	before := 0.0
	for i := range o.left {
		o.left[i] = max(1-before/sum, minOvertakenShare)
		before += o.work[i]
	}
}

// shareLeft returns the share of the slots that is left for a request with the given time until
// its goal by those with less than half of it.
func (o *overtaking) shareLeft(goal time.Duration) float64 {
	if left := o.left[goalBucket(goal/2)]; left > 0 {
		return left
	}
	return 1 // Nothing has started yet.
}

// goalBucket returns the index of the range of a time until a goal.
func goalBucket(goal time.Duration) int {
	return min(bits.Len64(uint64(max(goal, 0)/time.Millisecond)), goalBuckets-1)
}
