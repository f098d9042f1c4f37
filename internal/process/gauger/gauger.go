// Package gauger follows how long work takes at an upstream at this moment, as
// the upstream reports it: an upstream that shares its machine with others is
// slowed by them for fractions of a second.
//
// # Usage
//
//	g := gauger.New(gauger.Config{Read: readHealth, Busy: busy, OnHealth: admitter.Hint, ...})
//	g.Start()
//	g.Observe(report)           // with each answer that reports
//	spell := g.Spell(time.Now())
//	err := g.Stop()
//
// Reports ride on the answers of requests. Between those, while requests are
// about, the upstream's health endpoint is read: often while it is not known
// when the speed changes, and then once after each moment at which it may.
package gauger

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
)

const (
	// learnInterval is the time between two reads while it is looked for when the
	// speed changes, for no more than learnReads.
	learnInterval = 10 * time.Millisecond
	maxLearnReads = 300
	// readInterval is the time between two reads where no such moments are found.
	readInterval = 25 * time.Millisecond
	// idleInterval is how often it is looked whether requests are about.
	idleInterval = 50 * time.Millisecond
	// settleTime is how long after a change of speed it is read, and readTime how
	// long it takes until the answer is there.
	settleTime   = 500 * time.Microsecond
	readDuration = 3 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 250 * time.Millisecond
	// maxReportAge is how long a report counts.
	maxReportAge = 200 * time.Millisecond
	// assumedSlowdown is how long a slow spell lasts that began while it is not known
	// when the speed changes.
	assumedSlowdown = 150 * time.Millisecond
	// normalSlowness is the slowness of an upstream that nothing slows.
	normalSlowness = 100
)

// Report is what an upstream says of its load.
type Report struct {
	// Running and Waiting count its requests.
	Running, Waiting int
	// Slots is how many it works on at once.
	Slots int
	// SlownessPercent is how long work takes, 100 as usual; 0 if it does not say.
	SlownessPercent int
}

// Config lists what a Gauger depends on.
type Config struct {
	// Read reads the health endpoint. It returns what that says of health, and
	// the report, which may be the zero Report.
	Read func(ctx context.Context) (healthy bool, report Report, err error)
	// Busy reports whether requests are about, so that the slowness matters.
	Busy func() bool
	// OnHealth is told of each reading of health. It must not block.
	OnHealth func(healthy bool)
	// OnSpell is told when the speed may have changed. It must not block.
	OnSpell func()
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Gauger follows one upstream.
type Gauger struct {
	cfg                Config
	reads, failedReads tally.Counter
	tomb               tomb.Tomb

	mu             sync.Mutex
	predictor      changePredictor
	slowness       int
	reportedAt     time.Time // Of the last report.
	baseline       baseline
	changedAt      time.Time // When the speed was last seen to change.
	learningReads  int       // Reads made while no cadence is known.
	lastReadFailed bool      // The last read failed.
}

// New returns a gauger that has not started.
func New(cfg Config) *Gauger {
	return &Gauger{
		cfg:         cfg,
		reads:       cfg.Scope.Counter("health_reads"),
		failedReads: cfg.Scope.Counter("health_reads_failed"),
	}
}

// Start begins to read.
func (g *Gauger) Start() { g.tomb.Go(g.run) }

// Stop ends the reads.
func (g *Gauger) Stop() error {
	g.tomb.Kill(nil)
	return g.tomb.Wait()
}

// Observe takes in a report that arrived now.
func (g *Gauger) Observe(r Report) { g.observe(r, time.Now()) }

// Forget drops what is known: another upstream has taken the place.
func (g *Gauger) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.predictor = changePredictor{}
	g.baseline = baseline{}
	g.slowness = 0
	g.reportedAt = time.Time{}
	g.learningReads = 0
}

