package voter

import (
	"context"
	"fmt"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// repair finishes what others left behind: a proposal that only a minority
// accepted, a replacement of voters, and voters that lost their identity. It
// goes on while the heartbeats do, one attempt at a time.
func (m *monitor) repair(ctx context.Context, s *survey, chosen *State) {
	if !hasQuorum(s.known.membership(), s.responded) {
		return
	}
	m.countSilence(s)
	replacement := m.replacement(s)
	if replacement == nil && chosen != nil && len(chosen.membership().GetPrevious()) == 0 {
		replacement = m.recruitment(ctx, s)
	}
	var next step
	switch {
	case m.undecided >= confirmBeats:
		next = confirm
	case chosen != nil && len(chosen.membership().GetPrevious()) > 0:
		next = nil
	case chosen != nil && replacement != nil:
		next = replacement
	default:
		return
	}
	select {
	case m.repairing <- struct{}{}:
	default:
		return
	}
	m.voter.tomb.Go(func() error {
		defer func() { <-m.repairing }()
		m.attemptRepair(ctx, next, chosen)
		return nil
	})
}

// attemptRepair applies the step or, without one, finishes the replacement of
// voters that the chosen state holds.
func (m *monitor) attemptRepair(ctx context.Context, next step, chosen *State) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if !m.voter.proposer.pause(ctx, repairPause) {
		return
	}
	var err error
	if next == nil {
		err = m.voter.finishReplacing(ctx, chosen)
	} else {
		err = m.apply(ctx, next)
	}
	if err != nil {
		m.voter.cfg.Log.Debug().Err(err).Msg("Group not repaired yet.")
	}
}

func (m *monitor) apply(ctx context.Context, next step) error {
	state, err := m.voter.propose(ctx, &proposal{next: next, accept: true})
	if err != nil {
		return err
	}
	m.voter.tryFinishReplacing(ctx, state)
	return nil
}

// replacement returns the step that puts the new identity of an instance that
// lost its disk in the place of the old one, or nil. The instance must hold
// the group's state already.
func (m *monitor) replacement(s *survey) step {
	for _, member := range s.known.membership().GetVoters() {
		p := s.positions[member.GetIdentity()]
		if p == nil || p.GetIdentity() == member.GetIdentity() || p.GetFailed() || p.GetOrigin() == nil || p.GetGroup() != s.known.wire.GetGroup() {
			delete(m.lost, member.GetAddress())
			continue
		}
		m.lost[member.GetAddress()]++
		if m.lost[member.GetAddress()] < confirmBeats {
			continue
		}
		return replaceIdentity(member, p.GetIdentity())
	}
	return nil
}

func replaceIdentity(old *voterwire.Member, identity string) step {
	return func(base *State) *voterwire.Transition {
		if len(base.membership().GetPrevious()) > 0 || !isVoter(base.membership(), old.GetIdentity()) {
			return nil
		}
		var voters []*voterwire.Member
		for _, member := range base.membership().GetVoters() {
			if member.GetIdentity() == old.GetIdentity() {
				member = &voterwire.Member{Identity: identity, Address: old.GetAddress()}
			}
			voters = append(voters, member)
		}
		return &voterwire.Transition{Membership: replaceMembers(base.membership(), voters)}
	}
}

// finishReplacing ends the replacement of voters that the chosen state holds.
func (v *Voter) finishReplacing(ctx context.Context, chosen *State) error {
	_, err := v.propose(ctx, &proposal{next: func(base *State) *voterwire.Transition {
		// The previous voters may go only once the state that replaced them is
		// known to be chosen.
		if !sameBallot(base.origin(), chosen.origin()) {
			return nil
		}
		return &voterwire.Transition{Membership: finishReplacing(base.membership())}
	}})
	if err != nil {
		return fmt.Errorf("finish replacing voters: %w: %w", ErrNoMajority, err)
	}
	return nil
}

// tryFinishReplacing ends the replacement of voters, if there is one, at once:
// until then the group needs a majority of the previous voters too. What fails
// here is repeated with the heartbeats.
func (v *Voter) tryFinishReplacing(ctx context.Context, chosen *State) {
	if len(chosen.membership().GetPrevious()) == 0 {
		return
	}
	if err := v.finishReplacing(ctx, chosen); err != nil {
		v.cfg.Log.Debug().Err(err).Msg("Replacement of voters not finished yet.")
	}
}
