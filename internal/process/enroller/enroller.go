// Package enroller tracks the identity and the state that a node's own upstream announces
// by heartbeats.
//
// # Usage
//
//	e := enroller.New(enroller.Config{Service: "vitrina", Address: addr, OnChange: announce, ...})
//	err := e.RecordHeartbeat(enroller.Heartbeat{ID: "i-7f3a", StartedAt: startedAt, Sequence: 4, ...})
//	e.RecordDraining("i-7f3a", startedAt) // after a response that says so
//	e.Deregister("i-7f3a", startedAt)
//	id, startedAt, ok := e.Departure() // to store it before it is acknowledged
//	id, ok := e.Current() // on the path of a request
//
// An upstream may be replaced at its address while the node keeps running. Its incarnations
// are ordered by their start times. A heartbeat may arrive seconds late, even after its
// sender ended: one of an earlier incarnation, or with a sequence number no higher than the
// last one, changes nothing. What an earlier process of the node acknowledged is not known after
// a restart: between Hold and Release the upstream is unavailable, so that it can be learnt.
package enroller

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// logLinesPerSecond limits the log lines about heartbeats that are refused.
const logLinesPerSecond = 1

// ErrOtherUpstream reports a heartbeat of another upstream than the node's own.
var ErrOtherUpstream = errors.New("heartbeat names another service or address")

// ErrStale reports a heartbeat that arrived after a newer one. Its sender should get the same
// response as for a heartbeat that was recorded.
var ErrStale = errors.New("heartbeat was overtaken by a newer one")

// Config lists what an Enroller depends on.
type Config struct {
	// Service and Address are those of the node's own upstream.
	Service string
	Address netip.AddrPort
	// OnChange is called for each change of the upstream, in order. It must not block.
	OnChange func(Change)
	// OnHeartbeat is called for each heartbeat that is recorded, after OnChange; nil for
	// none. It must not block.
	OnHeartbeat func(Heartbeat)
	// OnDeparture is called when an incarnation has said that it accepts no new requests, after
	// OnChange; nil for none. It must not block.
	OnDeparture func(id string, startedAt time.Time)
	// Scope may be nil.
	Scope tally.Scope
	Log   zerolog.Logger
}

// Change is a change of the upstream's state.
type Change struct {
	// Available reports whether new requests may be sent to the upstream.
	Available bool
	// Replaced reports whether another incarnation replaced the one known before.
	Replaced bool
	// ColdRemaining is how long a new incarnation is slow after its start.
	ColdRemaining time.Duration
	// Slots is how many requests the upstream runs concurrently; 0 if unknown.
	Slots int
}

// incarnation is the known state of the upstream's newest incarnation.
type incarnation struct {
	id           string
	startedAt    time.Time
	sequence     uint64
	draining     bool
	deregistered bool
}

// departed reports whether the incarnation accepts no new requests.
func (i incarnation) departed() bool { return i.draining || i.deregistered }

// matches reports whether the incarnation may be the one with the given id and start time,
// either of whose start times may be unknown.
func (i incarnation) matches(id string, startedAt time.Time) bool {
	return id == i.id && (startedAt.IsZero() || i.startedAt.IsZero() || startedAt.Equal(i.startedAt))
}

// withLatestStart returns the incarnation with the latest possible start time if its own is
// unknown, so that its late heartbeats can be told from those of a later start under the same id.
func (i incarnation) withLatestStart() incarnation {
	if i.startedAt.IsZero() {
		i.startedAt = time.UnixMilli(time.Now().UnixMilli())
	}
	return i
}

// Enroller tracks one upstream by its heartbeats. It is safe for concurrent use.
type Enroller struct {
	cfg        Config
	refused    tally.Counter
	logLimiter *logger.Limiter

	mu      sync.Mutex
	current incarnation
	held    bool
	// coldRemaining is that of the last change.
	coldRemaining time.Duration
}

// New returns an enroller whose upstream is not known yet.
func New(cfg Config) *Enroller {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Enroller{
		cfg:        cfg,
		refused:    cfg.Scope.Counter("heartbeats_refused"),
		logLimiter: logger.NewLimiter(logLinesPerSecond),
	}
}

// Refuse counts and logs a heartbeat that names no upstream, for the given reason.
func (e *Enroller) Refuse(reason error) {
	e.refused.Inc(1)
	e.logLimiter.Limit(e.cfg.Log.Warn()).Err(reason).Msg("Heartbeat refused.")
}

