package voter

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// identitySet is a set of voters' identities.
type identitySet map[string]bool

// hasQuorum reports whether acks holds a majority of the voters and, while
// these are being replaced, also one of the previous voters.
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

// unite returns the members of all given memberships, each once.
func unite(memberships ...*voterwire.Membership) []*voterwire.Member {
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

// added returns the members of next that are not in base.
func added(base, next *voterwire.Membership) []*voterwire.Member {
	known := make(identitySet)
	for _, member := range unite(base) {
		known[member.GetIdentity()] = true
	}
	return slices.DeleteFunc(unite(next), func(m *voterwire.Member) bool { return known[m.GetIdentity()] })
}

// isVoter reports whether the identity is one of the voters.
func isVoter(m *voterwire.Membership, identity string) bool {
	return slices.ContainsFunc(m.GetVoters(), func(v *voterwire.Member) bool { return v.GetIdentity() == identity })
}

// replaceMembers returns the membership in which voters take the place of m's.
func replaceMembers(m *voterwire.Membership, voters []*voterwire.Member) *voterwire.Membership {
	return &voterwire.Membership{Epoch: m.GetEpoch() + 1, Voters: voters, Previous: m.GetVoters()}
}

// finishReplacing returns the membership without the previous voters.
func finishReplacing(m *voterwire.Membership) *voterwire.Membership {
	return &voterwire.Membership{Epoch: m.GetEpoch() + 1, Voters: m.GetVoters()}
}
