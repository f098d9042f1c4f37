package emulator

import (
	"sync"
	"time"
)

const (
	// coldWindow is the length of the window in which requests are counted.
	coldWindow = time.Second
	// coldSpread is the time in which it must be noticed that the upstream has turned cold
	// while it runs.
	coldSpread = 500 * time.Millisecond
	// coldTolerance multiplies what a cold upstream bears in a window, and coldSlack is the
	// number of further requests that it survives.
	coldTolerance = 1.5
	coldSlack     = 8
)

// coldMonitor counts the requests beyond what the emulated upstream bears while it is cold.
type coldMonitor struct {
	mu       sync.Mutex
	arrivals []time.Time // Within the last window.
	over     int
}

// observe records a request that arrives now, and reports whether the upstream crashes of it.
func (m *coldMonitor) observe(c coldStart, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !c.active() || now.Before(c.checkedFrom) {
		m.arrivals = nil
		return false
	}
	expired := 0
	for expired < len(m.arrivals) && now.Sub(m.arrivals[expired]) >= coldWindow {
		expired++
	}
	m.arrivals = append(m.arrivals[expired:], now)
	if float64(len(m.arrivals)) <= coldTolerance*c.perSecond*coldWindow.Seconds()+coldSlack {
		return false
	}
	m.over++
	m.arrivals = nil
	return true
}

// overBound returns the number of requests that crashed the upstream because it was cold.
func (m *coldMonitor) overBound() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.over
}
