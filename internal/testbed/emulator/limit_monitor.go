package emulator

import (
	"sync"
	"time"
)

const (
	// limitWindow is the length of the window in which requests are counted.
	limitWindow = 4 * time.Second
	// limitSpread is the time that a limit has to reach all nodes.
	limitSpread = 3 * time.Second
	// limitTolerance multiplies what the limit allows in a window, and limitSlack is the
	// number of further requests that are allowed.
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitMonitor counts the requests beyond the rate limit that the emulated upstream advertises.
type limitMonitor struct {
	mu       sync.Mutex
	arrivals []time.Time // Within the last window.
	over     int
}

// observe records a request that arrives now, while b is in effect.
func (m *limitMonitor) observe(b behavior, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.kind != behaviorLimit || now.Sub(b.since) < limitSpread {
		m.arrivals = nil
		return
	}
	expired := 0
	for expired < len(m.arrivals) && now.Sub(m.arrivals[expired]) >= limitWindow {
		expired++
	}
	m.arrivals = append(m.arrivals[expired:], now)
	if float64(len(m.arrivals)) > limitTolerance*b.factor*limitWindow.Seconds()+limitSlack {
		m.over++
	}
}

// overLimit returns the number of requests beyond the limit.
func (m *limitMonitor) overLimit() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.over
}
