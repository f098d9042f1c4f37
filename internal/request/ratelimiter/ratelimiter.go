// Package ratelimiter tracks the rate of requests that an upstream accepts, as the
// upstream names it in its responses.
//
// # Usage
//
//	l := ratelimiter.New(ratelimiter.Config{Scope: scope, Log: log})
//	l.Observe(ratelimiter.Response{Limit: resp.Header.Get(classifier.HeaderRateLimit), SentAt: sentAt})
//	l.Reset() // after the upstream was replaced
//
// The limit is in force from the first response that names it until a response to a later
// request does not. A value that cannot be parsed changes nothing.
package ratelimiter

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/process/logger"
)

// logLinesPerSecond limits the log lines about changes of the limit.
const logLinesPerSecond = 5

// ErrMalformed reports a limit that is not a number of requests a second.
var ErrMalformed = errors.New("malformed rate limit")

// Config lists what a Limiter depends on.
type Config struct {
	Scope tally.Scope
	Log   zerolog.Logger
}

// Response is what a response of the upstream says about the limit.
type Response struct {
	// Limit is the limit in requests a second as text; empty if the response names none.
	Limit string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Refused reports that the upstream refused the request. Such a response may name a
	// limit, but does not end one.
	Refused bool
}

// Limiter tracks the rate limit of one upstream. It is safe for concurrent use.
type Limiter struct {
	log        zerolog.Logger
	logLimiter *logger.Limiter
	limitGauge tally.Gauge // Requests a second; 0 without a limit.
	namedGauge tally.Gauge // Unix time of the last response that named a limit.

	mu        sync.Mutex // Guards the fields below.
	limited   bool
	perSecond float64
	since     time.Time // When the limit was first named.
	namedAt   time.Time // When it was last named.
}

// New returns a limiter without a limit.
func New(cfg Config) *Limiter {
	return &Limiter{
		log:        cfg.Log,
		logLimiter: logger.NewLimiter(logLinesPerSecond),
		limitGauge: cfg.Scope.Gauge("rate_limit"),
		namedGauge: cfg.Scope.Gauge("rate_limit_named_timestamp_seconds"),
	}
}

// Observe records what a response that was received now says about the limit. A response
// to a request that was sent before the limit was last named does not end the limit.
func (l *Limiter) Observe(r Response) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Limit == "" {
		if l.limited && !r.Refused && r.SentAt.After(l.namedAt) {
			l.end(now)
		}
		return
	}
	perSecond, err := Parse(r.Limit)
	if err != nil {
		l.logLimiter.Limit(l.log.Warn()).Err(err).Msg("Upstream named a malformed rate limit.")
		return
	}
	l.name(perSecond, now)
}

// Reset ends the limit, for use after the upstream was replaced.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited {
		l.end(time.Now())
	}
}

// name records a response that names a limit. The mutex must be held.
func (l *Limiter) name(perSecond float64, now time.Time) {
	if !l.limited {
		l.since = now
	}
	if !l.limited || l.perSecond != perSecond {
		l.logLimiter.Limit(l.log.Info()).Float64("per-second", perSecond).Float64("per-second-before", l.perSecond).
			Msg("Upstream named a rate limit.")
	}
	l.limited = true
	l.perSecond = perSecond
	l.namedAt = now
	l.limitGauge.Update(perSecond)
	l.namedGauge.Update(float64(now.Unix()))
}

// end ends the limit. The mutex must be held.
func (l *Limiter) end(now time.Time) {
	l.logLimiter.Limit(l.log.Info()).Float64("per-second-before", l.perSecond).
		Dur("after-ms", now.Sub(l.since)).Msg("Upstream's rate limit ended.")
	l.limited = false
	l.perSecond = 0
	l.limitGauge.Update(0)
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
