package voter

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// errNoSuccessor means that no other instance can become a voter now.
var errNoSuccessor = errors.New("no other instance holds the group's state and is no voter")

// Leave hands the vote of this instance over to an instance that does not vote, before this one
// stops as planned: voters that stop for good one after the other would take the majority with
// them. From the call on, this instance becomes no voter again.
//
// It returns nil once the group needs this instance no more, and if only the document names the
// voters. It returns an error if there is no other instance to take over, or if ctx ends before.
func (v *Voter) Leave(ctx context.Context) error {
	v.acceptor.setLeaving()
	if v.requiredVoters() == 0 {
		return nil
	}
	for {
		state := v.Local()
		if state == nil || !v.acceptor.votesIn(state) {
			return nil
		}
		if err := v.handOver(ctx, state); err != nil {
			return fmt.Errorf("hand over the vote: %w", err)
		}
	}
}

// handOver makes one attempt to finish a replacement of voters or, without one, to replace this
// instance.
func (v *Voter) handOver(ctx context.Context, state *State) error {
	if len(state.membership().GetPrevious()) > 0 {
		return v.finishReplacement(ctx, state)
	}
	self := &voterwire.Member{Identity: v.acceptor.identity, Address: v.cfg.Address}
	transition := v.monitor.findPromotion(ctx, &pollResult{state: state}, self)
	if transition == nil {
		return errNoSuccessor
	}
	state, err := v.propose(ctx, &proposal{transition: transition, forceAccept: true})
	if err != nil {
		return fmt.Errorf("replace this voter: %w", err)
	}
	v.tryFinishReplacement(ctx, state)
	return nil
}

// setLeaving keeps this instance from becoming a voter again.
func (a *acceptor) setLeaving() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// votesIn reports whether this instance is a voter, or one that is being replaced, in the state.
func (a *acceptor) votesIn(state *State) bool {
	for _, member := range unionMembers(state.membership()) {
		if member.GetIdentity() == a.identity {
			return true
		}
	}
	return false
}

// declines reports whether this instance is leaving and does not vote, so that it must not become
// a voter.
func (a *acceptor) declines() bool {
	return a.leaving && (a.acceptedState == nil || !a.votesIn(a.acceptedState))
}