// RecordHeartbeat records a heartbeat. It returns ErrOtherUpstream, ErrImplausible or ErrStale
// for one that it ignores.
func (e *Enroller) RecordHeartbeat(h Heartbeat) error {
	if h.Service != e.cfg.Service || h.Address != e.cfg.Address {
		return errors.Wrapf(ErrOtherUpstream, "%.64q at %s", h.Service, h.Address)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if h.StartedAt.Equal(e.current.startedAt) {
		now = h.StartedAt // The clock may have been set back since.
	}
	if err := h.validate(now); err != nil {
		return err
	}
	sameIncarnation := h.ID == e.current.id && h.StartedAt.Equal(e.current.startedAt)
	switch {
	case sameIncarnation && (h.Sequence <= e.current.sequence || e.current.deregistered):
		return ErrStale
	case !sameIncarnation && !h.StartedAt.After(e.current.startedAt):
		return ErrStale
	}
	next := incarnation{id: h.ID, startedAt: h.StartedAt, sequence: h.Sequence, draining: h.Draining || sameIncarnation && e.current.draining}
	e.setCurrent(next, h)
	if e.cfg.OnHeartbeat != nil {
		e.cfg.OnHeartbeat(h)
	}
	return nil
}

// RecordDraining records that an upstream has said, other than by a heartbeat, that it
// accepts no new requests. Its start time may be zero if it is unknown. It does nothing if
// another incarnation has replaced that one.
func (e *Enroller) RecordDraining(id string, startedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.id == "" || !e.current.matches(id, startedAt) || e.current.departed() {
		return
	}
	next := e.current
	next.draining = true
	e.setCurrent(next.withLatestStart(), Heartbeat{})
}

// Deregister records that an incarnation accepts no new requests and is about to end. An
// unknown incarnation replaces the current one if it started later. Its start time may be zero if
// it is unknown; then it replaces one that accepts no new requests either, and counts as started
// just now at the latest. An impossible start time counts as unknown, and names no unknown
// incarnation.
func (e *Enroller) Deregister(id string, startedAt time.Time) {
	plausible := plausibleStart(startedAt, time.Now())
	if !plausible {
		startedAt = time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.current
	switch {
	case id == e.current.id:
		if !startedAt.IsZero() && startedAt.Before(e.current.startedAt) {
			return
		}
		if startedAt.After(e.current.startedAt) {
			next = incarnation{id: id, startedAt: startedAt}
		}
	case !plausible || !validID(id):
		return
	case startedAt.IsZero() && (e.current.id == "" || e.current.departed()), startedAt.After(e.current.startedAt):
		next = incarnation{id: id, startedAt: startedAt}
	default:
		return
	}
	next.deregistered = true
	e.setCurrent(next.withLatestStart(), Heartbeat{})
}

// Identify records the id that the upstream itself returned, and that it is available, if no
// upstream is known yet. The other fields follow with the next heartbeat.
func (e *Enroller) Identify(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.id == "" {
		e.setCurrent(incarnation{id: id}, Heartbeat{})
	}
}

// Current returns the id of the upstream, and whether new requests may be sent to it.
func (e *Enroller) Current() (id string, available bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.id, e.available(e.current)
}

// Departure returns the id and the start time of the upstream, and whether it has said that it
// accepts no new requests.
func (e *Enroller) Departure() (id string, startedAt time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.id, e.current.startedAt, e.current.departed()
}

// Ended reports whether no new request is sent to the incarnation with the given id and start time,
// which may be zero if it is unknown: it has said so, or a later one has replaced it.
func (e *Enroller) Ended(id string, startedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.matches(id, startedAt) {
		return e.current.departed()
	}
	return !startedAt.IsZero() && startedAt.Before(e.current.startedAt)
}

// Hold keeps the upstream unavailable until Release is called.
func (e *Enroller) Hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = true
}

// Release ends Hold.
func (e *Enroller) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = false
	if e.available(e.current) {
		e.cfg.OnChange(Change{Available: true, ColdRemaining: e.coldRemaining})
	}
}

// available reports whether new requests may be sent to an incarnation. The mutex must be held.
func (e *Enroller) available(i incarnation) bool { return i.id != "" && !i.departed() && !e.held }

// Identity returns the id of the upstream and its start time, which is zero if unknown.
func (e *Enroller) Identity() (id string, startedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.id, e.current.startedAt
}

// Matches reports whether the upstream may be the one with the given id and start time,
// either of whose start times may be unknown.
func (e *Enroller) Matches(id string, startedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.matches(id, startedAt)
}

// setCurrent stores the state of the upstream, and reports a change. The mutex must be held,
// so that changes are reported in order.
func (e *Enroller) setCurrent(next incarnation, h Heartbeat) {
	previous := e.current
	e.current = next
	sameIncarnation := previous.id == next.id && (previous.startedAt.Equal(next.startedAt) || previous.startedAt.IsZero())
	slotsKnown := !previous.startedAt.IsZero() || h.Slots == 0
	if sameIncarnation && slotsKnown && previous.departed() == next.departed() {
		return
	}
	e.cfg.Log.Info().Str("upstream", next.id).Time("born", next.startedAt).Uint64("sequence", next.sequence).
		Bool("draining", next.draining).Bool("deregistered", next.deregistered).Msg("Upstream changed.")
	e.coldRemaining = h.ColdRemaining
	e.cfg.OnChange(Change{
		Available: e.available(next), Replaced: !sameIncarnation && previous.id != "", ColdRemaining: h.ColdRemaining, Slots: h.Slots,
	})
	if next.departed() && e.cfg.OnDeparture != nil {
		e.cfg.OnDeparture(next.id, next.startedAt)
	}
}
