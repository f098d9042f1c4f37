package enroller

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Limits of what a heartbeat may state.
const (
	maxIDBytes = 128
	// maxSequence is the greatest integer that every JSON writer can express.
	maxSequence      = 1 << 53
	maxColdRemaining = time.Hour
	// maxStartLead is how far the start of an upstream may lie ahead of this process's clock.
	maxStartLead = time.Minute
)

// ErrImplausible reports a heartbeat with a value that cannot be true.
var ErrImplausible = errors.New("heartbeat states an impossible value")

// Heartbeat is the announcement of an upstream.
type Heartbeat struct {
	// ID identifies the upstream, in most cases one incarnation of it.
	ID string
	// StartedAt is the start time of the incarnation; the zero time if unknown.
	StartedAt time.Time
	// Sequence increases with every heartbeat of an incarnation.
	Sequence uint64
	// Service and Address are the service of the upstream and its own address.
	Service string
	Address netip.AddrPort
	// Slots is how many requests the upstream runs concurrently.
	Slots int
	// Draining reports whether the upstream accepts no new requests.
	Draining bool
	// ColdRemaining is the remaining time for which the upstream is slow after its start.
	ColdRemaining time.Duration
}

// validate returns ErrImplausible for a heartbeat that states something impossible at now. Such a
// value would otherwise be in force, or make all later heartbeats look overtaken.
func (h Heartbeat) validate(now time.Time) error {
	switch {
	case !validID(h.ID):
		return errors.Wrapf(ErrImplausible, "id of %d bytes", len(h.ID))
	case !plausibleStart(h.StartedAt, now):
		return errors.Wrapf(ErrImplausible, "started at %d ms", h.StartedAt.UnixMilli())
	case h.Sequence > maxSequence:
		return errors.Wrapf(ErrImplausible, "sequence %d", h.Sequence)
	case h.Slots < 1 || h.Slots > compiler.MaxSlots:
		return errors.Wrapf(ErrImplausible, "%d slots", h.Slots)
	case h.ColdRemaining < 0 || h.ColdRemaining > maxColdRemaining:
		return errors.Wrapf(ErrImplausible, "cold for %s", h.ColdRemaining)
	}
	return nil
}

// validID reports whether an id has a length and characters that a header value may have.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// plausibleStart reports whether an upstream may have started at a time, which is zero if unknown.
func plausibleStart(startedAt, now time.Time) bool {
	return startedAt.IsZero() || startedAt.Unix() > 0 && !startedAt.After(now.Add(maxStartLead))
}
