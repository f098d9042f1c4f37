package voter

import (
	"context"
	"fmt"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// startRepair starts an attempt to repair the group if the poll shows that it
// needs one: to finish a proposal that only a minority accepted, to finish a
// replacement of voters, or to replace a voter that lost its identity or does
// not respond. Attempts run concurrently with the heartbeats, one at a time. A
// poll that crosses a change proves no state chosen; it must not delay a
// replacement, since changes may follow one another without a pause.
func (m *monitor) startRepair(ctx context.Context, poll *pollResult) {
	if !hasQuorum(poll.state.membership(), poll.voting) {
		return
	}
	m.countMissedHeartbeats(poll)
	var transition transitionFunc
	if !m.replacesVoters() {
		transition = m.lostIdentityReplacement(poll)
		if transition == nil && len(poll.state.membership().GetPrevious()) == 0 {
			transition = m.promotion(ctx, poll)
		}
		if transition == nil && m.undecidedHeartbeats >= repairAfterHeartbeats {
			transition = confirm
		}
		if transition == nil {
			return
		}
	}
	select {
	case m.repairing <- struct{}{}:
	default:
		return
	}
	m.voter.tomb.Go(func() error {
		defer func() { <-m.repairing }()
		m.attemptRepair(ctx, transition)
		return nil
	})
}

// replacesVoters reports whether the newest state known to be chosen contains a
// replacement of voters.
func (m *monitor) replacesVoters() bool {
	learned := m.voter.Local()
	return learned != nil && len(learned.membership().GetPrevious()) > 0
}

// attemptRepair proposes the transition or, if it is nil, finishes the
// replacement of voters that the newest chosen state contains.
func (m *monitor) attemptRepair(ctx context.Context, transition transitionFunc) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if !m.voter.proposer.pause(ctx, repairPause) {
		return
	}
	var err error
	if transition == nil {
		err = m.voter.finishReplacement(ctx, m.voter.Local())
	} else {
		err = m.proposeRepair(ctx, transition)
	}
	if err != nil {
		m.voter.cfg.Log.Debug().Err(err).Msg("Failed to repair the group; a later heartbeat retries it.")
	}
}

func (m *monitor) proposeRepair(ctx context.Context, transition transitionFunc) error {
	state, err := m.voter.propose(ctx, &proposal{transition: transition, forceAccept: true})
	if err != nil {
		return err
	}
	m.voter.tryFinishReplacement(ctx, state)
	return nil
}

// lostIdentityReplacement returns the transitionFunc that replaces the old identity
// of an instance that lost its disk with its new one, or nil if there is no such
// instance. The instance must already hold the group's state. It finds itself too.
func (m *monitor) lostIdentityReplacement(poll *pollResult) transitionFunc {
	for _, member := range poll.state.membership().GetVoters() {
		p := poll.positions[member.GetIdentity()]
		if p == nil || p.GetIdentity() == member.GetIdentity() || p.GetFailed() || p.GetOrigin() == nil || p.GetGroup() != poll.state.wire.GetGroup() {
			continue
		}
		return replaceIdentity(member, p.GetIdentity())
	}
	return nil
}

func replaceIdentity(old *voterwire.Member, identity string) transitionFunc {
	return func(base *State) *voterwire.Transition {
		if len(base.membership().GetPrevious()) > 0 || !isVoter(base.membership(), old.GetIdentity()) || isVoter(base.membership(), identity) {
			return nil
		}
		var voters []*voterwire.Member
		for _, member := range base.membership().GetVoters() {
			if member.GetIdentity() == old.GetIdentity() {
				member = &voterwire.Member{Identity: identity, Address: old.GetAddress()}
			}
			voters = append(voters, member)
		}
		return &voterwire.Transition{Membership: jointMembership(base.membership(), voters)}
	}
}

// finishReplacement finishes the replacement of voters that the chosen state
// contains.
func (v *Voter) finishReplacement(ctx context.Context, chosen *State) error {
	_, err := v.propose(ctx, &proposal{transition: func(base *State) *voterwire.Transition {
		// The previous voters may be removed only when a state that replaces them is
		// known to be chosen. Others may have followed it.
		if base.membership().GetEpoch() != chosen.membership().GetEpoch() || len(base.membership().GetPrevious()) == 0 {
			return nil
		}
		return &voterwire.Transition{Membership: finalMembership(base.membership())}
	}})
	if err != nil {
		return fmt.Errorf("finish replacing voters: %w: %w", ErrNoMajority, err)
	}
	return nil
}

// tryFinishReplacement finishes the replacement of voters, if there is one, at
// once: until then the group also needs a majority of the previous voters. If it
// fails, the heartbeats retry it.
func (v *Voter) tryFinishReplacement(ctx context.Context, chosen *State) {
	if len(chosen.membership().GetPrevious()) == 0 {
		return
	}
	if err := v.finishReplacement(ctx, chosen); err != nil {
		v.cfg.Log.Debug().Err(err).Msg("Failed to finish the replacement of voters; a later heartbeat retries it.")
	}
}
