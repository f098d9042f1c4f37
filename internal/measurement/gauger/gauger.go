// Package gauger tracks the current slowness of an upstream, as the upstream reports
// it. Neighbors, which are processes on the same machine, slow an upstream for
// fractions of a second.
//
// # Usage
//
//	g := gauger.New(gauger.Config{Read: readHealth, Busy: busy, OnHealth: admitter.ObserveHealth, ...})
//	g.Start()
//	g.Observe(report)           // for each response that carries a report
//	slowdown := g.Slowdown(time.Now())
//	err := g.Stop()
//
// Responses to requests carry reports. In between, the gauger reads the upstream's
// health endpoint while the upstream is in use: frequently until it has detected the
// period of speed changes, and then once after each change point, which is a time at
// which the speed may change.
package gauger

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

const (
	// detectionInterval is the time between two checks whether to read the endpoint
	// while the period of speed changes is unknown, for at most maxDetectionChecks
	// checks.
	detectionInterval  = 10 * time.Millisecond
	maxDetectionChecks = 300
	// readInterval is the time between two checks if no period was detected by then.
	readInterval = 25 * time.Millisecond
	// idleInterval is the time between two checks whether the upstream is in use, while
	// it is not.
	idleInterval = 50 * time.Millisecond
	// settleTime is the delay from an expected change of speed to the read, and
	// readDuration the time that a read is assumed to take.
	settleTime   = 500 * time.Microsecond
	readDuration = 3 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 250 * time.Millisecond
	// maxReportAge is how long a report is valid while no period is known. Once one is
	// known, a report is valid for one period longer. A change between reports that
	// are farther apart than maxReportAge is not used to detect or refine the period.
	maxReportAge = 200 * time.Millisecond
	// assumedSlowdownDuration is the duration assumed for a slowdown while no period is
	// known.
	assumedSlowdownDuration = 150 * time.Millisecond
	// normalSlownessPercent is the slowness of an upstream at full speed, in percent.
	normalSlownessPercent = 100
)

// Report is the load that an upstream reports.
type Report struct {
	// Running and Waiting are the numbers of requests that run and that wait.
	Running, Waiting int
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// SlownessPercent is the current duration of work in percent of its duration at
	// full speed; 0 if not reported.
	SlownessPercent int
}

// Config lists the dependencies of a Gauger.
type Config struct {
	// Read reads the health endpoint. It returns whether the upstream is healthy, and
	// its report, which is the zero Report if there is none.
	Read func(ctx context.Context) (healthy bool, report Report, err error)
	// Busy reports whether the upstream is in use, so that its slowness matters.
	Busy func() bool
	// OnHealth is called with the health that each successful read returned. It must
	// not block.
	OnHealth func(healthy bool)
	// OnSpeedChange is called when the speed may have changed. It must not block.
	OnSpeedChange func()
	Log           zerolog.Logger
	Scope         tally.Scope
}

// Gauger tracks the slowness of one upstream. It is safe for concurrent use.
type Gauger struct {
	cfg                Config
	reads, failedReads tally.Counter
	tomb               tomb.Tomb

	mu              sync.Mutex // Guards the fields below.
	predictor       changePredictor
	slownessPercent int
	reportedAt      time.Time // Of the last report; for a read, when it began.
	baseline        baseline
	changedAt       time.Time // Of the last observed change of speed.
	detectionChecks int       // Checks while no period was known, minus those since, but at least 0.
	lastReadFailed  bool
}

// New returns a gauger, which does not read the endpoint before Start.
func New(cfg Config) *Gauger {
	return &Gauger{
		cfg:         cfg,
		reads:       cfg.Scope.Counter("health_reads"),
		failedReads: cfg.Scope.Counter("health_reads_failed"),
	}
}

// Start starts the reads in the background.
func (g *Gauger) Start() { g.tomb.Go(g.run) }

// Stop stops the reads and waits for the last one.
func (g *Gauger) Stop() error {
	g.tomb.Kill(nil)
	return g.tomb.Wait()
}

// Observe records a report received now.
func (g *Gauger) Observe(r Report) { g.observe(r, time.Now()) }

// Reset discards the reported slowness and the detected period, for use after the
// upstream was replaced.
func (g *Gauger) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.predictor = changePredictor{}
	g.baseline = baseline{}
	g.slownessPercent = 0
	g.reportedAt = time.Time{}
	g.detectionChecks = 0
}

