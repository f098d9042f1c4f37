package voter

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// TestNewVoterVotesAfterReplacement checks that a new voter is not reported as
// voting while the loss of a previous voter would still stop the group.
func TestNewVoterVotesAfterReplacement(t *testing.T) {
	a, b, old, next := &voterwire.Member{Identity: "a"}, &voterwire.Member{Identity: "b"}, &voterwire.Member{Identity: "old"}, &voterwire.Member{Identity: "new"}
	before := &voterwire.Membership{Voters: []*voterwire.Member{a, b, old}}
	during := jointMembership(before, []*voterwire.Member{a, b, next})
	after := finalMembership(during)
	for _, tc := range []struct {
		membership *voterwire.Membership
		identity   string
		want       bool
	}{
		{before, "old", true}, {before, "new", false},
		{during, "a", true}, {during, "new", false}, {during, "old", false},
		{after, "a", true}, {after, "new", true}, {after, "old", false},
	} {
		assert.Equal(t, isFullVoter(tc.membership, tc.identity), tc.want, "%s", tc.identity)
	}
}
