// Package crashwatcher finds out which requests were in flight when the process of the node's
// own upstream ended unplanned.
//
// # Usage
//
//	w := crashwatcher.New(crashwatcher.Config{UpstreamEnded: ended, Observer: observer, ...})
//	run := w.Start(id, fingerprinter.New(req)) // Before req is sent to the upstream.
//	...
//	run.End(crashwatcher.Broken)
//
// Only the node beside an upstream sees such an end: a connection breaks, and the address
// accepts no new one. A connection that breaks while the address accepts others is no crash. A
// request that ended without a response, such as by its deadline, may still run at the upstream,
// so it counts as in flight for a short time, and longer while the upstream responds to nothing.
package crashwatcher

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// LingerPeriod is how long a request that ended without a response counts as in flight.
	LingerPeriod = 2 * time.Second
	// silentLingerPeriod is how long it does so if the upstream has not responded to anything
	// since: it may hang until its supervisor ends it.
	silentLingerPeriod = time.Minute
	// lingerCheckDelay is the time between checks of an upstream if requests ended without a
	// response, and no other has responded since. After LingerPeriod it is silentCheckDelay.
	lingerCheckDelay = 500 * time.Millisecond
	silentCheckDelay = 5 * time.Second
	// maxReadOn is how long the rest of the body of a request in flight in a crash is read, so that
	// the request is recognized. The fleet learns of the crash only after that.
	maxReadOn = 1500 * time.Millisecond
	// maxLingering bounds the requests that are remembered for that.
	maxLingering = 64
	// logLinesPerSecond limits the log lines about requests in flight in a crash.
	logLinesPerSecond = 50
)

// CrashID identifies the end of one process of an upstream.
type CrashID uint64

// newCrashID returns the id of a crash of the upstream of an instance.
func newCrashID(instance string, now time.Time) CrashID {
	h := fnv.New64a()
	h.Write([]byte(instance)) // Never fails.
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(now.UnixNano())))
	return CrashID(h.Sum64())
}

// Crash is the unplanned end of the process of an upstream.
type Crash struct {
	ID CrashID
	// At is when it was detected.
	At time.Time
}

// Observer learns what becomes of requests at the own upstream.
type Observer interface {
	// Crashed is called for each request that was in flight in a crash.
	Crashed(c Crash, f fingerprinter.Fingerprint)
	// Survived is called for each request that the upstream has responded to.
	Survived(r *fingerprinter.Request)
}

// Config lists what a Watcher depends on.
type Config struct {
	// Instance is the id of the node's instance.
	Instance string
	// UpstreamEnded reports whether the process of the upstream has ended unplanned. It is
	// called after a connection broke, by one goroutine at a time, and may block for a short
	// time.
	UpstreamEnded func() bool
	// Observer may be nil.
	Observer Observer
	Scope    tally.Scope
	Log      zerolog.Logger
}

// Watcher follows the requests at the own upstream. It is safe for concurrent use.
type Watcher struct {
	cfg         Config
	crashes     tally.Counter
	inFlightLog *logger.Limiter

	checkMu sync.Mutex // Held while UpstreamEnded is called; guards runningSince.
	// runningSince is when the last check began that found the upstream running.
	runningSince time.Time

	mu sync.Mutex // Guards the fields below.
	// lingering lists the runs that ended without a response, the oldest first.
	lingering []lingeringRun
	// checkScheduled reports whether checkLingering will be called.
	checkScheduled bool
	respondedAt    time.Time
	last           Crash
}

// lingeringRun is a run that ended without a response at a given time.
type lingeringRun struct {
	run     *Run
	endedAt time.Time
}

// New returns a watcher of an upstream without requests.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:         cfg,
		crashes:     cfg.Scope.Counter("upstream_crashes"),
		inFlightLog: logger.NewLimiter(logLinesPerSecond),
	}
}

// Start returns the run of a request that is about to be sent to the upstream. The id is for the
// log.
func (w *Watcher) Start(id string, r *fingerprinter.Request) *Run {
	return &Run{watcher: w, request: r, id: id, startedAt: time.Now()}
}

// broken handles a run whose connection broke. If the upstream has ended, the run was in flight
// in that crash. The rest of its body may still arrive.
func (w *Watcher) broken(run *Run) {
	if crash, ok := w.crashOf(run); ok {
		run.request.ReadOn(maxReadOn)
		w.report(crash, run)
	}
}

