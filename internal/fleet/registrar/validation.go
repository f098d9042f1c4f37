package registrar

import (
	"net/netip"
	"unicode"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// MaxRevisionNumber is the greatest incarnation, sequence or revision that a process
	// accepts, so that each instance can exceed what another process says of it.
	MaxRevisionNumber = 1 << 53
	// maxNameBytes is the maximum length of an ID or a name.
	maxNameBytes = 128
)

// ErrInvalid reports an instance, or a statement about one, that cannot exist.
var ErrInvalid = errors.New("invalid instance")

// Validate returns ErrInvalid if no instance can have the fields of s, such as one that another
// process has sent.
func (s *Spec) Validate() error {
	if err := ValidateRevision(s.ID, s.Incarnation, s.Sequence); err != nil {
		return err
	}
	for _, name := range []string{s.Service, s.Owner, s.Site, s.Region, s.FailureDomain} {
		if !ValidName(name) {
			return errors.Wrapf(ErrInvalid, "name of %d bytes", len(name))
		}
	}
	switch {
	case !connectable(s.Peer):
		return errors.Wrapf(ErrInvalid, "peer address %s", s.Peer)
	case s.Service != "" && !connectable(s.HTTP):
		return errors.Wrapf(ErrInvalid, "HTTP address %s", s.HTTP)
	case s.Slots < 0 || s.Slots > compiler.MaxSlots:
		return errors.Wrapf(ErrInvalid, "%d slots", s.Slots)
	case s.Connections < 0 || s.Connections > compiler.MaxConnections:
		return errors.Wrapf(ErrInvalid, "%d connections", s.Connections)
	}
	return nil
}

// ValidateRevision returns ErrInvalid if no announcement can have the given ID and numbers.
func ValidateRevision(id string, incarnation, sequence uint64) error {
	switch {
	case id == "" || !ValidName(id):
		return errors.Wrapf(ErrInvalid, "id of %d bytes", len(id))
	case incarnation == 0 || incarnation > MaxRevisionNumber || sequence > MaxRevisionNumber:
		return errors.Wrapf(ErrInvalid, "incarnation %d, sequence %d", incarnation, sequence)
	}
	return nil
}

// ValidName reports whether a name, which may be empty, is short and has no control characters.
func ValidName(name string) bool {
	if len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if r == unicode.ReplacementChar || unicode.IsControl(r) {
			return false
		}
	}
	return true
}

// connectable reports whether another process may connect to an address.
func connectable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
