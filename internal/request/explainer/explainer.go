// Package explainer keeps traces of recent requests for the explain command: the
// instance of each attempt, the basis of that choice, its outcome and its latency.
//
// # Usage
//
//	e := explainer.New(4096)
//	trace := explainer.NewTrace(id, method, path, time.Now())
//	trace.AddAttempt(explainer.Attempt{Instance: "vitrina-2"})
//	trace.End(time.Now(), status, outcome, reason)
//	e.Add(trace)
//	...
//	err := e.WriteJSON(w, id)
//
// Adding a trace takes no lock. A lookup scans the whole ring, since lookups are
// rare.
package explainer

import (
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrNotFound reports that the ring holds no trace of a request. Newer traces may have
// replaced it.
var ErrNotFound = errors.New("request not found")

// Explainer is a ring buffer of the latest traces. It is safe for concurrent use.
type Explainer struct {
	ring []atomic.Pointer[Trace]
	next atomic.Uint64
}

// New returns an explainer that keeps the traces of the latest size requests. The
// size must be greater than 0.
func New(size int) *Explainer {
	return &Explainer{ring: make([]atomic.Pointer[Trace], size)}
}

// Add stores the trace of a request that has ended, and replaces the oldest one if
// the ring is full. The trace must not be changed afterwards.
func (e *Explainer) Add(t *Trace) {
	n := e.next.Add(1) - 1
	e.ring[n%uint64(len(e.ring))].Store(t)
}

// Find returns the traces with the given request id, the oldest first. There are
// several if a caller used the id more than once.
func (e *Explainer) Find(id string) []*Trace {
	var found []*Trace
	next := e.next.Load()
	for i := range e.ring {
		t := e.ring[(next+uint64(i))%uint64(len(e.ring))].Load()
		if t != nil && t.id == id {
			found = append(found, t)
		}
	}
	return found
}

// WriteJSON writes the traces with the given request id as a JSON array. It returns
// ErrNotFound if there are none.
func (e *Explainer) WriteJSON(w io.Writer, id string) error {
	found := e.Find(id)
	if len(found) == 0 {
		return errors.Wrap(ErrNotFound, id)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(found); err != nil {
		return fmt.Errorf("encode traces: %w", err)
	}
	return nil
}