// crashOf returns the crash in which a run was in flight whose connection broke.
func (w *Watcher) crashOf(run *Run) (Crash, bool) {
	brokenAt := time.Now()
	w.checkMu.Lock()
	defer w.checkMu.Unlock()
	if crash := w.lastCrash(); crash.At.After(run.startedAt) {
		return crash, true // The run was sent to the process that ended then.
	}
	if !w.runningSince.After(brokenAt) && w.ended() {
		return w.newCrash(), true
	}
	return Crash{}, false
}

// ended checks whether the upstream has ended. checkMu must be held.
func (w *Watcher) ended() bool {
	begin := time.Now()
	if w.cfg.UpstreamEnded() {
		return true
	}
	w.runningSince = begin
	return false
}

// unreachable handles that the upstream may have ended, such as if it accepts no connection. Runs
// that ended without a response just before were in flight then.
func (w *Watcher) unreachable() {
	w.checkMu.Lock()
	defer w.checkMu.Unlock()
	w.mu.Lock()
	w.expireLingering(time.Now())
	lingering := len(w.lingering)
	w.mu.Unlock()
	if lingering > 0 && w.ended() {
		w.newCrash()
	}
}

// responded handles a run that ended with a response.
func (w *Watcher) responded(run *Run) {
	w.mu.Lock()
	w.respondedAt = time.Now()
	w.mu.Unlock()
	if w.cfg.Observer != nil {
		w.cfg.Observer.Survived(run.request)
	}
}

func (w *Watcher) lastCrash() Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// newCrash records a crash and reports it for the runs that ended without a response just before.
func (w *Watcher) newCrash() Crash {
	now := time.Now()
	crash := Crash{ID: newCrashID(w.cfg.Instance, now), At: now}
	w.mu.Lock()
	w.last = crash
	w.expireLingering(now)
	lingering := w.lingering
	w.lingering = nil
	w.mu.Unlock()
	w.crashes.Inc(1)
	w.cfg.Log.Warn().Uint64("crash", uint64(crash.ID)).Int("ended-before", len(lingering)).Msg("Upstream ended.")
	for _, l := range lingering {
		w.report(crash, l.run)
	}
	return crash
}

// report logs that a run was in flight in a crash, and tells the observer.
func (w *Watcher) report(crash Crash, run *Run) {
	event := w.inFlightLog.Limit(w.cfg.Log.Warn()).Uint64("crash", uint64(crash.ID)).
		Str("request", run.id).Dur("ran-ms", crash.At.Sub(run.startedAt))
	f, ok := run.request.Fingerprint()
	if !ok {
		event.Msg("A request whose body had not arrived was in flight when the upstream ended.")
		return
	}
	event.Stringer("fingerprint", f).Msg("A request was in flight when the upstream ended.")
	if w.cfg.Observer != nil {
		w.cfg.Observer.Crashed(crash, f)
	}
}

// abandoned handles a run that ended without a response. If the upstream has ended since it
// started, it was in flight then; if not, it may still run.
func (w *Watcher) abandoned(run *Run) {
	if crash := w.lastCrash(); crash.At.After(run.startedAt) {
		w.report(crash, run)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.expireLingering(now)
	if len(w.lingering) >= maxLingering {
		w.lingering = slices.Delete(w.lingering, 0, 1)
	}
	w.lingering = append(w.lingering, lingeringRun{run: run, endedAt: now})
	w.scheduleCheck()
}

// scheduleCheck lets checkLingering run later. The mutex must be held, and there must be a
// lingering run.
func (w *Watcher) scheduleCheck() {
	if w.checkScheduled {
		return
	}
	w.checkScheduled = true
	delay := lingerCheckDelay
	if newest := w.lingering[len(w.lingering)-1]; time.Since(newest.endedAt) > LingerPeriod {
		delay = silentCheckDelay
	}
	time.AfterFunc(delay, w.checkLingering)
}

// checkLingering checks whether the upstream has ended under a run that ended without a response.
// Without requests after that, nothing else would tell.
func (w *Watcher) checkLingering() {
	w.mu.Lock()
	w.checkScheduled = false
	w.expireLingering(time.Now())
	if len(w.lingering) > 0 {
		w.scheduleCheck()
	}
	responding := time.Since(w.respondedAt) < lingerCheckDelay
	w.mu.Unlock()
	if !responding {
		w.unreachable()
	}
}

// expireLingering forgets the runs that count as in flight no longer.
func (w *Watcher) expireLingering(now time.Time) {
	w.lingering = slices.DeleteFunc(w.lingering, func(l lingeringRun) bool {
		period := LingerPeriod
		if l.endedAt.After(w.respondedAt) {
			period = silentLingerPeriod
		}
		return now.Sub(l.endedAt) > period
	})
}
