package voter

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// errNotAllReady means that the group cannot form yet.
var errNotAllReady = errors.New("not all initial voters are ready to form a group")

// mayForm reports whether this instance is the one that forms the group: the
// first of the initial voters.
func (v *Voter) mayForm() bool {
	return len(v.cfg.Initial) > 0 && v.cfg.Initial[0] == v.cfg.Address
}

// isInitial reports whether the membership has the initial voters' addresses.
func (v *Voter) isInitial(m *voterwire.Membership) bool {
	return slices.Equal(addressesOf(m), v.cfg.Initial)
}

// form makes the group. Every initial voter must be reachable, belong to no
// group and reserve itself for this one before the first proposal. An
// instance whose disk was lost among initialized ones therefore forms nothing.
func (v *Voter) form(ctx context.Context) error {
	members, err := v.uninitialized(ctx)
	if err != nil {
		return err
	}
	genesis := v.genesis(members)
	// The others come first, so that this instance holds no reservation that
	// one of them refused.
	for _, member := range slices.Backward(members) {
		if err := v.reserveAt(ctx, member, genesis); err != nil {
			return err
		}
	}
	if _, err := v.propose(ctx, &proposal{genesis: newState(genesis), next: confirm}); err != nil {
		return fmt.Errorf("form group: %w", err)
	}
	v.cfg.Log.Info().Str("group", genesis.GetGroup()).Msg("Group of voters formed.")
	return nil
}

// uninitialized returns the initial voters if none belongs to a group.
func (v *Voter) uninitialized(ctx context.Context) ([]*voterwire.Member, error) {
	var members []*voterwire.Member
	for _, address := range v.cfg.Initial {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := v.peerAt(address).Query(callCtx, &voterwire.QueryRequest{})
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errNotAllReady, address, err)
		}
		if resp.GetPosition().GetGroup() != "" {
			return nil, fmt.Errorf("%w: %s belongs to a group", errNotAllReady, address)
		}
		members = append(members, &voterwire.Member{Identity: resp.GetPosition().GetIdentity(), Address: address})
	}
	return members, nil
}

// genesis returns the group's first state. An earlier attempt with the same
// members is taken up again.
func (v *Voter) genesis(members []*voterwire.Member) *voterwire.State {
	if reserved := v.acceptor.reservation(); reserved != nil && sameMembers(reserved.GetMembership().GetVoters(), members) {
		return reserved
	}
	group := randomName(v.cfg.Random)
	document := &controlwire.Document{}
	return &voterwire.State{
		Group:      group,
		Origin:     &voterwire.Ballot{Proposer: group},
		Version:    &controlwire.Version{Digest: &controlwire.VersionDigest{Digest: v.cfg.Digest(document)}, Document: document},
		Membership: &voterwire.Membership{Voters: members},
	}
}

func (v *Voter) reserveAt(ctx context.Context, member *voterwire.Member, genesis *voterwire.State) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := v.peer(member).Reserve(callCtx, &voterwire.ReserveRequest{Genesis: genesis})
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errNotAllReady, member.GetAddress(), err)
	}
	if !resp.GetReserved() {
		return fmt.Errorf("%w: %s: %s", errNotAllReady, member.GetAddress(), resp.GetReason())
	}
	return nil
}

func sameMembers(a, b []*voterwire.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *voterwire.Member) bool {
		return x.GetIdentity() == y.GetIdentity() && x.GetAddress() == y.GetAddress()
	})
}
