package gauger

import "time"

const (
	// learnedChanges is how many changes of speed must be seen before a period
	// is believed, and learnedPeriods over how many periods.
	learnedChanges = 6
	learnedPeriods = 6
	// maxLearned is how many changes are looked at to find a period.
	maxLearned = 8
	// minPeriod is the shortest period that is followed: below that a report is
	// old before it can be acted on.
	minPeriod = 40 * time.Millisecond
	// periodStep is how finely periods are tried.
	periodStep = time.Millisecond
	// maxMisses is how many changes outside their time end the belief in a period.
	maxMisses = 4
	// sharpWidth is how exactly the time of the next change is to be known, and
	// boundReads how often at most a report is made between the bounds where it
	// is not.
	sharpWidth = 4 * time.Millisecond
	boundReads = 4
	// minDrift is by how much the bounds of the next change move apart with each
	// period, so that they are measured again now and then.
	minDrift = 100 * time.Microsecond
)

// change is a change of speed that was seen: it lies between two reports.
type change struct{ after, by time.Time }

// cadence finds out when the speed of an upstream changes. Neighbors on a
// machine are scheduled in slices, so that the changes lie on a grid. It answers
// load that shifts between two reports: one that comes right after each point of
// the grid holds until the next.
type cadence struct {
	seen   []change
	period time.Duration // 0 while it is not known.
	// low and high bound one point of the grid.
	low, high time.Time
	// drift is by how much the bounds move apart with each period.
	drift time.Duration
	// origin is an early point of the grid, known to within originWidth, and
	// periods the number of periods since.
	origin      time.Time
	originWidth time.Duration
	periods     int
	misses      int
}

// known reports whether the grid is known.
func (c *cadence) known() bool { return c.period > 0 }

// observe takes in a change of speed between two reports.
func (c *cadence) observe(seen change) {
	if !c.known() {
		c.learn(seen)
		return
	}
	c.advance(seen.by.Add(-c.period / 2))
	if !c.known() || seen.after.Before(c.high.Add(-c.period)) {
		return // There may be two points of the grid between the reports.
	}
	low, high := later(c.low, seen.after), earlier(c.high, seen.by)
	if !high.Before(low) {
		c.low, c.high = low, high
		c.misses = 0
		c.refine()
		return
	}
	c.shift(seen)
	c.misses++
	if c.misses >= maxMisses {
		*c = cadence{}
	}
}

// shift moves the bounds to a change that lies outside them: just before or
// just after.
func (c *cadence) shift(seen change) {
	if seen.after.Before(c.low) {
		c.low, c.high = later(seen.after, seen.by.Add(-sharpWidth)), seen.by
		return
	}
	c.low, c.high = seen.after, earlier(seen.by, seen.after.Add(sharpWidth))
}

// next returns the bounds of the first point of the grid whose upper bound is
// after now.
func (c *cadence) next(now time.Time) (low, high time.Time) {
	c.advance(now)
	return c.low, c.high
}

// advance moves the bounds to the first point of the grid whose upper bound is
// after t.
func (c *cadence) advance(t time.Time) {
	n := 0
	if !c.high.After(t) {
		n = int(t.Sub(c.high)/c.period) + 1
	}
	if over := c.high.Sub(t); over > c.period {
		n = -int((over - 1) / c.period)
	}
	if n == 0 {
		return
	}
	apart := time.Duration(n) * c.drift
	c.low = c.low.Add(time.Duration(n)*c.period - apart)
	c.high = c.high.Add(time.Duration(n)*c.period + apart)
	c.periods += n
	if c.high.Sub(c.low) >= c.period/2 {
		*c = cadence{} // Nothing was seen for too long.
	}
}

// nextRead returns when a report after now tells most: right after the bounds
// of the next point of the grid, and, where these are far apart, also between
// them, so that the next change moves them together.
func (c *cadence) nextRead(now time.Time) time.Time {
	low, high := c.next(now)
	width := high.Sub(low)
	if width <= sharpWidth {
		return high
	}
	for i := range boundReads {
		if at := low.Add(time.Duration(i) * width / boundReads); at.After(now) {
			return at
		}
	}
	return high
}

// learn looks for a period in the changes seen so far.
func (c *cadence) learn(seen change) {
	c.seen = append(c.seen, seen)
	if len(c.seen) > maxLearned {
		c.seen = c.seen[1:]
	}
	if len(c.seen) < learnedChanges {
		return
	}
	shortest, width := c.gap(0), seen.by.Sub(seen.after)
	for i := range c.seen[1:] {
		shortest = min(shortest, c.gap(i))
		width = max(width, c.seen[i].by.Sub(c.seen[i].after))
	}
	if shortest < minPeriod {
		return
	}
	best, least := time.Duration(0), width
	for period := shortest - width; period <= shortest+width; period += periodStep {
		if stray := c.stray(period); period >= minPeriod && stray < least {
			best, least = period, stray
		}
	}
	if best == 0 {
		return
	}
	total := 0
	for i := range c.seen[1:] {
		total += whole(c.gap(i), best)
	}
	if total >= learnedPeriods {
		c.start(total)
	}
}

// stray returns by how much the gaps between the changes seen differ from whole
// periods, at most.
func (c *cadence) stray(period time.Duration) time.Duration {
	most := time.Duration(0)
	for i := range c.seen[1:] {
		gap := c.gap(i)
		most = max(most, (gap - time.Duration(whole(gap, period))*period).Abs())
	}
	return most
}

// whole returns how many periods a gap spans.
func whole(gap, period time.Duration) int { return int((gap + period/2) / period) }

// gap returns the time between two changes that follow each other.
func (c *cadence) gap(i int) time.Duration { return c.seen[i+1].by.Sub(c.seen[i].by) }

// start believes in a grid of which the changes seen span so many periods.
func (c *cadence) start(periods int) {
	first, last := c.seen[0], c.seen[len(c.seen)-1]
	c.period = last.by.Sub(first.by) / time.Duration(periods)
	c.low, c.high = last.after, last.by
	c.origin = middle(first.after, first.by)
	c.originWidth = first.by.Sub(first.after)
	c.periods = periods
	c.drift = c.uncertainty()
	c.seen = nil
}

// refine corrects the period by the bounds as they are now, if that makes it
// more exact.
func (c *cadence) refine() {
	if c.periods <= 0 {
		return
	}
	drift := c.uncertainty()
	if drift >= c.drift {
		return
	}
	c.period = middle(c.low, c.high).Sub(c.origin) / time.Duration(c.periods)
	c.drift = drift
}

// uncertainty returns how exactly the origin and the bounds give the period.
func (c *cadence) uncertainty() time.Duration {
	width := (c.originWidth + c.high.Sub(c.low)) / 2
	return max(width/time.Duration(c.periods), minDrift)
}

func middle(a, b time.Time) time.Time { return a.Add(b.Sub(a) / 2) }

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
