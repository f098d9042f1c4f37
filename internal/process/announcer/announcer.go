// Package announcer decides which state a node announces for its own instance.
//
// # Usage
//
//	a := announcer.New(announcer.Config{Announce: gossiper.Announce, ColdStart: coldStart})
//	a.SetConfigured()         // a configuration with the instance's service is in force
//	a.SetAvailable(available) // from the watcher of the upstream
//	a.Leave()                 // a planned stop; final
//
// An instance is not routable before its service is configured, nor while its upstream is
// unavailable. Whenever it becomes routable, it warms up before it is ready.
package announcer

import (
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// Config lists what an Announcer depends on.
type Config struct {
	// Announce announces a new state to the fleet. It must not block.
	Announce func(registrar.State)
	// ColdStart returns how long the instance warms up.
	ColdStart func() time.Duration
}

// Announcer derives the state of an instance from its conditions. It is safe for concurrent
// use.
type Announcer struct {
	cfg Config

	mu          sync.Mutex
	configured  bool
	available   bool
	leaving     bool
	announced   registrar.State
	warmUpTimer *time.Timer
}

// New returns an announcer for an instance whose service is not configured yet and whose
// upstream is available.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg, available: true, announced: registrar.StateStarting}
}

// SetAvailable records whether the upstream accepts requests.
func (a *Announcer) SetAvailable(available bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.available = available
	a.update()
}

// SetConfigured records that the instance's service is configured.
func (a *Announcer) SetConfigured() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configured = true
	a.update()
}

// Leave announces that the instance is leaving. No later state is announced.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.update()
}

// update announces that the instance is warming or leaving, if the conditions changed so.
// The mutex must be held.
func (a *Announcer) update() {
	serving := a.announced == registrar.StateWarming || a.announced == registrar.StateReady
	switch {
	case a.leaving || a.configured && !a.available:
		a.announceLeaving()
	case a.configured && !serving:
		a.announce(registrar.StateWarming)
		a.warmUpTimer = time.AfterFunc(a.cfg.ColdStart(), a.finishWarming)
	}
}

func (a *Announcer) announceLeaving() {
	if a.warmUpTimer != nil {
		a.warmUpTimer.Stop()
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
