package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
)

// executionReport is the JSON response of the executions endpoint.
type executionReport struct {
	Total    int            `json:"total"`
	Distinct int            `json:"distinct"`
	Repeated map[string]int `json:"repeated"`
	// OverLimit is the number of requests that arrived beyond the rate limit; see
	// limitMonitor.
	OverLimit int `json:"over-limit,omitempty"`
	// OverCold is the number of requests beyond what a cold upstream bears; see coldMonitor.
	OverCold int `json:"over-cold,omitempty"`
	// Crashes is the number of requests that would each have crashed the upstream alone.
	Crashes int `json:"crashes,omitempty"`
}

// loadReport is the JSON response of the load endpoint.
type loadReport struct {
	InFlight int64 `json:"in-flight"`
	Slots    int   `json:"slots"`
}

// executionCounter counts executions by request id.
type executionCounter struct {
	mu      sync.Mutex
	total   int
	crashes int
	byID    map[string]int
}

func newExecutionCounter() *executionCounter {
	return &executionCounter{byID: make(map[string]int)}
}

func (c *executionCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	c.byID[id]++
}

// addCrash counts a request that crashes the upstream.
func (c *executionCounter) addCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
}

func (c *executionCounter) report() executionReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := executionReport{Total: c.total, Distinct: len(c.byID), Crashes: c.crashes, Repeated: make(map[string]int)}
	for id, n := range c.byID {
		if n > 1 {
			r.Repeated[id] = n
		}
	}
	return r
}

// countsOf returns the number of executions of each of the ids. Ids that were
// never executed are left out.
func (c *executionCounter) countsOf(ids []string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, id := range ids {
		if n := c.byID[id]; n > 0 {
			counts[id] = n
		}
	}
	return counts
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // Fails only if the client disconnected.
}
