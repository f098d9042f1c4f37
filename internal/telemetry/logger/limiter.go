package logger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limiter is a token bucket that limits the lines of one kind. It is safe for concurrent
// use.
type Limiter struct {
	perSecond float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// NewLimiter returns a limiter of perSecond lines per second, with bursts of as many.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: float64(perSecond), tokens: float64(perSecond), refilledAt: time.Now()}
}

// Limit returns e if the rate limit allows it, otherwise an event that writes nothing. The
// next line has the number of dropped lines as a field.
func (l *Limiter) Limit(e *zerolog.Event) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+l.perSecond*now.Sub(l.refilledAt).Seconds(), l.perSecond)
	l.refilledAt = now
	if l.tokens < 1 {
		l.dropped++
		return e.Discard()
	}
	l.tokens--
	if l.dropped > 0 {
		e = e.Int(droppedField, l.dropped)
		l.dropped = 0
	}
	return e
}
