// Package gauger follows how long work takes at an upstream at this moment, as
// the upstream reports it: an upstream that shares its machine with others is
// slowed by them for fractions of a second.
//
// # Usage
//
//	g := gauger.New(gauger.Config{Read: readHealth, Busy: busy, OnHealth: admitter.Hint, ...})
//	g.Start()
//	g.Observe(report)           // with each answer that reports
//	percent := g.Slowness(time.Now())
//	err := g.Stop()
//
// Reports ride on the answers of requests. Between those, while requests are
// about, the upstream's health endpoint is read.
package gauger

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"
)

const (
	// readInterval is the time between two reads while requests are about: a
	// third of the time for which a neighbor slows an upstream.
	readInterval = 50 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 250 * time.Millisecond
	// maxAge is how long a report counts.
	maxAge = 200 * time.Millisecond
	// usual is the slowness of an upstream that nothing slows.
	usual = 100
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
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Gauger follows one upstream.
type Gauger struct {
	cfg           Config
	reads, failed tally.Counter
	tomb          tomb.Tomb

	mu       sync.Mutex
	slowness int
	at       time.Time
	failing  bool // The last read failed.
}

// New returns a gauger that has not started.
func New(cfg Config) *Gauger {
	return &Gauger{
		cfg:    cfg,
		reads:  cfg.Scope.Counter("health_reads"),
		failed: cfg.Scope.Counter("health_reads_failed"),
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
func (g *Gauger) Observe(r Report) {
	if r.SlownessPercent <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowness = r.SlownessPercent
	g.at = time.Now()
}

// Slowness returns how long work takes now, 100 as usual. That stands also for
// an upstream whose last report is old.
func (g *Gauger) Slowness(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slowness == 0 || now.Sub(g.at) > maxAge {
		return usual
	}
	return g.slowness
}

func (g *Gauger) run() error {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case now := <-tick.C:
			if g.cfg.Busy() && g.stale(now) {
				g.read()
			}
		}
	}
}

// stale reports whether the last report is older than a read would be.
func (g *Gauger) stale(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.at) >= readInterval/2
}

// Identify reads the endpoint once, whether requests are about or not.
func (g *Gauger) Identify() { g.read() }

func (g *Gauger) read() {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	g.reads.Inc(1)
	healthy, report, err := g.cfg.Read(ctx)
	g.note(err)
	if err != nil {
		g.failed.Inc(1)
		return
	}
	g.cfg.OnHealth(healthy)
	g.Observe(report)
}

// note logs when reads begin to fail and when they succeed again.
func (g *Gauger) note(err error) {
	failing := err != nil
	g.mu.Lock()
	changed := failing != g.failing
	g.failing = failing
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
