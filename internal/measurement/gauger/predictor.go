package gauger

import "time"

const (
	// requiredChanges and requiredPeriods are the numbers of changes that a period
	// must explain, and of periods that they must span, before it is accepted.
	requiredChanges = 6
	requiredPeriods = 6
	// maxChanges is the number of most recent changes used to detect a period.
	maxChanges = 8
	// minPeriod is the shortest period that is predicted: with a shorter one, a
	// report is outdated before it can be used.
	minPeriod = 40 * time.Millisecond
	// periodSearchStep is the step between the periods tried.
	periodSearchStep = time.Millisecond
	// maxMispredictions is the number of consecutive changes outside the predicted
	// bounds after which the period is discarded.
	maxMispredictions = 4
	// preciseWidth is the distance between the bounds up to which the next change
	// point counts as precisely known. While they are farther apart,
	// readsWithinBounds limits the reads between them.
	preciseWidth      = 4 * time.Millisecond
	readsWithinBounds = 4
	// minWidening is the least distance by which each bound moves outward per
	// period, so that the change point is measured again from time to time.
	minWidening = 100 * time.Microsecond
)

// speedChange is an observed change of the speed: it happened after the time of one
// report and by the time of the next.
type speedChange struct{ after, by time.Time }

// changePredictor predicts when the speed of an upstream may change. Neighbors are
// scheduled in time slices, so that the speed changes only at change points, which
// are one period apart. A report made right after a change point is valid until the
// next, whereas one made at any other time may soon be outdated.
type changePredictor struct {
	changes []speedChange
	period  time.Duration // 0 while unknown.
	// low and high bound one change point.
	low, high time.Time
	// widening is the distance by which each bound moves outward per period.
	widening time.Duration
	// origin is the earliest change point used, with an uncertainty of originWidth,
	// and periodsSinceOrigin the number of periods from there to the bounds.
	origin             time.Time
	originWidth        time.Duration
	periodsSinceOrigin int
	mispredictions     int
}

// known reports whether the period is known.
func (c *changePredictor) known() bool { return c.period > 0 }

// observe records a change of the speed between two reports.
func (c *changePredictor) observe(observed speedChange) {
	if !c.known() {
		c.detectPeriod(observed)
		return
	}
	c.seekChangePoint(observed.by.Add(-c.period / 2))
	if !c.known() || observed.after.Before(c.high.Add(-c.period)) {
		return // There may be two change points between the reports.
	}
	low, high := later(c.low, observed.after), earlier(c.high, observed.by)
	if !high.Before(low) {
		c.low, c.high = low, high
		c.mispredictions = 0
		c.refinePeriod()
		return
	}
	c.moveBounds(observed)
	c.mispredictions++
	if c.mispredictions >= maxMispredictions {
		*c = changePredictor{}
	}
}

// moveBounds moves the bounds to a change that was observed before or after them. It
// places them at the end of the change's interval that is closer to the old bounds.
func (c *changePredictor) moveBounds(observed speedChange) {
	if observed.after.Before(c.low) {
		c.low, c.high = later(observed.after, observed.by.Add(-preciseWidth)), observed.by
		return
	}
	c.low, c.high = observed.after, earlier(observed.by, observed.after.Add(preciseWidth))
}

// nextBounds returns the bounds of the first change point whose upper bound is
// after now.
func (c *changePredictor) nextBounds(now time.Time) (low, high time.Time) {
	c.seekChangePoint(now)
	return c.low, c.high
}

// seekChangePoint moves the bounds, forward or back, to the first change point whose
// upper bound is after t. It discards the period if the bounds become too wide.
func (c *changePredictor) seekChangePoint(t time.Time) {
	n := 0
	if !c.high.After(t) {
		n = int(t.Sub(c.high)/c.period) + 1
	}
	if excess := c.high.Sub(t); excess > c.period {
		n = -int((excess - 1) / c.period)
	}
	if n == 0 {
		return
	}
	margin := time.Duration(n) * c.widening
	c.low = c.low.Add(time.Duration(n)*c.period - margin)
	c.high = c.high.Add(time.Duration(n)*c.period + margin)
	c.periodsSinceOrigin += n
	if c.high.Sub(c.low) >= c.period/2 {
		*c = changePredictor{} // No change was observed for too long.
	}
}

