package voter

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// TestNewVoterVotesOnceTheReplacementIsOver checks that an instance does not
// say that it votes while the loss of a previous voter would still stop the group.
func TestNewVoterVotesOnceTheReplacementIsOver(t *testing.T) {
	a, b, old, next := &voterwire.Member{Identity: "a"}, &voterwire.Member{Identity: "b"}, &voterwire.Member{Identity: "old"}, &voterwire.Member{Identity: "new"}
	before := &voterwire.Membership{Voters: []*voterwire.Member{a, b, old}}
	during := replaceMembers(before, []*voterwire.Member{a, b, next})
	after := finishReplacing(during)
	for _, tc := range []struct {
		membership *voterwire.Membership
		identity   string
		want       bool
	}{
		{before, "old", true}, {before, "new", false},
		{during, "a", true}, {during, "new", false}, {during, "old", false},
		{after, "a", true}, {after, "new", true}, {after, "old", false},
	} {
		assert.Equal(t, votesAlone(tc.membership, tc.identity), tc.want, "%s", tc.identity)
	}
}
