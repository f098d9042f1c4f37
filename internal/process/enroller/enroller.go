// Package enroller keeps the identity and the state of a node's own upstream,
// as that announces them by heartbeats.
//
// # Usage
//
//	e := enroller.New(enroller.Config{Service: "vitrina", Address: addr, OnChange: announce, ...})
//	err := e.Beat(enroller.Heartbeat{ID: "i-7f3a", Born: born, Sequence: 4, ...})
//	e.Deregister("i-7f3a", born)
//	id, ok := e.Current() // on the path of a request
//
// An upstream is replaced at its address while the node goes on. Its
// incarnations are ordered by their start times. Heartbeats may be delayed for
// seconds, also past the end of their sender: one of an earlier incarnation, or
// with a sequence number that was passed, changes nothing.
package enroller

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// ErrForeign reports a heartbeat that is not of the node's own upstream.
var ErrForeign = errors.New("heartbeat names another service or address")

// ErrLate reports a heartbeat that was overtaken by a newer one. Its sender
// needs no other answer than to one in time.
var ErrLate = errors.New("heartbeat was overtaken by a newer one")

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	// ID names the upstream, in most cases one start of it.
	ID string
	// Born is when this incarnation of it started.
	Born time.Time
	// Sequence grows with every heartbeat of one incarnation.
	Sequence uint64
	// Service and Address say what it serves and where.
	Service string
	Address netip.AddrPort
	// Slots is how many requests it works on at once.
	Slots int
	// Draining tells that it takes no new work.
	Draining bool
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
}

// Config lists what an Enroller depends on.
type Config struct {
	// Service and Address are those of the node's own upstream.
	Service string
	Address netip.AddrPort
	// OnChange is told of each change of what Current returns, in order. It must
	// not block.
	OnChange func(Change)
	Log      zerolog.Logger
}

// Change is what becomes of the upstream.
type Change struct {
	// Available tells that new work may be sent to it.
	Available bool
	// Replaced tells that it is another incarnation than the one known before.
	Replaced bool
	// ColdFor is for how long a new incarnation is slow.
	ColdFor time.Duration
	// Slots is how many requests it works on at once; 0 if it did not say.
	Slots int
}

// incarnation is what is known of the newest incarnation of the upstream.
type incarnation struct {
	id           string
	born         time.Time
	sequence     uint64
	draining     bool
	deregistered bool
}

// available reports whether new work may be sent to it.
func (i incarnation) available() bool { return i.id != "" && !i.draining && !i.deregistered }

// Enroller follows the heartbeats of one upstream.
type Enroller struct {
	cfg Config

	mu      sync.Mutex
	current incarnation
}

// New returns an enroller that knows of no upstream yet.
func New(cfg Config) *Enroller { return &Enroller{cfg: cfg} }

// Beat takes in a heartbeat. It returns ErrForeign or ErrLate for one that
// changes nothing.
func (e *Enroller) Beat(h Heartbeat) error {
	if h.Service != e.cfg.Service || h.Address != e.cfg.Address {
		return errors.Wrapf(ErrForeign, "%s at %s", h.Service, h.Address)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	same := h.ID == e.current.id && h.Born.Equal(e.current.born)
	switch {
	case same && (h.Sequence <= e.current.sequence || e.current.deregistered):
		return ErrLate
	case !same && !h.Born.After(e.current.born):
		return ErrLate
	}
	next := incarnation{id: h.ID, born: h.Born, sequence: h.Sequence, draining: h.Draining || same && e.current.draining}
	e.replace(next, h)
	return nil
}

// Deregister tells that an incarnation takes no new work and will end. One
// that is not known ends the current one if it started later.
func (e *Enroller) Deregister(id string, born time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id != e.current.id && !born.After(e.current.born) {
		return
	}
	next := e.current
	if id != e.current.id || born.After(e.current.born) {
		next = incarnation{id: id, born: born}
	}
	next.deregistered = true
	e.replace(next, Heartbeat{})
}

// Identified tells that the upstream itself gave its id, and that it takes new
// work, to a node that knows of none yet. The next heartbeat tells the rest.
func (e *Enroller) Identified(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.id == "" {
		e.replace(incarnation{id: id}, Heartbeat{})
	}
}

// Current returns the id of the upstream, and whether new work may be sent to it.
func (e *Enroller) Current() (id string, available bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.id, e.current.available()
}

// replace takes over what is known now. The mutex is held, so that changes are
// told in order.
func (e *Enroller) replace(next incarnation, h Heartbeat) {
	before := e.current
	e.current = next
	same := before.id == next.id && (before.born.Equal(next.born) || before.born.IsZero())
	known := !before.born.IsZero() || h.Slots == 0
	if same && known && before.available() == next.available() {
		return
	}
	e.cfg.Log.Info().Str("upstream", next.id).Time("born", next.born).Uint64("sequence", next.sequence).
		Bool("draining", next.draining).Bool("deregistered", next.deregistered).Msg("Upstream changed.")
	e.cfg.OnChange(Change{Available: next.available(), Replaced: !same && before.id != "", ColdFor: h.ColdFor, Slots: h.Slots})
}
