package voter_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// numbered returns a change with a number of its own.
func numbered(id string, replaces, version uint64) *controlwire.SubmitRequest {
	req := change(id, replaces)
	req.Version = version
	return req
}

// TestOwnNumbers checks versions whose numbers the operator chooses.
func TestOwnNumbers(t *testing.T) {
	simulate(t, 31, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), numbered("a", 0, 4), 4)
		assertAccepted(t, c.voter("v1"), numbered("b", 4, 9), 9)
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertAccepted(t, c.voter("v2"), numbered("a", 0, 4), 4)
		assertAccepted(t, c.voter("v0"), numbered("b", 4, 9), 9)
		assertConflict(t, c.voter("v1"), numbered("c", 4, 9), "b")
		assertConflict(t, c.voter("v1"), numbered("d", 0, 20), "a")
		for _, version := range []uint64{1, 8, 9} {
			_, err := c.voter("v2").Submit(context.Background(), numbered("low", 9, version))
			assert.ErrorIs(t, err, voter.ErrInvalid)
		}
		assertAccepted(t, c.voter("v2"), change("next", 9), 10)
	})
}

// TestSilentVoterDelaysNothing checks that a majority is answered for at once
// while a voter takes requests and says nothing.
func TestSilentVoterDelaysNothing(t *testing.T) {
	simulate(t, 32, 3, func(t *testing.T, c *cluster) {
		c.setSteady()
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.freeze("v2")
		start := time.Now()
		assertCurrent(t, c.voter("v0"), 1)
		assertAccepted(t, c.voter("v1"), change("b", 1), 2)
		assertCurrent(t, c.voter("v0"), 2)
		took := time.Since(start)
		c.thaw("v2")
		assert.Assert(t, took < 500*time.Millisecond, "%s", took)
	})
}

// TestGroupGrowsBeforeItAcknowledges checks that a group of three that is to
// bear two losses takes in two more before it accepts anything.
func TestGroupGrowsBeforeItAcknowledges(t *testing.T) {
	simulate(t, 33, 3, func(t *testing.T, c *cluster) {
		c.tolerated = 2
		c.restartAll()
		_, err := c.voter("v0").Submit(context.Background(), change("early", 0))
		assert.ErrorIs(t, err, voter.ErrTooFewVoters)
		c.sources = []string{"v3", "v4"}
		c.add("v3")
		c.add("v4")
		time.Sleep(15 * time.Second)
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.lose("v0")
		c.lose("v1")
		assertCurrent(t, c.voter("v4"), 1)
	})
}

// TestSilentVoterIsReplaced checks that a voter that is gone for good is
// replaced by an instance at another address with nobody's hand, so that
// another one may be lost soon after.
func TestSilentVoterIsReplaced(t *testing.T) {
	simulate(t, 34, 3, func(t *testing.T, c *cluster) {
		c.tolerated = 1
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.lose("v0")
		time.Sleep(2 * time.Second)
		c.sources = []string{"v3"}
		c.add("v3")
		time.Sleep(6 * time.Second)
		c.lose("v1")
		assertCurrent(t, c.voter("v3"), 1)
		assertAccepted(t, c.voter("v2"), change("b", 1), 2)
	})
}

// TestReachableVoterKeepsItsPlace checks that an instance that is no voter
// takes nobody's place while all answer.
func TestReachableVoterKeepsItsPlace(t *testing.T) {
	simulate(t, 35, 3, func(t *testing.T, c *cluster) {
		c.tolerated = 1
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
