package gossiper

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// maxNameLength is the longest id or name that an update may contain, in bytes.
const maxNameLength = 128

// Errors for updates that are rejected.
var (
	errInvalidUpdate  = errors.New("update has an invalid id, incarnation, state or accuser")
	errInvalidProfile = errors.New("profile has a name that is too long or an invalid peer address")
)

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

// validateUpdate returns an error if an update from the network is unusable.
func validateUpdate(u *gossipwire.Update) error {
	validState := u.GetState() >= gossipwire.State_STATE_STARTING && u.GetState() <= gossipwire.State_STATE_FAILED
	if u.GetId() == "" || len(u.GetId()) > maxNameLength || u.GetIncarnation() == 0 || !validState {
		return errInvalidUpdate
	}
	if len(u.GetAccuser()) > maxNameLength {
		return errInvalidUpdate
	}
	return nil
}

// decodeRecord decodes an announcement that includes a profile.
func decodeRecord(u *gossipwire.Update) (registrar.Spec, error) {
	p := u.GetProfile()
	for _, name := range []string{p.GetService(), p.GetOwner(), p.GetSite(), p.GetRegion(), p.GetFailureDomain()} {
		if len(name) > maxNameLength {
			return registrar.Spec{}, errInvalidProfile
		}
	}
	peer, ok := decodeAddress(p.GetPeer())
	if !ok {
		return registrar.Spec{}, errInvalidProfile
	}
	// A control instance serves no requests and announces no HTTP address.
	httpAddress, _ := decodeAddress(p.GetHttp())
	return registrar.Spec{
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
	}, nil
}

// isAnnouncement reports whether an update originates from the instance it describes.
func isAnnouncement(u *gossipwire.Update) bool {
	return u.GetState() <= gossipwire.State_STATE_LEFT
}