// Slowdown returns the current slowdown of the upstream. The upstream counts as
// running at full speed if its last report is too old.
func (g *Gauger) Slowdown(now time.Time) sampler.Slowdown {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slownessPercent == 0 || now.Sub(g.reportedAt) > maxReportAge+g.predictor.period {
		return sampler.Slowdown{SlownessPercent: normalSlownessPercent}
	}
	slowdown := sampler.Slowdown{SlownessPercent: g.slownessPercent, SlownessAfterPercent: g.baseline.percent()}
	if g.slownessPercent <= slowdown.SlownessAfterPercent {
		return slowdown
	}
	if !g.predictor.known() {
		slowdown.End = later(g.changedAt.Add(assumedSlowdownDuration), now.Add(readInterval))
		return slowdown
	}
	low, high := g.predictor.nextBounds(now)
	slowdown.End = high.Add(settleTime + readDuration)
	if g.reportedAt.Before(low.Add(-g.predictor.period)) {
		slowdown.End = now.Add(readDuration) // The read after the last change point is pending.
	}
	return slowdown
}

// observe records a report that was made between requestedAt and now.
func (g *Gauger) observe(r Report, requestedAt time.Time) {
	if r.SlownessPercent <= 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	wasKnown := g.predictor.known()
	changed := g.slownessPercent != 0 && g.slownessPercent != r.SlownessPercent
	if changed && now.Sub(g.reportedAt) <= maxReportAge {
		g.predictor.observe(speedChange{after: g.reportedAt, by: now})
	}
	period := g.predictor.period
	if changed {
		g.changedAt = now
	}
	g.baseline.observe(r.SlownessPercent, now)
	g.slownessPercent = r.SlownessPercent
	g.reportedAt = requestedAt
	g.mu.Unlock()
	g.logPeriodChange(wasKnown, period)
	if changed {
		g.cfg.OnSpeedChange()
	}
}

// logPeriodChange logs when a report leads to the detection of a period of speed
// changes, or to its discard.
func (g *Gauger) logPeriodChange(wasKnown bool, period time.Duration) {
	switch {
	case !wasKnown && period > 0:
		g.cfg.Log.Info().Dur("period-ms", period).Msg("Upstream speed changes periodically.")
	case wasKnown && period == 0:
		g.cfg.Log.Info().Msg("Upstream speed changes do not match the detected period.")
	}
}

// run reads the endpoint whenever a report is needed, until the gauger is stopped.
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
				g.cfg.OnSpeedChange()
			}
			timer.Reset(g.nextCheckDelay(time.Now()))
		}
	}
}

// readNeeded reports whether to read the endpoint now. While the period is known, a
// read is needed if the last report was made before the last change point, or if the
// next change point is not precisely known. While the period is unknown, a read is
// needed if the last report is at least half of detectionInterval old.
func (g *Gauger) readNeeded(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.predictor.known() {
		low, high := g.predictor.nextBounds(now)
		precise := high.Sub(low) <= preciseWidth
		return !precise || g.reportedAt.Before(high.Add(-g.predictor.period))
	}
	return now.Sub(g.reportedAt) >= detectionInterval/2
}

// nextCheckDelay returns the time until the next check whether to read the endpoint. It
// counts the checks while the period is unknown, to limit their rate.
func (g *Gauger) nextCheckDelay(now time.Time) time.Duration {
	if !g.cfg.Busy() {
		return idleInterval
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.predictor.known() {
		g.detectionChecks++
		if g.detectionChecks > maxDetectionChecks {
			return readInterval
		}
		return detectionInterval
	}
	g.detectionChecks = max(g.detectionChecks-1, 0)
	return g.predictor.nextReadTime(now).Add(settleTime).Sub(now)
}

// ReadOnce reads the endpoint once, even if the upstream is not in use. It is meant for
// callers whose Read function also records other content of the response, such as the
// identity of the upstream.
func (g *Gauger) ReadOnce() { g.read() }

// read reads the endpoint and records its health and report.
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

// logReadStateChange logs when reads start to fail and when they succeed again.
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
		g.cfg.Log.Warn().Err(err).Msg("Reading the health endpoint failed.")
		return
	}
	g.cfg.Log.Info().Msg("Reading the health endpoint succeeds again.")
}
