package logger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Budget bounds the lines of one kind within any second. It is safe for
// concurrent use.
type Budget struct {
	perSecond float64

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	leftOut int
}

// NewBudget returns a budget of so many lines a second, and as many at once.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: float64(perSecond), tokens: float64(perSecond), at: time.Now()}
}

// Line returns the event if the budget allows a line, and else an event that
// writes nothing. The next line tells how many were left out.
func (b *Budget) Line(e *zerolog.Event) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+b.perSecond*now.Sub(b.at).Seconds(), b.perSecond)
	b.at = now
	if b.tokens < 1 {
		b.leftOut++
		return e.Discard()
	}
	b.tokens--
	if b.leftOut > 0 {
		e = e.Int(leftOutField, b.leftOut)
		b.leftOut = 0
	}
	return e
}
