package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
)

// executionReport is the JSON form of what an emulator ran.
type executionReport struct {
	Total    int            `json:"total"`
	Distinct int            `json:"distinct"`
	Repeated map[string]int `json:"repeated"`
}

// loadReport is the JSON form of the load endpoint.
type loadReport struct {
	InFlight int64 `json:"in-flight"`
	Slots    int   `json:"slots"`
}

// executionCounter counts executions by request id.
type executionCounter struct {
	mu    sync.Mutex
	total int
	byID  map[string]int
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

func (c *executionCounter) report() executionReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := executionReport{Total: c.total, Distinct: len(c.byID), Repeated: make(map[string]int)}
	for id, n := range c.byID {
		if n > 1 {
			r.Repeated[id] = n
		}
	}
	return r
}

// of returns how often each of the ids ran, without those that never did.
func (c *executionCounter) of(ids []string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string]int)
	for _, id := range ids {
		if n := c.byID[id]; n > 0 {
			runs[id] = n
		}
	}
	return runs
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The asking side went away; there is nobody to tell.
}
