// Package ratelimiter limits the rate of requests to an upstream to what the upstream
// advertises in its responses.
//
// # Usage
//
//	l := ratelimiter.New(ratelimiter.Config{Scope: scope, Log: log})
//	l.Observe(ratelimiter.Response{Limit: resp.Header.Get(classifier.HeaderRateLimit), SentAt: sentAt})
//	if wait := l.Wait(1, time.Now()); wait == 0 {
//		l.Take(time.Now())
//		// Send the request.
//	}
//	l.Reset() // after the upstream was replaced
//
// The node beside an upstream sends all requests to it, so that one limiter there holds the
// limit for all nodes together. See docs/design/rate-limits.md for the alternatives.
//
// The limit is in force from the first response that advertises it until a response to a later
// request does not. A value that cannot be parsed changes nothing. Requests that were not
// sent for a while are made up for only within the burst, so that a process that was
// paused does not send them at once.
package ratelimiter

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// burstPeriod is the time whose requests may be sent at once after a pause, and minBurst
	// the least number of them: one may be kept for urgent requests, and two may coincide.
	burstPeriod = 500 * time.Millisecond
	minBurst    = 3
	// minPerSecond is the least rate in requests a second that is enforced, since the end
	// of a limit is learned only from responses.
	minPerSecond = 0.1
	// tokenTolerance is the number of requests by which rounding may reduce those left.
	tokenTolerance = 1e-6
	// logLinesPerSecond limits the log lines about changes of the limit.
	logLinesPerSecond = 5
)

// ErrMalformed reports a limit that is not a number of requests a second.
var ErrMalformed = errors.New("malformed rate limit")

// Config lists what a Limiter depends on.
type Config struct {
	Scope tally.Scope
	Log   zerolog.Logger
}

// Response is what a response of the upstream says about the limit.
type Response struct {
	// Limit is the limit in requests a second as text; empty if the response advertises none.
	Limit string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Inconclusive reports that the response does not end a limit that it does not advertise:
	// the upstream refused the request, or it is one of its health endpoint.
	Inconclusive bool
}

// Limiter enforces the rate limit of one upstream. It is safe for concurrent use.
type Limiter struct {
	log             zerolog.Logger
	logLimiter      *logger.Limiter
	limitGauge      tally.Gauge // Requests a second; 0 without a limit.
	leftGauge       tally.Gauge // Requests that might start when the last one did.
	advertisedGauge tally.Gauge // Unix time of the last response that advertised a limit.

	mu           sync.Mutex    // Guards the fields below.
	bucket       *rate.Limiter // Nil if there is no limit.
	perSecond    float64       // As advertised.
	since        time.Time     // When the limit was first advertised.
	advertisedAt time.Time     // When it was last advertised; zero if only to another node.
	observed     bool          // Whether a response has told if there is a limit.
}

// New returns a limiter without a limit.
func New(cfg Config) *Limiter {
	return &Limiter{
		log:             cfg.Log,
		logLimiter:      logger.NewLimiter(logLinesPerSecond),
		limitGauge:      cfg.Scope.Gauge("rate_limit"),
		leftGauge:       cfg.Scope.Gauge("rate_limit_left"),
		advertisedGauge: cfg.Scope.Gauge("rate_limit_advertised_timestamp_seconds"),
	}
}

// Observe records what a response that was received now says about the limit. A response
// to a request that was sent before the limit was last advertised does not end the limit.
func (l *Limiter) Observe(r Response) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = l.observed || r.Limit != "" || !r.Inconclusive
	if r.Limit == "" {
		if l.bucket != nil && !r.Inconclusive && r.SentAt.After(l.advertisedAt) {
			l.end(now)
		}
		return
	}
	perSecond, err := Parse(r.Limit)
	if err != nil {
		l.logLimiter.Limit(l.log.Warn()).Err(err).Msg("Upstream advertised a malformed rate limit.")
		return
	}
	l.record(perSecond, now)
}

