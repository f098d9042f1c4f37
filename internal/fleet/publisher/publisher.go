// Package publisher provides the request path with consistent snapshots of the
// configuration in force and the view of the fleet.
//
// # Usage
//
//	p := publisher.New()
//	p.SetConfiguration(cfg) // from the distributor
//	p.SetView(view)         // from the gossiper
//	s := p.Snapshot()       // on the request path: one atomic load
//	ok := p.Await(ctx, func(s *publisher.Snapshot) bool { return s.Configuration() != nil })
//
// Writers store a changed copy of the snapshot and swap the pointer. Readers take no lock
// and use one snapshot for the duration of a request.
package publisher

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Snapshot is an immutable pair of a configuration and a view of the fleet.
type Snapshot struct {
	cfg  *compiler.Configuration
	view *registrar.View
}

// Configuration returns the configuration in force, or nil if there is none yet.
func (s *Snapshot) Configuration() *compiler.Configuration { return s.cfg }

// View returns the view of the fleet. It is never nil.
func (s *Snapshot) View() *registrar.View { return s.view }

// Publisher holds the latest snapshot.
type Publisher struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex    // Serializes writers and guards changed.
	changed chan struct{} // Closed at the next change.
}

// New returns a publisher with no configuration and an empty view.
func New() *Publisher {
	p := &Publisher{changed: make(chan struct{})}
	p.current.Store(&Snapshot{view: registrar.NewView(nil)})
	return p
}

// Snapshot returns the latest snapshot.
func (p *Publisher) Snapshot() *Snapshot { return p.current.Load() }

// Await waits until the latest snapshot meets a condition, and returns false if ctx ends
// first.
func (p *Publisher) Await(ctx context.Context, condition func(*Snapshot) bool) bool {
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if condition(p.Snapshot()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// SetConfiguration puts cfg in force if it is newer than the one in force,
// and reports whether it did.
func (p *Publisher) SetConfiguration(cfg *compiler.Configuration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old.cfg != nil && cfg.Number() <= old.cfg.Number() {
		return false
	}
	p.publish(&Snapshot{cfg: cfg, view: old.view})
	return true
}

// SetView replaces the view of the fleet.
func (p *Publisher) SetView(view *registrar.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish(&Snapshot{cfg: p.current.Load().cfg, view: view})
}

// publish stores a snapshot and wakes those that wait for a change. The caller holds mu.
func (p *Publisher) publish(s *Snapshot) {
	p.current.Store(s)
	close(p.changed)
	p.changed = make(chan struct{})
}
