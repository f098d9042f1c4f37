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

// NewLimiter returns a full budget of perSecond lines per second, with bursts of as many.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: float64(perSecond), tokens: float64(perSecond), refilledAt: time.Now()}
}

// Limit returns e if the budget allows a line, otherwise an event that writes nothing. The
// next line has the number of dropped lines as a field.
func (b *Limiter) Limit(e *zerolog.Event) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds(), b.perSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return e.Discard()
	}
	b.tokens--
	if b.dropped > 0 {
		e = e.Int(droppedField, b.dropped)
		b.dropped = 0
	}
	return e
}
