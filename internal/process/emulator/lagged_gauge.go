package emulator

import (
	"sync"
	"time"
)

type gaugePoint struct {
	at    time.Time
	value int64
}

// laggedGauge shows the value that it had a fixed time ago.
type laggedGauge struct {
	lag    time.Duration
	mu     sync.Mutex
	points []gaugePoint // In the order of time; the first is the value shown.
}

func (g *laggedGauge) set(now time.Time, value int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.points = append(g.points, gaugePoint{at: now, value: value})
	g.trim(now)
}

func (g *laggedGauge) get(now time.Time) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trim(now)
	if len(g.points) == 0 || g.points[0].at.After(now.Add(-g.lag)) {
		return 0
	}
	return g.points[0].value
}

// trim drops the points that a newer one has replaced by the time shown.
func (g *laggedGauge) trim(now time.Time) {
	shown := now.Add(-g.lag)
	for len(g.points) > 1 && !g.points[1].at.After(shown) {
		g.points = g.points[1:]
	}
}
