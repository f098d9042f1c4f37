package emulator

import (
	"sync"
	"time"
)

// gaugeSample is the value of a gauge from a point in time on.
type gaugeSample struct {
	at    time.Time
	value int64
}

// laggedGauge returns the value that it had a fixed time ago.
type laggedGauge struct {
	lag     time.Duration
	mu      sync.Mutex
	samples []gaugeSample // Ordered by time; the first holds the returned value.
}

func (g *laggedGauge) set(now time.Time, value int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples = append(g.samples, gaugeSample{at: now, value: value})
	g.trim(now)
}

func (g *laggedGauge) get(now time.Time) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trim(now)
	if len(g.samples) == 0 || g.samples[0].at.After(now.Add(-g.lag)) {
		return 0
	}
	return g.samples[0].value
}

// trim drops the samples that a later one had replaced lag ago.
func (g *laggedGauge) trim(now time.Time) {
	cutoff := now.Add(-g.lag)
	for len(g.samples) > 1 && !g.samples[1].at.After(cutoff) {
		g.samples = g.samples[1:]
	}
}
