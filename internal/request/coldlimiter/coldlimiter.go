// Package coldlimiter limits the rate of requests to an upstream while it is cold, or may be.
//
// # Usage
//
//	l := coldlimiter.New(coldlimiter.Config{Stating: true, Scope: scope, Log: log})
//	l.Configure(spec.ColdRate, spec.ColdStart)
//	l.ObserveHeartbeat(remaining)                            // for each heartbeat
//	l.ObserveResponse(coldlimiter.Response{SentAt: sentAt})  // for each read of its health
//	l.Doubt(coldlimiter.CauseBrokenConnection)               // it may have restarted
//	<-l.Requests()                                           // read its health now
//	if wait := l.Wait(1, time.Now()); wait == 0 {
//		l.Take(time.Now())
//		// Send the request.
//	}
//
// A cold upstream has just started and can serve only a few requests a second until it has warmed
// up. It may become cold again without announcing it, so that it counts as warm only for a short
// time after it said so. When it may have restarted, it is in doubt, and counts as cold until it
// says otherwise. What it says is requested when it comes into doubt, and now and then while
// requests are sent.
//
// The node beside an upstream sends all requests to it, so that one limiter there holds the
// rate for all nodes together. See docs/design/cold-upstreams.md.
package coldlimiter

import (
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// statementMaxAge is how long the upstream counts as warm after it last said so. It is
	// longer than the time between two heartbeats.
	statementMaxAge = 2 * time.Second
	// refreshAge is the age of the last response about its cold start at which another is
	// requested if requests are sent, so that the window holds for an upstream that turned cold
	// unannounced.
	refreshAge = 300 * time.Millisecond
	// heartbeatMaxDelay is the time that a heartbeat may spend on its way, for instance while
	// this process is paused.
	heartbeatMaxDelay = 3 * time.Second
	// window is the time in which the upstream must not get more than the rate and the burst.
	window = time.Second
	// minDoubt is how long a doubt is expected to last at first: for a read of the upstream's health.
	minDoubt = 50 * time.Millisecond
	// transferMargin is the time that a request may take from its start to the upstream.
	transferMargin = 50 * time.Millisecond
	// logLinesPerSecond limits the log lines about cold periods.
	logLinesPerSecond = 5
)

// Cause is why an upstream counts as cold.
type Cause string

const (
	// CauseNodeStarted means that this process has started and the upstream has said nothing since.
	CauseNodeStarted Cause = "node-started"
	// CauseReplaced means that another incarnation of the upstream has started.
	CauseReplaced Cause = "replaced"
	// CauseBrokenConnection means that a connection was refused, or reset during a request.
	CauseBrokenConnection Cause = "broken-connection"
	// CauseReturned means that the evacuation of the upstream's failure domain has ended.
	CauseReturned Cause = "returned"
	// CauseNoStatement means that the upstream has said nothing for too long, or that this
	// process was paused.
	CauseNoStatement Cause = "no-statement"
	// CauseStated means that the upstream says so.
	CauseStated Cause = "stated"
)

// Config lists what a Limiter depends on.
type Config struct {
	// Stating reports whether the upstream regularly says for how long it is cold. Otherwise
	// a doubt ends after the time of a cold start.
	Stating bool
	Scope   tally.Scope
	Log     zerolog.Logger
}

// Response is what a response of the upstream says about its cold start.
type Response struct {
	// Remaining is the remaining time of the cold start; 0 for none.
	Remaining time.Duration
	// Implied reports that the response names no time. It then ends a doubt, but no cold
	// start whose length the upstream has stated.
	Implied bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Limiter enforces the cold rate of one upstream. It is safe for concurrent use.
type Limiter struct {
	cfg        Config
	logLimiter *logger.Limiter
	rateGauge  tally.Gauge // Requests a second; 0 without a limit.
	periods    tally.Counter
	requests   chan struct{}

	mu        sync.Mutex // Guards the fields below.
	perSecond float64    // 0 if the service has no cold rate.
	coldStart time.Duration
	state     coldState
	starts    recentStarts
	bucket    bucket
	limited   bool // Whether the limit is in force.
	limitedAt time.Time
	// requestedAt is when the last statement was requested.
	requestedAt time.Time
	logged      Cause // Of the last line that the limit began.
}

// New returns a limiter without a rate, whose upstream is in doubt.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:        cfg,
		logLimiter: logger.NewLimiter(logLinesPerSecond),
		rateGauge:  cfg.Scope.Gauge("cold_rate_limit"),
		periods:    cfg.Scope.Counter("cold_periods"),
		requests:   make(chan struct{}, 1),
		state:      coldState{cause: CauseNodeStarted, doubtSince: time.Now()},
	}
}

// Configure sets the requests a second that a cold upstream can serve, 0 for no limit, and the
// length of a cold start.
func (l *Limiter) Configure(perSecond float64, coldStart time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if perSecond == l.perSecond && coldStart == l.coldStart {
		return
	}
	now := time.Now()
	l.perSecond, l.coldStart = perSecond, coldStart
	l.bucket.setRate(perSecond, now)
	if l.limited {
		l.rateGauge.Update(perSecond)
	}
	l.update(now)
	if l.state.inDoubt() {
		l.requestStatement(now)
	}
}

// Doubt records that the upstream may have restarted until now, so that only what it says later
// shows that it is warm.
func (l *Limiter) Doubt(cause Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.state.doubt(cause, now)
	l.update(now)
	l.requestStatement(now)
}

// Replace records that another incarnation of the upstream has started. What the previous one
// was sent does not count for it.
func (l *Limiter) Replace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.state = coldState{}
	l.state.doubt(CauseReplaced, now)
	l.starts = recentStarts{}
	l.update(now)
	l.requestStatement(now)
}

