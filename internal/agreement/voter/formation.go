package voter

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// errNotAllReady means that an initial voter is unreachable, belongs to a group or
// refused to be reserved.
var errNotAllReady = errors.New("not all initial voters are ready to form a group")

// mayFormGroup reports whether this instance is the one that forms the group: the
// first of the initial voters by address.
func (v *Voter) mayFormGroup() bool {
	return len(v.cfg.InitialVoters) > 0 && v.cfg.InitialVoters[0] == v.cfg.Address
}

// hasInitialAddresses reports whether the members are at the addresses of the
// initial voters.
func (v *Voter) hasInitialAddresses(m *voterwire.Membership) bool {
	return slices.Equal(memberAddresses(m), v.cfg.InitialVoters)
}

// formGroup forms the group. Every initial voter must be reachable, belong to no
// group and reserve itself for this one before the first proposal. An instance
// that lost its disk therefore can't form a second group while the others belong
// to the first.
func (v *Voter) formGroup(ctx context.Context) error {
	members, err := v.queryInitialVoters(ctx)
	if err != nil {
		return err
	}
	genesis := v.genesisState(members)
	// The first member, this instance, comes last: it must not be reserved for a
	// group that another instance refused to join.
	for _, member := range slices.Backward(members) {
		if err := v.reserveAt(ctx, member, genesis); err != nil {
			return err
		}
	}
	if _, err := v.propose(ctx, &proposal{genesis: newState(genesis), transition: confirm}); err != nil {
		return fmt.Errorf("form group: %w", err)
	}
	v.cfg.Log.Info().Str("group", genesis.GetGroup()).Msg("Group of voters formed.")
	return nil
}

// queryInitialVoters returns the initial voters and their identities, or an error
// if one of them is unreachable or belongs to a group.
func (v *Voter) queryInitialVoters(ctx context.Context) ([]*voterwire.Member, error) {
	var members []*voterwire.Member
	for _, address := range v.cfg.InitialVoters {
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

// genesisState returns the group's first state: that of an earlier attempt to form
// the group if it had the same members, else a new one.
func (v *Voter) genesisState(members []*voterwire.Member) *voterwire.State {
	if reserved := v.acceptor.reservedState(); reserved != nil && sameMembers(reserved.GetMembership().GetVoters(), members) {
		return reserved
	}
	group := randomID(v.cfg.Random)
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
	resp, err := v.memberPeer(member).Reserve(callCtx, &voterwire.ReserveRequest{Genesis: genesis})
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