// Spell returns how fast the upstream works now. It works as usual if its last
// report is old.
func (g *Gauger) Spell(now time.Time) sampler.Spell {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slowness == 0 || now.Sub(g.reportedAt) > maxReportAge+g.predictor.period {
		return sampler.Spell{SlownessPercent: normalSlowness}
	}
	slowdown := sampler.Spell{SlownessPercent: g.slowness, AfterPercent: g.baseline.percent()}
	if g.slowness <= slowdown.AfterPercent {
		return slowdown
	}
	if !g.predictor.known() {
		slowdown.Ends = later(g.changedAt.Add(assumedSlowdown), now.Add(readInterval))
		return slowdown
	}
	low, high := g.predictor.nextBounds(now)
	slowdown.Ends = high.Add(settleTime + readDuration)
	if g.reportedAt.Before(low.Add(-g.predictor.period)) {
		slowdown.Ends = now.Add(readDuration) // The report of this spell is on its way.
	}
	return slowdown
}

// observe takes in a report made between asked and now.
func (g *Gauger) observe(r Report, requestedAt time.Time) {
	if r.SlownessPercent <= 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	wasKnown := g.predictor.known()
	changed := g.slowness != 0 && g.slowness != r.SlownessPercent
	if changed && now.Sub(g.reportedAt) <= maxReportAge {
		g.predictor.observe(speedChange{after: g.reportedAt, by: now})
	}
	period := g.predictor.period
	if changed {
		g.changedAt = now
	}
	g.baseline.observe(r.SlownessPercent, now)
	g.slowness = r.SlownessPercent
	g.reportedAt = requestedAt
	g.mu.Unlock()
	g.logPeriodChange(wasKnown, period)
	if changed {
		g.cfg.OnSpell()
	}
}

// logPeriodChange logs when it gets known how often the speed changes, and when that
// turns out to be wrong.
func (g *Gauger) logPeriodChange(wasKnown bool, period time.Duration) {
	switch {
	case !wasKnown && period > 0:
		g.cfg.Log.Info().Dur("period-ms", period).Msg("The upstream's speed changes at regular times.")
	case wasKnown && period == 0:
		g.cfg.Log.Info().Msg("The upstream's speed changes at other times than expected.")
	}
}

func (g *Gauger) run() error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-timer.C:
			if g.cfg.Busy() && g.readNeeded(time.Now()) {
				g.read()
				g.cfg.OnSpell()
			}
			timer.Reset(g.nextRead(time.Now()))
		}
	}
}

// readNeeded reports whether the last report is older than a read would be.
func (g *Gauger) readNeeded(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.predictor.known() {
		low, high := g.predictor.nextBounds(now)
		precise := high.Sub(low) <= preciseWidth
		return !precise || g.reportedAt.Before(high.Add(-g.predictor.period))
	}
	return now.Sub(g.reportedAt) >= learnInterval/2
}

// nextRead returns in how long the endpoint is to be read again.
func (g *Gauger) nextRead(now time.Time) time.Duration {
	if !g.cfg.Busy() {
		return idleInterval
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.predictor.known() {
		g.learningReads++
		if g.learningReads > maxLearnReads {
			return readInterval
		}
		return learnInterval
	}
	g.learningReads = max(g.learningReads-1, 0)
	return g.predictor.nextReadTime(now).Add(settleTime).Sub(now)
}

// Identify reads the endpoint once, whether requests are about or not.
func (g *Gauger) Identify() { g.read() }

func (g *Gauger) read() {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	g.reads.Inc(1)
	requestedAt := time.Now()
	healthy, report, err := g.cfg.Read(ctx)
	g.logReadStateChange(err)
	if err != nil {
		g.failedReads.Inc(1)
		return
	}
	g.cfg.OnHealth(healthy)
	g.observe(report, requestedAt)
}

// logReadStateChange logs when reads begin to fail and when they succeed again.
func (g *Gauger) logReadStateChange(err error) {
	failing := err != nil
	g.mu.Lock()
	changed := failing != g.lastReadFailed
	g.lastReadFailed = failing
	g.mu.Unlock()
	if !changed {
		return
	}
	if failing {
		g.cfg.Log.Warn().Err(err).Msg("The health endpoint does not answer.")
		return
	}
	g.cfg.Log.Info().Msg("The health endpoint answers again.")
}