// Requests returns the channel that receives when the upstream's health should be read. While
// InDoubt, it should be read again if that fails.
func (l *Limiter) Requests() <-chan struct{} { return l.requests }

// InDoubt reports whether the service has a cold rate and only a statement of the upstream can
// show that it is warm.
func (l *Limiter) InDoubt() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(time.Now())
	return l.perSecond > 0 && l.state.inDoubt()
}

// ObserveHeartbeat records the remaining time of the cold start by a heartbeat that was received
// now. It may have been sent seconds ago.
func (l *Limiter) ObserveHeartbeat(remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.update(now) // First: a pause that has just ended is a doubt.
	l.state.observeHeartbeat(remaining, now)
	l.update(now)
}

// ObserveResponse records what a response that was received now says.
func (l *Limiter) ObserveResponse(r Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.update(now)
	l.state.observeResponse(r, now)
	l.update(now)
}

// Report returns the limit for the load report of the upstream.
func (l *Limiter) Report(now time.Time) sampler.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = present(now)
	l.update(now)
	if !l.limited {
		return sampler.RateLimit{}
	}
	return sampler.RateLimit{
		PerSecond: l.perSecond,
		Age:       now.Sub(l.limitedAt),
		Left:      int(max(l.bucket.tokensAt(now)+tokenTolerance, 0)),
		Wait:      l.wait(1, now),
	}
}

// Take records that a request starts.
func (l *Limiter) Take(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = present(now)
	if l.perSecond == 0 {
		return
	}
	l.starts.add(now)
	if l.limited {
		l.bucket.take(now)
	}
	if l.cfg.Stating && now.Sub(l.state.respondedAt) > refreshAge && now.Sub(l.requestedAt) > refreshAge {
		l.requestStatement(now)
	}
}

// Wait returns the time until n requests may start, or 0 if they may start now.
func (l *Limiter) Wait(n int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = present(now)
	l.update(now)
	if !l.limited {
		return 0
	}
	return l.wait(n, now)
}

// wait returns the time until n requests may start. The rate tells it only if the upstream is known
// to be cold: the limit of one in doubt most likely ends with the doubt. The mutex must be held.
func (l *Limiter) wait(n int, now time.Time) time.Duration {
	wait := l.bucket.wait(n, now)
	if l.cfg.Stating && l.state.inDoubt() && !now.Before(l.state.coldUntil) {
		wait = min(wait, l.state.expectedDoubt(now))
	}
	return wait
}

// Status returns the status at now.
func (l *Limiter) Status(now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	if !l.limited {
		return Status{}
	}
	return Status{Cold: true, Cause: l.state.cause, Remaining: max(l.state.coldUntil.Sub(now), 0)}
}

// update applies the passage of time to the state, and begins or ends the limit. The mutex
// must be held.
func (l *Limiter) update(now time.Time) {
	if l.perSecond == 0 {
		if l.limited {
			l.end(now)
		}
		return
	}
	if l.cfg.Stating && l.state.expired(now) {
		l.state.doubt(CauseNoStatement, now)
		l.requestStatement(now)
	}
	if !l.cfg.Stating {
		l.state.endDoubtAfter(l.coldStart, now)
	}
	cold := l.state.cold(now)
	switch {
	case cold && !l.limited:
		l.begin(now)
	case cold && l.state.cause != l.logged:
		l.logBegin(now)
	case !cold && l.limited:
		l.end(now)
	}
}

// begin begins the limit. Requests that were sent just before count. The mutex must be held.
func (l *Limiter) begin(now time.Time) {
	l.limited = true
	l.limitedAt = now
	since := now.Add(-window)
	if warmAt := l.state.warmAt.Add(-transferMargin); warmAt.After(since) {
		since = warmAt
	}
	started := float64(l.starts.since(since))
	if l.state.cause == CauseNodeStarted {
		started = l.bucket.burst() // What a previous process sent is unknown.
	}
	l.bucket.reset(started, now)
	l.rateGauge.Update(l.perSecond)
	l.periods.Inc(1)
	l.logBegin(now)
}

// logBegin logs why the limit is in force. The mutex must be held.
func (l *Limiter) logBegin(now time.Time) {
	l.logged = l.state.cause
	l.logEvent().Str("cause", string(l.state.cause)).Float64("per-second", l.perSecond).
		Float64("left", math.Floor(l.bucket.tokens)).
		Dur("remaining-ms", max(l.state.coldUntil.Sub(now), 0)).Msg("Upstream counts as cold.")
}

// end ends the limit. The mutex must be held.
func (l *Limiter) end(now time.Time) {
	l.limited = false
	l.rateGauge.Update(0)
	l.logEvent().Str("cause", string(l.state.cause)).Dur("after-ms", now.Sub(l.limitedAt)).Msg("Upstream counts as warm.")
}

// logEvent returns the event of a log line. An upstream that was idle is in doubt until its
// next read of health, which needs no log line by default.
func (l *Limiter) logEvent() *zerolog.Event {
	if l.state.cause == CauseNoStatement {
		return l.cfg.Log.Debug()
	}
	return l.logLimiter.Limit(l.cfg.Log.Info())
}

// present returns the present time. The caller may have been paused since it read the clock.
func present(now time.Time) time.Time {
	if t := time.Now(); t.After(now) {
		return t
	}
	return now
}

// requestStatement requests a read of the upstream's health if the service has a cold rate. The
// mutex must be held.
func (l *Limiter) requestStatement(now time.Time) {
	if l.perSecond == 0 {
		return
	}
	l.requestedAt = now
	select {
	case l.requests <- struct{}{}:
	default: // A signal is pending.
	}
}
