// Package publisher hands the path of a request one consistent picture of the
// configuration in force and of the fleet.
//
// # Usage
//
//	p := publisher.New()
//	p.SetConfiguration(cfg) // from the distribution of versions
//	p.SetView(view)         // from membership
//	s := p.Snapshot()       // on the path of a request: one atomic load
//
// Writers copy the snapshot, change the copy and swap the pointer. Readers
// take no lock and keep a snapshot for as long as one request lasts.
package publisher

import (
	"sync"
	"sync/atomic"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Snapshot is an immutable pair of configuration and view.
type Snapshot struct {
	cfg  *compiler.Configuration
	view *registrar.View
}

// Configuration returns the configuration in force, or nil before the first.
func (s *Snapshot) Configuration() *compiler.Configuration { return s.cfg }

// View returns the picture of the fleet. It is never nil.
func (s *Snapshot) View() *registrar.View { return s.view }

// Publisher holds the newest snapshot.
type Publisher struct {
	mu      sync.Mutex // Serializes writers.
	current atomic.Pointer[Snapshot]
}

// New returns a publisher with no configuration and an empty view.
func New() *Publisher {
	p := &Publisher{}
	p.current.Store(&Snapshot{view: registrar.NewView(nil)})
	return p
}

// Snapshot returns the newest snapshot.
func (p *Publisher) Snapshot() *Snapshot { return p.current.Load() }

// SetConfiguration puts cfg in force if it is newer than the one in force,
// and reports whether it did.
func (p *Publisher) SetConfiguration(cfg *compiler.Configuration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old.cfg != nil && cfg.Number() <= old.cfg.Number() {
		return false
	}
	p.current.Store(&Snapshot{cfg: cfg, view: old.view})
	return true
}

// SetView replaces the picture of the fleet.
func (p *Publisher) SetView(view *registrar.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Store(&Snapshot{cfg: p.current.Load().cfg, view: view})
}
