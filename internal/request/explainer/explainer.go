// Package explainer remembers what happened to recent requests: where each
// attempt went and why, what it met, and how long it took.
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
// A request adds its trace with one atomic store. A lookup reads the whole
// ring, since it is rare.
package explainer

import (
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrNotFound reports a request that is not, or no longer, remembered.
var ErrNotFound = errors.New("request not found")

// Explainer is a ring of the latest traces. It is safe for concurrent use.
type Explainer struct {
	ring []atomic.Pointer[Trace]
	next atomic.Uint64
}

// New returns an explainer that remembers the latest size requests. The size
// must be greater than 0.
func New(size int) *Explainer {
	return &Explainer{ring: make([]atomic.Pointer[Trace], size)}
}

// Add remembers a trace that has ended. It must not be changed any more.
func (e *Explainer) Add(t *Trace) {
	n := e.next.Add(1) - 1
	e.ring[n%uint64(len(e.ring))].Store(t)
}

// Find returns the traces of the request with the given id, the oldest first.
// There are several if a caller used an id more than once.
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

// WriteJSON writes the traces of a request as a JSON array. It returns
// ErrNotFound if there is none.
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