// nextReadTime returns the most useful time after now for a report: right after the
// bounds of the next change point, and, where these are far apart, also between
// them, so that the next change narrows them.
func (c *changePredictor) nextReadTime(now time.Time) time.Time {
	low, high := c.nextBounds(now)
	width := high.Sub(low)
	if width <= preciseWidth {
		return high
	}
	for i := range readsWithinBounds {
		if at := low.Add(time.Duration(i) * width / readsWithinBounds); at.After(now) {
			return at
		}
	}
	return high
}

// detectPeriod adds a change and searches for a period that explains the recent ones.
func (c *changePredictor) detectPeriod(observed speedChange) {
	c.changes = append(c.changes, observed)
	if len(c.changes) > maxChanges {
		c.changes = c.changes[1:]
	}
	if len(c.changes) < requiredChanges {
		return
	}
	shortestGap, maxWidth := c.gap(0), observed.by.Sub(observed.after)
	for i := range c.changes[1:] {
		shortestGap = min(shortestGap, c.gap(i))
		maxWidth = max(maxWidth, c.changes[i].by.Sub(c.changes[i].after))
	}
	if shortestGap < minPeriod {
		return
	}
	bestPeriod, smallestDeviation := time.Duration(0), maxWidth
	for period := shortestGap - maxWidth; period <= shortestGap+maxWidth; period += periodSearchStep {
		if deviation := c.maxDeviation(period); period >= minPeriod && deviation < smallestDeviation {
			bestPeriod, smallestDeviation = period, deviation
		}
	}
	if bestPeriod == 0 {
		return
	}
	periods := 0
	for i := range c.changes[1:] {
		periods += periodsIn(c.gap(i), bestPeriod)
	}
	if periods >= requiredPeriods {
		c.acceptPeriod(periods)
	}
}

// maxDeviation returns the largest deviation of the gaps between the changes from
// multiples of the period.
func (c *changePredictor) maxDeviation(period time.Duration) time.Duration {
	largest := time.Duration(0)
	for i := range c.changes[1:] {
		gap := c.gap(i)
		largest = max(largest, (gap - time.Duration(periodsIn(gap, period))*period).Abs())
	}
	return largest
}

// periodsIn returns the number of periods that a gap spans, rounded to the nearest.
func periodsIn(gap, period time.Duration) int { return int((gap + period/2) / period) }

// gap returns the time between change i and the next.
func (c *changePredictor) gap(i int) time.Duration { return c.changes[i+1].by.Sub(c.changes[i].by) }

// acceptPeriod starts to predict changes, given the number of periods that the
// observed changes span.
func (c *changePredictor) acceptPeriod(periods int) {
	first, last := c.changes[0], c.changes[len(c.changes)-1]
	c.period = last.by.Sub(first.by) / time.Duration(periods)
	c.low, c.high = last.after, last.by
	c.origin = midpoint(first.after, first.by)
	c.originWidth = first.by.Sub(first.after)
	c.periodsSinceOrigin = periods
	c.widening = c.periodUncertainty()
	c.changes = nil
}

// refinePeriod recomputes the period from the origin and the current bounds if that
// makes it more precise.
func (c *changePredictor) refinePeriod() {
	if c.periodsSinceOrigin <= 0 {
		return
	}
	widening := c.periodUncertainty()
	if widening >= c.widening {
		return
	}
	c.period = midpoint(c.low, c.high).Sub(c.origin) / time.Duration(c.periodsSinceOrigin)
	c.widening = widening
}

// periodUncertainty returns the uncertainty of a period computed from the origin
// and the current bounds, but at least minWidening.
func (c *changePredictor) periodUncertainty() time.Duration {
	width := (c.originWidth + c.high.Sub(c.low)) / 2
	return max(width/time.Duration(c.periodsSinceOrigin), minWidening)
}

func midpoint(a, b time.Time) time.Time { return a.Add(b.Sub(a) / 2) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
