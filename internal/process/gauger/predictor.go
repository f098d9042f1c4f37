package gauger

import "time"

const (
	// requiredChanges is how many changes of speed must be seen before a period
	// is believed, and learnedPeriods over how many periods.
	requiredChanges = 6
	requiredPeriods = 6
	// maxChanges is how many changes are looked at to find a period.
	maxChanges = 8
	// minPeriod is the shortest period that is followed: below that a report is
	// old before it can be acted on.
	minPeriod = 40 * time.Millisecond
	// periodSearchStep is how finely periods are tried.
	periodSearchStep = time.Millisecond
	// maxMispredictions is how many changes outside their time end the belief in a period.
	maxMispredictions = 4
	// preciseWidth is how exactly the time of the next change is to be known, and
	// boundReads how often at most a report is made between the bounds where it
	// is not.
	preciseWidth      = 4 * time.Millisecond
	readsWithinBounds = 4
	// minWidening is by how much the bounds of the next change move apart with each
	// period, so that they are measured again now and then.
	minWidening = 100 * time.Microsecond
)

// speedChange is a speedChange of speed that was seen: it lies between two reports.
type speedChange struct{ after, by time.Time }

// changePredictor finds out when the speed of an upstream changes. Neighbors on a
// machine are scheduled in slices, so that the changes lie on a grid. It answers
// load that shifts between two reports: one that comes right after each point of
// the grid holds until the next.
type changePredictor struct {
	changes []speedChange
	period  time.Duration // 0 while it is not known.
	// low and high bound one point of the grid.
	low, high time.Time
	// widening is by how much the bounds move apart with each period.
	widening time.Duration
	// origin is an early point of the grid, known to within originWidth, and
	// periods the number of periods since.
	origin             time.Time
	originWidth        time.Duration
	periodsSinceOrigin int
	mispredictions     int
}

// known reports whether the grid is known.
func (c *changePredictor) known() bool { return c.period > 0 }

// observe takes in a change of speed between two reports.
func (c *changePredictor) observe(observed speedChange) {
	if !c.known() {
		c.learn(observed)
		return
	}
	c.advanceTo(observed.by.Add(-c.period / 2))
	if !c.known() || observed.after.Before(c.high.Add(-c.period)) {
		return // There may be two points of the grid between the reports.
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

// moveBounds moves the bounds to a change that lies outside them: just before or
// just after.
func (c *changePredictor) moveBounds(observed speedChange) {
	if observed.after.Before(c.low) {
		c.low, c.high = later(observed.after, observed.by.Add(-preciseWidth)), observed.by
		return
	}
	c.low, c.high = observed.after, earlier(observed.by, observed.after.Add(preciseWidth))
}

// nextBounds returns the bounds of the first point of the grid whose upper bound is
// after now.
func (c *changePredictor) nextBounds(now time.Time) (low, high time.Time) {
	c.advanceTo(now)
	return c.low, c.high
}

// advanceTo moves the bounds to the first point of the grid whose upper bound is
// after t.
func (c *changePredictor) advanceTo(t time.Time) {
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
		*c = changePredictor{} // Nothing was seen for too long.
	}
}

// nextReadTime returns when a report after now tells most: right after the bounds
// of the next point of the grid, and, where these are far apart, also between
// them, so that the next change moves them together.
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

// learn looks for a period in the changes seen so far.
func (c *changePredictor) learn(observed speedChange) {
	c.changes = append(c.changes, observed)
	if len(c.changes) > maxChanges {
		c.changes = c.changes[1:]
	}
	if len(c.changes) < requiredChanges {
		return
	}
	shortest, width := c.gap(0), observed.by.Sub(observed.after)
	for i := range c.changes[1:] {
		shortest = min(shortest, c.gap(i))
		width = max(width, c.changes[i].by.Sub(c.changes[i].after))
	}
	if shortest < minPeriod {
		return
	}
	bestPeriod, smallest := time.Duration(0), width
	for period := shortest - width; period <= shortest+width; period += periodSearchStep {
		if deviation := c.maxDeviation(period); period >= minPeriod && deviation < smallest {
			bestPeriod, smallest = period, deviation
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

// maxDeviation returns by how much the gaps between the changes seen differ from whole
// periods, at most.
func (c *changePredictor) maxDeviation(period time.Duration) time.Duration {
	largest := time.Duration(0)
	for i := range c.changes[1:] {
		gap := c.gap(i)
		largest = max(largest, (gap - time.Duration(periodsIn(gap, period))*period).Abs())
	}
	return largest
}

// periodsIn returns how many periods a gap spans.
func periodsIn(gap, period time.Duration) int { return int((gap + period/2) / period) }

// gap returns the time between two changes that follow each other.
func (c *changePredictor) gap(i int) time.Duration { return c.changes[i+1].by.Sub(c.changes[i].by) }

// acceptPeriod believes in a grid of which the changes seen span so many periods.
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

// refinePeriod corrects the period by the bounds as they are now, if that makes it
// more exact.
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

// periodUncertainty returns how exactly the origin and the bounds give the period.
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
