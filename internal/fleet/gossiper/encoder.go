package gossiper

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// errInvalidUpdate rejects an update from the network.
var errInvalidUpdate = errors.New("update has an invalid state or accuser")

// encodeStatus returns an update without the profile. Its state is suspect or failed if
// this node assigns that status to m and m has not left, and otherwise the state that m
// announced.
func encodeStatus(m *member) *gossipwire.Update {
	u := &gossipwire.Update{
		Id:          m.spec.ID,
		Incarnation: m.spec.Incarnation,
		Sequence:    m.spec.Sequence,
		State:       gossipwire.State(m.spec.State),
	}
	if m.spec.State == registrar.StateLeft {
		return u
	}
	switch m.status {
	case statusSuspect:
		u.State = gossipwire.State_STATE_SUSPECT
	case statusFailed:
		u.State = gossipwire.State_STATE_FAILED
	}
	return u
}

// encodeRecord returns m's own announcement with its profile, regardless of the
// status that this node assigns to it.
func encodeRecord(m *member) *gossipwire.Update {
	u := encodeStatus(m)
	u.State = gossipwire.State(m.spec.State)
	u.Profile = encodeProfile(&m.spec)
	return u
}

func encodeProfile(s *registrar.Spec) *gossipwire.Profile {
	return &gossipwire.Profile{
		Service:       s.Service,
		Owner:         s.Owner,
		Site:          s.Site,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		Http:          encodeAddress(s.HTTP),
		Peer:          encodeAddress(s.Peer),
		Slots:         uint32(s.Slots),
		Connections:   uint32(s.Connections),
	}
}

func encodeAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func decodeAddress(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return netip.AddrPort{}, false
	}
	return a, a.IsValid()
}

// validateUpdate returns an error if an update from the network is unusable. The profile of a
// record is checked by decodeRecord.
func validateUpdate(u *gossipwire.Update) error {
	validState := u.GetState() >= gossipwire.State_STATE_STARTING && u.GetState() <= gossipwire.State_STATE_FAILED
	if !validState || !registrar.ValidName(u.GetAccuser()) {
		return errors.Wrapf(errInvalidUpdate, "state %d", u.GetState())
	}
	return registrar.ValidateRevision(u.GetId(), u.GetIncarnation(), u.GetSequence())
}

// decodeRecord decodes an announcement that includes a profile.
func decodeRecord(u *gossipwire.Update) (registrar.Spec, error) {
	p := u.GetProfile()
	// An address that cannot be decoded is invalid, which Validate reports where one is needed.
	peer, _ := decodeAddress(p.GetPeer())
	httpAddress, _ := decodeAddress(p.GetHttp())
	spec := registrar.Spec{
		ID:            u.GetId(),
		Incarnation:   u.GetIncarnation(),
		Sequence:      u.GetSequence(),
		State:         registrar.State(u.GetState()),
		Service:       p.GetService(),
		Owner:         p.GetOwner(),
		Site:          p.GetSite(),
		Region:        p.GetRegion(),
		FailureDomain: p.GetFailureDomain(),
		HTTP:          httpAddress,
		Peer:          peer,
		Slots:         int(p.GetSlots()),
		Connections:   int(p.GetConnections()),
	}
	if err := spec.Validate(); err != nil {
		return registrar.Spec{}, fmt.Errorf("decode record: %w", err)
	}
	return spec, nil
}

// isAnnouncement reports whether an update originates from the instance it describes.
func isAnnouncement(u *gossipwire.Update) bool {
	return u.GetState() <= gossipwire.State_STATE_LEFT
}