// Adopt records a limit that the upstream has advertised to another node. It does nothing
// once a response of the upstream has told whether there is a limit. The lowest of several
// is adopted. One request may start at once, as its response tells whether the limit is
// still in force.
func (l *Limiter) Adopt(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed || l.bucket != nil && l.perSecond <= perSecond {
		return
	}
	now := time.Now()
	l.logLimiter.Limit(l.log.Info()).Float64("per-second", perSecond).Msg("Another node knows a rate limit of the upstream.")
	first := l.bucket == nil
	l.setRate(perSecond, now)
	if first {
		l.setTokens(1, now)
	}
}

// Reset ends the limit, for use after the upstream was replaced.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = false
	if l.bucket != nil {
		l.end(time.Now())
	}
}

// Report returns the limit for the load report of the upstream.
func (l *Limiter) Report(now time.Time) sampler.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		return sampler.RateLimit{}
	}
	return sampler.RateLimit{
		PerSecond: float64(l.bucket.Limit()),
		Age:       now.Sub(l.advertisedAt),
		Left:      int(max(l.tokens(now), 0)),
		Wait:      l.wait(1, now),
	}
}

// Take records that a request starts.
func (l *Limiter) Take(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		return
	}
	l.bucket.ReserveN(now, 1)
	l.leftGauge.Update(max(l.tokens(now), 0))
}

// Wait returns the time until n requests may start, or 0 if they may start now.
func (l *Limiter) Wait(n int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(n, now)
}

// record records a response that advertises a limit. The mutex must be held.
func (l *Limiter) record(perSecond float64, now time.Time) {
	if l.bucket == nil || l.perSecond != perSecond {
		l.logLimiter.Limit(l.log.Info()).Float64("per-second", perSecond).Float64("per-second-before", l.perSecond).
			Msg("Upstream advertised a rate limit.")
		l.setRate(perSecond, now)
	}
	l.advertisedAt = now
	l.advertisedGauge.Update(float64(now.Unix()))
}

// setRate changes the limit. A new limit has nothing left at first, since requests were
// sent without it just before. The mutex must be held.
func (l *Limiter) setRate(perSecond float64, now time.Time) {
	l.perSecond = perSecond
	l.limitGauge.Update(perSecond)
	limit := rate.Limit(max(perSecond, minPerSecond))
	burst := max(int(float64(limit)*burstPeriod.Seconds()), minBurst)
	if l.bucket != nil {
		l.bucket.SetLimitAt(now, limit)
		l.bucket.SetBurstAt(now, burst)
		return
	}
	l.since = now
	l.bucket = rate.NewLimiter(limit, burst)
	l.setTokens(0, now)
}

// setTokens sets the number of requests that may start at once. The mutex must be held.
func (l *Limiter) setTokens(n int, now time.Time) {
	burst := l.bucket.Burst()
	l.bucket = rate.NewLimiter(l.bucket.Limit(), burst)
	l.bucket.AllowN(now, burst-n)
}

// end ends the limit. The mutex must be held.
func (l *Limiter) end(now time.Time) {
	l.logLimiter.Limit(l.log.Info()).Float64("per-second-before", l.perSecond).
		Dur("after-ms", now.Sub(l.since)).Msg("Upstream's rate limit ended.")
	l.bucket = nil
	l.perSecond = 0
	l.advertisedAt = time.Time{}
	l.limitGauge.Update(0)
}

// tokens returns the number of requests that may start now, with a fraction. The limit must
// be in force and the mutex held.
func (l *Limiter) tokens(now time.Time) float64 { return l.bucket.TokensAt(now) + tokenTolerance }

// wait returns the time until n requests may start. The mutex must be held.
func (l *Limiter) wait(n int, now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.tokens(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.bucket.Limit()) * float64(time.Second))
}

// Parse parses a limit in requests a second. It returns ErrMalformed for text that is not
// a finite decimal number of at least 0.
func Parse(s string) (float64, error) {
	perSecond, err := strconv.ParseFloat(s, 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return 0, errors.Wrapf(ErrMalformed, "%q", s)
	}
	return perSecond, nil
}
