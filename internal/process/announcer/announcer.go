// Package announcer decides which state a node announces for its instance.
//
// # Usage
//
//	a := announcer.New(announcer.Config{Announce: gossiper.Announce, ColdStart: coldStart})
//	a.Configured()          // a configuration with the instance's service is in force
//	a.Available(available)  // from the watcher of the upstream
//	a.Leave()               // a planned stop; final
//
// An instance takes no work before it is configured, nor while its upstream
// is not available. Whenever it begins to take work it warms first.
package announcer

import (
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// Config lists what an Announcer depends on.
type Config struct {
	// Announce tells the fleet a new state. It must not block.
	Announce func(registrar.State)
	// ColdStart returns how long the instance warms.
	ColdStart func() time.Duration
}

// Announcer follows the conditions under which an instance takes work.
type Announcer struct {
	cfg Config

	mu         sync.Mutex
	configured bool
	available  bool
	leaving    bool
	announced  registrar.State
	warmed     *time.Timer
}

// New returns an announcer of an instance that is not configured yet and whose
// upstream is available.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg, available: true, announced: registrar.StateStarting}
}

// Available tells whether the upstream takes work.
func (a *Announcer) Available(available bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.available = available
	a.update()
}

// Configured tells that the instance's service is configured.
func (a *Announcer) Configured() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configured = true
	a.update()
}

// Leave announces that the instance leaves. Nothing else is announced after it.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.update()
}

func (a *Announcer) update() {
	working := a.announced == registrar.StateWarming || a.announced == registrar.StateReady
	switch {
	case a.leaving || a.configured && !a.available:
		a.stopWork()
	case a.configured && !working:
		a.announce(registrar.StateWarming)
		a.warmed = time.AfterFunc(a.cfg.ColdStart(), a.finishWarming)
	}
}

func (a *Announcer) stopWork() {
	if a.warmed != nil {
		a.warmed.Stop()
	}
	if a.announced != registrar.StateLeaving {
		a.announce(registrar.StateLeaving)
	}
}

func (a *Announcer) finishWarming() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announced == registrar.StateWarming {
		a.announce(registrar.StateReady)
	}
}

func (a *Announcer) announce(state registrar.State) {
	a.announced = state
	a.cfg.Announce(state)
}
