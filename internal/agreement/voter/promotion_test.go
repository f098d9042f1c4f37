package voter_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// changeWithVersion returns a change with a version number chosen by the operator.
func changeWithVersion(id string, replaces, version uint64) *controlwire.SubmitRequest {
	req := change(id, replaces)
	req.Version = version
	return req
}

// TestOperatorChosenVersions checks that version numbers chosen by operators must
// increase and may leave gaps.
func TestOperatorChosenVersions(t *testing.T) {
	simulate(t, 31, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), changeWithVersion("a", 0, 4), 4)
		assertAccepted(t, c.voter("v1"), changeWithVersion("b", 4, 9), 9)
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertAccepted(t, c.voter("v2"), changeWithVersion("a", 0, 4), 4)
		assertAccepted(t, c.voter("v0"), changeWithVersion("b", 4, 9), 9)
		assertConflict(t, c.voter("v1"), changeWithVersion("c", 4, 9), "b")
		assertConflict(t, c.voter("v1"), changeWithVersion("d", 0, 20), "a")
		for _, version := range []uint64{1, 8, 9} {
			_, err := c.voter("v2").Submit(context.Background(), changeWithVersion("low", 9, version))
			assert.ErrorIs(t, err, voter.ErrInvalid)
		}
		assertAccepted(t, c.voter("v2"), change("next", 9), 10)
	})
}

// TestUnresponsiveVoterDoesNotDelayRequests checks that reads and changes return at
// once while one voter accepts requests and does not respond.
func TestUnresponsiveVoterDoesNotDelayRequests(t *testing.T) {
	simulate(t, 32, 3, func(t *testing.T, c *cluster) {
		c.setConstantDelay()
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.freeze("v2")
		start := time.Now()
		assertCurrent(t, c.voter("v0"), 1)
		assertAccepted(t, c.voter("v1"), change("b", 1), 2)
		assertCurrent(t, c.voter("v0"), 2)
		elapsed := time.Since(start)
		c.unfreeze("v2")
		assert.Assert(t, elapsed < 500*time.Millisecond, "%s", elapsed)
	})
}

// TestGroupGrowsBeforeItAcknowledges checks that a group of three that must
// tolerate two losses adds two voters before it accepts a change.
func TestGroupGrowsBeforeItAcknowledges(t *testing.T) {
	simulate(t, 33, 3, func(t *testing.T, c *cluster) {
		c.toleratedLosses = 2
		c.restartAll()
		_, err := c.voter("v0").Submit(context.Background(), change("early", 0))
		assert.ErrorIs(t, err, voter.ErrTooFewVoters)
		c.sources = []string{"v3", "v4"}
		c.add("v3")
		c.add("v4")
		time.Sleep(15 * time.Second)
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.loseDisk("v0")
		c.loseDisk("v1")
		assertCurrent(t, c.voter("v4"), 1)
	})
}

// TestUnresponsiveVoterIsReplaced checks that a voter that is lost for good is
// replaced automatically by an instance at another address, so that another voter
// may be lost soon after.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	simulate(t, 34, 3, func(t *testing.T, c *cluster) {
		c.toleratedLosses = 1
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.loseDisk("v0")
		time.Sleep(2 * time.Second)
		c.sources = []string{"v3"}
		c.add("v3")
		time.Sleep(6 * time.Second)
		c.loseDisk("v1")
		assertCurrent(t, c.voter("v3"), 1)
		assertAccepted(t, c.voter("v2"), change("b", 1), 2)
	})
}

// TestReachableVoterIsNotReplaced checks that a nonvoting instance replaces no
// voter while all voters respond.
func TestReachableVoterIsNotReplaced(t *testing.T) {
	simulate(t, 35, 3, func(t *testing.T, c *cluster) {
		c.toleratedLosses = 1
		c.sources = []string{"v3"}
		c.restartAll()
		c.add("v3")
		time.Sleep(time.Minute)
		for _, address := range c.initial {
			assert.Assert(t, c.voter(address).Status().GetVoting())
		}
		assert.Assert(t, !c.voter("v3").Status().GetVoting())
	})
}

// TestVotersThatLeaveInTurnAreReplaced guards against a group that loses its majority, and with it all that it
// acknowledged, since voters that are replaced as planned stop one right after the other.
func TestVotersThatLeaveInTurnAreReplaced(t *testing.T) {
	simulateWithSpares(t, 35, func(t *testing.T, c *cluster) {
		for _, address := range []string{"v1", "v2"} {
			assert.NilError(t, c.leave(address))
			c.crash(address)
		}
		assertCurrent(t, c.voter("v0"), 1)
		assertAccepted(t, c.voter("v3"), change("b", 1), 2)
	})
}

// TestLeavingInstancesBecomeNoVoters checks that a vote goes to no instance that is about to stop as well.
func TestLeavingInstancesBecomeNoVoters(t *testing.T) {
	simulateWithSpares(t, 36, func(t *testing.T, c *cluster) {
		assert.NilError(t, c.leave("v3"))
		assert.NilError(t, c.leave("v1"))
		c.crash("v1")
		c.crash("v3")
		assertCurrent(t, c.voter("v4"), 1)
		assert.Equal(t, len(c.voter("v0").Electorate().Voters()), 3)
		assert.Assert(t, slices.Contains(c.voter("v0").Electorate().Voters(), "v4"))
		// Nobody is left to take over.
		assert.ErrorContains(t, c.leave("v2"), "no other instance")
		assertAccepted(t, c.voter("v0"), change("b", 1), 2)
	})
}

// TestLeavingChangesNothingWithoutSuccessors checks that a planned stop of a group that only the document names ends at once.
func TestLeavingChangesNothingWithoutSuccessors(t *testing.T) {
	simulate(t, 37, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		start := time.Now()
		assert.NilError(t, c.leave("v1"))
		assert.Assert(t, time.Since(start) < time.Millisecond)
		assertAccepted(t, c.voter("v2"), change("b", 1), 2)
	})
}

// leave lets the voter of an instance leave the group, as in a planned stop.
func (c *cluster) leave(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.voter(address).Leave(ctx)
}

// simulateWithSpares runs test on three voters, one of which may be lost, and two instances that do not vote, with
// version 1 accepted.
func simulateWithSpares(t *testing.T, seed uint64, test func(t *testing.T, c *cluster)) {
	t.Helper()
	simulate(t, seed, 3, func(t *testing.T, c *cluster) {
		c.toleratedLosses = 1
		c.restartAll()
		c.setSources([]string{"v3", "v4"})
		c.add("v3")
		c.add("v4")
		time.Sleep(5 * time.Second)
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		test(t, c)
	})
}
