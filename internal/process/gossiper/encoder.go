package gossiper

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// maxNameLength bounds each name in an announcement, in bytes.
const maxNameLength = 128

// Errors of updates that are not understood.
var (
	errBadUpdate  = errors.New("update lacks an id, an incarnation or a known state")
	errBadProfile = errors.New("profile has a name that is too long, or a bad address")
)

// encodeShort returns an update about m without its profile.
func encodeShort(m *member) *gossipwire.Update {
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

// encodeFull returns m's own announcement with its profile, whatever others
// concluded.
func encodeFull(m *member) *gossipwire.Update {
	u := encodeShort(m)
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

// checkUpdate reports whether an update from the network can be used.
func checkUpdate(u *gossipwire.Update) error {
	known := u.GetState() >= gossipwire.State_STATE_STARTING && u.GetState() <= gossipwire.State_STATE_FAILED
	if u.GetId() == "" || len(u.GetId()) > maxNameLength || u.GetIncarnation() == 0 || !known {
		return errBadUpdate
	}
	if len(u.GetAccuser()) > maxNameLength {
		return errBadUpdate
	}
	return nil
}

// decodeFull returns the spec of an announcement with a profile.
func decodeFull(u *gossipwire.Update) (registrar.Spec, error) {
	p := u.GetProfile()
	for _, name := range []string{p.GetService(), p.GetOwner(), p.GetSite(), p.GetRegion(), p.GetFailureDomain()} {
		if len(name) > maxNameLength {
			return registrar.Spec{}, errBadProfile
		}
	}
	peer, ok := decodeAddress(p.GetPeer())
	if !ok {
		return registrar.Spec{}, errBadProfile
	}
	// A control instance takes no requests and announces no address for them.
	http, _ := decodeAddress(p.GetHttp())
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
		HTTP:          http,
		Peer:          peer,
		Slots:         int(p.GetSlots()),
		Connections:   int(p.GetConnections()),
	}, nil
}

// announced reports whether the instance itself made the update.
func announced(u *gossipwire.Update) bool {
	return u.GetState() <= gossipwire.State_STATE_LEFT
}
