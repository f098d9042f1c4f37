package voter

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// identitySet is a set of voter identities.
type identitySet map[string]bool

// hasQuorum reports whether acks contains a majority of the voters and, during a
// replacement, also a majority of the previous voters.
func hasQuorum(m *voterwire.Membership, acks identitySet) bool {
	if !hasMajority(m.GetVoters(), acks) {
		return false
	}
	return len(m.GetPrevious()) == 0 || hasMajority(m.GetPrevious(), acks)
}

func hasMajority(members []*voterwire.Member, acks identitySet) bool {
	n := 0
	for _, member := range members {
		if acks[member.GetIdentity()] {
			n++
		}
	}
	return n > len(members)/2
}

// unionMembers returns the current and previous voters of all memberships, each
// once.
func unionMembers(memberships ...*voterwire.Membership) []*voterwire.Member {
	var all []*voterwire.Member
	seen := make(identitySet)
	add := func(members []*voterwire.Member) {
		for _, member := range members {
			if !seen[member.GetIdentity()] {
				seen[member.GetIdentity()] = true
				all = append(all, member)
			}
		}
	}
	for _, m := range memberships {
		add(m.GetVoters())
		add(m.GetPrevious())
	}
	return all
}

// addedMembers returns the members of next that base does not contain.
func addedMembers(base, next *voterwire.Membership) []*voterwire.Member {
	known := make(identitySet)
	for _, member := range unionMembers(base) {
		known[member.GetIdentity()] = true
	}
	return slices.DeleteFunc(unionMembers(next), func(m *voterwire.Member) bool { return known[m.GetIdentity()] })
}

// isVoter reports whether the identity belongs to one of the current voters.
func isVoter(m *voterwire.Membership, identity string) bool {
	return slices.ContainsFunc(m.GetVoters(), func(v *voterwire.Member) bool { return v.GetIdentity() == identity })
}

// jointMembership returns the membership that starts to replace the voters of m:
// it contains the new voters and those of m as the previous ones.
func jointMembership(m *voterwire.Membership, voters []*voterwire.Member) *voterwire.Membership {
	return &voterwire.Membership{Epoch: m.GetEpoch() + 1, Voters: voters, Previous: m.GetVoters()}
}

// finalMembership returns the membership that finishes a replacement: m without the
// previous voters.
func finalMembership(m *voterwire.Membership) *voterwire.Membership {
	return &voterwire.Membership{Epoch: m.GetEpoch() + 1, Voters: m.GetVoters()}
}
