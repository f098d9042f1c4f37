package voter

import (
	"context"
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// silentBeats is how many heartbeats in a row a voter must leave unanswered
// before another instance may take its place.
const silentBeats = 3

// wantedVoters returns how many voters bear the losses that are to be
// tolerated, or 0 if nobody set that.
func (v *Voter) wantedVoters() int {
	if v.cfg.Tolerated == 0 {
		return 0
	}
	return 2*v.cfg.Tolerated + 1
}

// complete reports whether the group has the voters that it needs before it
// may acknowledge a change.
func (v *Voter) complete(state *State) bool {
	return len(state.membership().GetVoters()) >= v.wantedVoters()
}

// countSilence takes in which voters answered one heartbeat.
func (m *monitor) countSilence(s *survey) {
	for _, member := range s.known.membership().GetVoters() {
		if s.positions[member.GetIdentity()] != nil {
			delete(m.silent, member.GetIdentity())
			continue
		}
		m.silent[member.GetIdentity()]++
	}
}

// recruitment returns the step that makes an instance a voter which is none:
// one more while there are too few, or in the place of one that has long been
// silent. It returns nil if none is needed or to be had.
func (m *monitor) recruitment(ctx context.Context, s *survey) step {
	wanted := m.voter.wantedVoters()
	if wanted == 0 {
		return nil
	}
	voters := s.known.membership().GetVoters()
	if len(voters) < wanted {
		return m.recruit(ctx, s, nil)
	}
	for _, member := range voters {
		if m.silent[member.GetIdentity()] >= silentBeats {
			return m.recruit(ctx, s, member)
		}
	}
	return nil
}

// recruit returns the step that adds an instance, in the place of old unless
// that is nil. The instance must hold the group's state already.
func (m *monitor) recruit(ctx context.Context, s *survey, old *voterwire.Member) step {
	var candidates []*voterwire.Member
	request := func(ctx context.Context, source *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.peer(source).Query(ctx, &voterwire.QueryRequest{})
	}
	gather(ctx, m.spares(s), request, func(source *voterwire.Member, resp *voterwire.QueryResponse) bool {
		p := resp.GetPosition()
		if p.GetFailed() || p.GetOrigin() == nil || p.GetGroup() != s.known.wire.GetGroup() {
			return false
		}
		candidates = append(candidates, &voterwire.Member{Identity: p.GetIdentity(), Address: source.GetAddress()})
		return true
	})
	if len(candidates) == 0 {
		return nil
	}
	m.voter.cfg.Log.Info().Str("voter", candidates[0].GetAddress()).Str("replaces", old.GetAddress()).
		Int("voters", len(s.known.membership().GetVoters())).Msg("An instance is to become a voter.")
	return exchangeMember(old, candidates[0])
}

// spares returns the other instances whose addresses are no voter's.
func (m *monitor) spares(s *survey) []*voterwire.Member {
	taken := addressesOf(s.known.membership())
	return slices.DeleteFunc(m.voter.sources(), func(source *voterwire.Member) bool {
		return slices.Contains(taken, source.GetAddress())
	})
}

// exchangeMember returns the step that makes next a voter, in the place of old
// unless that is nil.
func exchangeMember(old, next *voterwire.Member) step {
	return func(base *State) *voterwire.Transition {
		m := base.membership()
		if len(m.GetPrevious()) > 0 || isVoter(m, next.GetIdentity()) || memberAt(m, next.GetAddress()) != nil {
			return nil
		}
		if old != nil && !isVoter(m, old.GetIdentity()) {
			return nil
		}
		voters := slices.DeleteFunc(slices.Clone(m.GetVoters()), func(member *voterwire.Member) bool {
			return old != nil && member.GetIdentity() == old.GetIdentity()
		})
		return &voterwire.Transition{Membership: replaceMembers(m, append(voters, next))}
	}
}
