package voter_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// TestImpossibleRoundEndsNoGroup guards against a ballot at one voter above which there is no other.
func TestImpossibleRoundEndsNoGroup(t *testing.T) {
	simulate(t, 95, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		peer := c.voter("v2").Peer()
		query, err := peer.Query(t.Context(), &voterwire.QueryRequest{})
		assert.NilError(t, err)
		at := query.GetPosition()
		_, err = peer.Prepare(t.Context(), &voterwire.PrepareRequest{
			Group: at.GetGroup(), To: at.GetIdentity(), Ballot: &voterwire.Ballot{Round: math.MaxUint64, Proposer: "other"},
		})
		assert.NilError(t, err)
		c.crash("v1")
		time.Sleep(5 * time.Second)
		assertAccepted(t, c.voter("v0"), change("b", 1), 2)
	})
}

// TestSwappedDisksGiveNoVoterTwoVotes guards against a change that rests on too few disks.
func TestSwappedDisksGiveNoVoterTwoVotes(t *testing.T) {
	simulate(t, 91, 5, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v2"), change("a", 0), 1)
		c.crash("v0")
		c.crash("v1")
		c.mu.Lock()
		c.instances["v0"].disk, c.instances["v1"].disk = c.instances["v1"].disk, c.instances["v0"].disk
		c.mu.Unlock()
		c.start("v0")
		c.start("v1")
		time.Sleep(15 * time.Second)
		voters := c.voter("v2").Electorate().Voters()
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(voters)))), 5, "%v", voters)
	})
}
