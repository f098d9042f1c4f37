package voter

import (
	"context"
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// replaceAfterMissed is how many consecutive heartbeats a voter must miss before
// another instance may replace it.
const replaceAfterMissed = 2

// requiredVoters returns how many voters the group needs to tolerate the
// configured losses, or 0 if none are configured.
func (v *Voter) requiredVoters() int {
	if v.cfg.ToleratedLosses == 0 {
		return 0
	}
	return 2*v.cfg.ToleratedLosses + 1
}

// hasRequiredVoters reports whether the group has enough voters to acknowledge
// changes.
func (v *Voter) hasRequiredVoters(state *State) bool {
	return len(state.membership().GetVoters()) >= v.requiredVoters()
}

// countMissedHeartbeats counts the consecutive heartbeats that each voter missed.
func (m *monitor) countMissedHeartbeats(poll *pollResult) {
	for _, member := range poll.state.membership().GetVoters() {
		if poll.positions[member.GetIdentity()] != nil {
			delete(m.missedHeartbeats, member.GetIdentity())
			continue
		}
		m.missedHeartbeats[member.GetIdentity()]++
	}
}

// promotion returns the transitionFunc that makes a nonvoting instance a voter:
// an additional one while there are too few, or the replacement of an
// unresponsive one. It returns nil if no voter is needed or no instance qualifies.
func (m *monitor) promotion(ctx context.Context, poll *pollResult) transitionFunc {
	required := m.voter.requiredVoters()
	if required == 0 {
		return nil
	}
	voters := poll.state.membership().GetVoters()
	if len(voters) < required {
		return m.findPromotion(ctx, poll, nil)
	}
	for _, member := range voters {
		if m.missedHeartbeats[member.GetIdentity()] >= replaceAfterMissed {
			return m.findPromotion(ctx, poll, member)
		}
	}
	return nil
}

// findPromotion queries the nonvoting instances and returns the transitionFunc that
// makes the first suitable one a voter. If old is not nil, the new voter replaces
// it. Suitable instances already hold the group's state; without any,
// findPromotion returns nil.
func (m *monitor) findPromotion(ctx context.Context, poll *pollResult, old *voterwire.Member) transitionFunc {
	var candidates []*voterwire.Member
	request := func(ctx context.Context, source *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.memberPeer(source).Query(ctx, &voterwire.QueryRequest{})
	}
	broadcast(ctx, m.nonVoters(poll), request, func(source *voterwire.Member, resp *voterwire.QueryResponse) bool {
		p := resp.GetPosition()
		if p.GetFailed() || p.GetOrigin() == nil || p.GetGroup() != poll.state.wire.GetGroup() {
			return false
		}
		candidates = append(candidates, &voterwire.Member{Identity: p.GetIdentity(), Address: source.GetAddress()})
		return true
	})
	if len(candidates) == 0 {
		return nil
	}
	m.voter.cfg.Log.Info().Str("voter", candidates[0].GetAddress()).Str("replaces", old.GetAddress()).
		Int("voters", len(poll.state.membership().GetVoters())).Msg("Promoting an instance to voter.")
	return addVoter(old, candidates[0])
}

// nonVoters returns the state sources whose addresses are not those of voters.
func (m *monitor) nonVoters(poll *pollResult) []*voterwire.Member {
	voters := memberAddresses(poll.state.membership())
	return slices.DeleteFunc(m.voter.stateSources(), func(source *voterwire.Member) bool {
		return slices.Contains(voters, source.GetAddress())
	})
}

// addVoter returns the transitionFunc that makes next a voter and, if old is not
// nil, removes old.
func addVoter(old, next *voterwire.Member) transitionFunc {
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
		return &voterwire.Transition{Membership: jointMembership(m, append(voters, next))}
	}
}
