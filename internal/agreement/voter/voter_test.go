package voter_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

func TestResendReturnsFirstResponse(t *testing.T) {
	simulate(t, 1, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		assertConflict(t, c.voter("v1"), change("b", 0), "a")
		assertAccepted(t, c.voter("v1"), change("a2", 1), 2)
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertAccepted(t, c.voter("v2"), change("a", 0), 1)
		assertAccepted(t, c.voter("v0"), change("a2", 1), 2)
		assertConflict(t, c.voter("v2"), change("b", 0), "a")
		_, err := c.voter("v2").Submit(context.Background(), change("a", 1))
		assert.ErrorIs(t, err, voter.ErrInvalid)
		_, err = c.voter("v2").Submit(context.Background(), change("c", 9))
		assert.ErrorIs(t, err, voter.ErrBaseTooNew)
	})
}

func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	simulate(t, 2, 3, func(t *testing.T, c *cluster) {
		type outcome struct {
			id   string
			resp *controlwire.SubmitResponse
			err  error
		}
		outcomes := make(chan outcome, 6)
		for i := range cap(outcomes) {
			go func() {
				id := fmt.Sprintf("race-%d", i)
				resp, err := c.voter(c.initial[i%3]).Submit(context.Background(), change(id, 0))
				outcomes <- outcome{id, resp, err}
			}()
		}
		winners := make(map[string]int)
		for range cap(outcomes) {
			o := <-outcomes
			assert.NilError(t, o.err)
			if o.resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
				winners[o.id]++
			} else {
				winners[o.resp.GetWinner().GetChangeId()]++
			}
		}
		assert.Equal(t, len(winners), 1, "%v", winners)
		assertCurrent(t, c.voter("v1"), 1)
	})
}

func TestIsolatedInstanceIsStale(t *testing.T) {
	for name, directions := range map[string][2]bool{"both": {true, true}, "in": {true, false}, "out": {false, true}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, 3, func(t *testing.T, c *cluster) {
				assertAccepted(t, c.voter("v0"), change("a", 0), 1)
				c.isolate("v0", directions[0], directions[1])
				assertAccepted(t, c.voter("v1"), change("b", 1), 2)
				ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
				defer cancel()
				_, err := c.voter("v0").Submit(ctx, change("c", 1))
				assert.ErrorIs(t, err, voter.ErrNoMajority)
				assert.NilError(t, ctx.Err(), "Submit returned too late")
				assertStale(t, c.voter("v0"))
				assert.Assert(t, !c.voter("v1").Status().GetStale())
				c.isolate("v0", false, false)
				time.Sleep(3 * time.Second)
				assert.Assert(t, !c.voter("v0").Status().GetStale())
				assertCurrent(t, c.voter("v0"), 2)
			})
		})
	}
}

// TestGroupRecoversFromFullIsolation makes heartbeats last longer than their interval
// at all voters at once. Under the race detector it failed when heartbeats used
// tickers, which then expired without a receiver.
func TestGroupRecoversFromFullIsolation(t *testing.T) {
	simulate(t, 19, 7, func(t *testing.T, c *cluster) {
		c.setConstantDelay()
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		setPartition(c, true, c.initial, c.initial)
		time.Sleep(4 * time.Hour)
		for _, address := range c.initial {
			assert.Assert(t, c.voter(address).Status().GetStale())
		}
		setPartition(c, false, c.initial, c.initial)
		time.Sleep(10 * time.Second)
		for _, address := range c.initial {
			assert.Assert(t, !c.voter(address).Status().GetStale())
		}
		assertAccepted(t, c.voter("v1"), change("b", 1), 2)
	})
}

func TestFrozenProposerDoesNotOverwriteChange(t *testing.T) {
	simulate(t, 4, 3, func(t *testing.T, c *cluster) {
		v0 := c.voter("v0")
		// v0 freezes after the promises and before the accept requests arrive.
		c.setFilter(func(_ string, req proto.Message) error {
			if _, ok := req.(*voterwire.AcceptRequest); ok && c.instances["v0"].frozen == nil {
				c.instances["v0"].frozen = make(chan struct{})
			}
			return nil
		})
		done := make(chan error, 1)
		go func() {
			_, err := v0.Submit(context.Background(), change("frozen", 0))
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		c.setFilter(nil)
		assertAccepted(t, c.voter("v1"), change("b", 0), 1)
		time.Sleep(time.Minute)
		c.unfreeze("v0")
		assert.ErrorIs(t, <-done, voter.ErrOutcomeUnknown)
		assertCurrent(t, c.voter("v2"), 1)
		assertConflict(t, v0, change("frozen", 0), "b")
	})
}

// awaitRepaired waits until the group's voters have the current identities of the
// instances and no replacement is in progress.
func awaitRepaired(t testing.TB, c *cluster, observer string) {
	t.Helper()
	for range 60 {
		repaired := 0
		for _, s := range c.voter(observer).Status().GetVoters() {
			if s.GetVoting() && s.GetIdentity() == c.voter(s.GetAddress()).Identity() {
				repaired++
			}
		}
		if repaired == len(c.initial) {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("the group was not repaired")
}

func TestGroupSurvivesConsecutiveDiskLosses(t *testing.T) {
	simulate(t, 5, 3, func(t *testing.T, c *cluster) {
		// Only v0 and v2 hold the change when v2 loses its disk.
		c.crash("v1")
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		old := c.voter("v2").Identity()
		c.start("v1")
		c.loseDisk("v2")
		assert.Assert(t, c.voter("v2").Identity() != old)
		awaitRepaired(t, c, "v0")
		// A second disk is lost right after the repair.
		c.loseDisk("v0")
		assertCurrent(t, c.voter("v1"), 1)
		awaitRepaired(t, c, "v1")
		c.loseDisk("v1")
		awaitRepaired(t, c, "v2")
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		assertAccepted(t, c.voter("v1"), change("b", 1), 2)
	})
}

// restartWithoutInitialVoters crashes an instance and starts it with settings that name no initial voters.
func (c *cluster) restartWithoutInitialVoters(address string) {
	c.crash(address)
	initial := c.initial
	c.initial = nil
	c.start(address)
	c.initial = initial
}

// TestGroupFormsWithARestartedVoter guards against a group that never forms, since an initial voter was restarted
// before and its settings do not name the voters any more.
func TestGroupFormsWithARestartedVoter(t *testing.T) {
	for _, address := range []string{"v1", "v2"} {
		t.Run(address, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 22, 3)
				c.setSources(c.initial)
				c.restartWithoutInitialVoters(address)
				time.Sleep(10 * time.Second)
				assertAccepted(t, c.voter("v0"), change("a", 0), 1)
				time.Sleep(2 * time.Second)
				assertCurrent(t, c.voter(address), 1)
			})
		})
	}
}

// TestInstanceThatFindsAGroupJoinsNoOther guards against a second group of instances that know of the first one.
func TestInstanceThatFindsAGroupJoinsNoOther(t *testing.T) {
	simulate(t, 23, 3, func(t *testing.T, c *cluster) {
		c.initial, c.sources = nil, []string{"v0"}
		c.add("v3")
		v := c.voter("v3")
		resp, err := v.Peer().Reserve(context.Background(), &voterwire.ReserveRequest{Genesis: &voterwire.State{
			Group:      "other",
			Membership: &voterwire.Membership{Voters: []*voterwire.Member{{Identity: v.Identity(), Address: "v3"}}},
		}})
		assert.NilError(t, err)
		assert.Assert(t, !resp.GetReserved(), "%s", resp.GetReason())
	})
}

// TestAddedVoterRecoversFromDiskLoss loses the disk of a voter whose settings name no
// initial voters from which it could fetch the state.
func TestAddedVoterRecoversFromDiskLoss(t *testing.T) {
	simulate(t, 20, 3, func(t *testing.T, c *cluster) {
		initial := c.initial
		c.initial, c.sources = nil, []string{"v1"}
		c.add("v3")
		c.crash("v2")
		req := change("a", 0)
		req.Document.Entries = append(req.Document.Entries, document("control", "voters", "v0,v1,v3").Entries...)
		assertAccepted(t, c.voter("v0"), req, 1)
		c.loseDisk("v3")
		c.initial = initial
		awaitRepaired(t, c, "v0")
		c.crash("v0")
		assertCurrent(t, c.voter("v3"), 1)
	})
}

// TestFailedRepairDoesNotMakeInstanceStale checks that failed attempts to repair
// the group do not make an instance stale that reaches a majority.
func TestFailedRepairDoesNotMakeInstanceStale(t *testing.T) {
	simulate(t, 21, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.loseDisk("v2")
		time.Sleep(time.Second)
		c.instances["v2"].disk.setAppendFault(func() (bool, error) { return false, journaler.ErrDiskFull })
		for range 200 {
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, !c.voter("v0").Status().GetStale())
		}
		assertAccepted(t, c.voter("v0"), change("b", 1), 2)
	})
}

func TestNewIdentityDoesNotVote(t *testing.T) {
	simulate(t, 12, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		c.crash("v1")
		c.loseDisk("v2")
		time.Sleep(10 * time.Second)
		assertStale(t, c.voter("v0"))
		c.start("v1")
		awaitRepaired(t, c, "v0")
		assertCurrent(t, c.voter("v2"), 1)
	})
}

func TestDiskLossFormsNoSecondGroup(t *testing.T) {
	simulate(t, 6, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v1"), change("a", 0), 1)
		c.crash("v2")
		c.loseDisk("v0") // The instance that forms groups.
		time.Sleep(20 * time.Second)
		assert.Assert(t, !c.voter("v0").Status().GetVoting())
		_, err := c.voter("v0").Submit(context.Background(), change("b", 0))
		assert.Assert(t, err != nil)
		c.start("v2")
		awaitRepaired(t, c, "v1")
		assertCurrent(t, c.voter("v0"), 1)
	})
}

func TestSubmittedVotersReplaceCurrentOnes(t *testing.T) {
	simulate(t, 7, 3, func(t *testing.T, c *cluster) {
		c.add("v3")
		c.add("v4")
		req := change("grow", 0)
		req.Document.Entries = append(req.Document.Entries, document("control", "voters", "v0, v1, v2, v3, v4").Entries...)
		assertAccepted(t, c.voter("v1"), req, 1)
		// The replacement has ended when the response arrives.
		fetched, err := c.voter("v1").Peer().FetchState(context.Background(), &voterwire.FetchStateRequest{})
		assert.NilError(t, err)
		membership := fetched.GetTransfer().GetSnapshot().GetMembership()
		assert.Equal(t, len(membership.GetVoters()), 5)
		assert.Equal(t, len(membership.GetPrevious()), 0)
		time.Sleep(3 * time.Second)
		c.crash("v0")
		c.crash("v1")
		assertCurrent(t, c.voter("v4"), 1)
		c.start("v0")
		c.start("v1")
		time.Sleep(3 * time.Second)
		req = change("shrink", 1)
		req.Document.Entries = append(req.Document.Entries, document("control", "voters", "v2,v3,v4").Entries...)
		assertAccepted(t, c.voter("v0"), req, 2)
		time.Sleep(3 * time.Second)
		c.crash("v1")
		c.crash("v2")
		assertAccepted(t, c.voter("v0"), change("after", 2), 3)
		assert.Assert(t, !c.voter("v0").Status().GetVoting())
	})
}

// replaceAllVoters returns the submission "a", which makes v3, v4 and v5 the voters.
func replaceAllVoters() *controlwire.SubmitRequest {
	req := change("a", 0)
	req.Document.Entries = append(req.Document.Entries, document("control", "voters", "v3,v4,v5").Entries...)
	return req
}

// setPartition blocks the messages between two sets of instances, or unblocks
// them.
func setPartition(c *cluster, block bool, a []string, b []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			c.blocked[link{x, y}], c.blocked[link{y, x}] = block, block
		}
	}
}

// blockStates returns a filter that blocks accept requests to the given instances
// and all requests for states, so that only chosen states can reach them.
func blockStates(addresses ...string) func(to string, req proto.Message) error {
	return func(to string, req proto.Message) error {
		switch req.(type) {
		case *voterwire.AcceptRequest:
			if slices.Contains(addresses, to) {
				return errUnreachable
			}
		case *voterwire.FetchStateRequest:
			return errUnreachable
		}
		return nil
	}
}

func TestInterruptedReplacement(t *testing.T) {
	simulate(t, 13, 3, func(t *testing.T, c *cluster) {
		newVoters := []string{"v3", "v4", "v5"}
		for _, address := range newVoters {
			c.add(address)
		}
		// The state reaches the new voters and v0, but no majority of the old ones.
		c.setFilter(blockStates("v1", "v2"))
		_, err := c.voter("v0").Submit(context.Background(), replaceAllVoters())
		assert.ErrorIs(t, err, voter.ErrOutcomeUnknown)
		setPartition(c, true, append(newVoters, "v0"), []string{"v1", "v2"})
		c.setFilter(nil)
		assertStale(t, c.voter("v0"))
		assertStale(t, c.voter("v3"))
		assertAccepted(t, c.voter("v1"), change("b", 0), 1)
		setPartition(c, false, append(newVoters, "v0"), []string{"v1", "v2"})
		assertConflict(t, c.voter("v0"), replaceAllVoters(), "b")
	})
}

func TestReturningVoterLearnsOfReplacement(t *testing.T) {
	simulate(t, 14, 3, func(t *testing.T, c *cluster) {
		newVoters := []string{"v3", "v4", "v5"}
		for _, address := range newVoters {
			c.add(address)
		}
		c.isolate("v0", true, true)
		assertAccepted(t, c.voter("v1"), replaceAllVoters(), 1)
		time.Sleep(3 * time.Second)
		setPartition(c, true, newVoters, []string{"v1", "v2"})
		assertAccepted(t, c.voter("v3"), change("b", 1), 2)
		// Failed attempts give v0 the newest ballots.
		for range 5 {
			assertStale(t, c.voter("v0"))
		}
		c.isolate("v0", false, false)
		assertConflict(t, c.voter("v0"), change("late", 1), "b")
	})
}

func TestVoterReturnsAfterAllWereReplaced(t *testing.T) {
	simulate(t, 16, 3, func(t *testing.T, c *cluster) {
		newVoters := []string{"v3", "v4", "v5"}
		for _, address := range newVoters {
			c.add(address)
		}
		c.crash("v0")
		assertAccepted(t, c.voter("v1"), replaceAllVoters(), 1)
		time.Sleep(3 * time.Second)
		c.crash("v1")
		c.crash("v2")
		c.initial = newVoters // As an operator would set it in the settings of v0.
		c.start("v0")
		time.Sleep(5 * time.Second)
		assertAccepted(t, c.voter("v0"), change("b", 1), 2)
		assert.Assert(t, !c.voter("v0").Status().GetVoting())
	})
}

// TestOutdatedVotersReturn restarts two voters of five that were down while all
// five were replaced. Of the voters that each knows, only the other one responds,
// which is outdated too.
func TestOutdatedVotersReturn(t *testing.T) {
	simulate(t, 23, 5, func(t *testing.T, c *cluster) {
		for i := range uint64(3) {
			assertAccepted(t, c.voter("v0"), change(fmt.Sprint(i), i), i+1)
			time.Sleep(time.Second)
		}
		c.crash("v0")
		c.crash("v1")
		c.sources = []string{"v5", "v6", "v7"}
		for _, address := range c.sources {
			c.add(address)
		}
		req := change("a", 3)
		req.Document.Entries = append(req.Document.Entries, document("control", "voters", "v5,v6,v7").Entries...)
		assertAccepted(t, c.voter("v2"), req, 4)
		for _, address := range []string{"v2", "v3", "v4"} {
			c.crash(address)
		}
		c.start("v0")
		c.start("v1")
		time.Sleep(5 * time.Second)
		assertCurrent(t, c.voter("v0"), 4)
		assertCurrent(t, c.voter("v1"), 4)
	})
}

// promiseUnusedBallot makes a voter promise a ballot that no proposer uses.
func promiseUnusedBallot(t testing.TB, c *cluster, address string) {
	t.Helper()
	held, err := c.voter("v0").Peer().Query(context.Background(), &voterwire.QueryRequest{})
	assert.NilError(t, err)
	resp, err := c.voter(address).Peer().Prepare(context.Background(), &voterwire.PrepareRequest{
		Group: held.GetPosition().GetGroup(), To: c.voter(address).Identity(),
		Ballot: &voterwire.Ballot{Round: 1000, Proposer: "crashed"},
	})
	assert.NilError(t, err)
	assert.Assert(t, resp.GetPromised())
}

// TestPromisedVoterCatchesUp checks that a voter that promised a newer ballot
// before it got the group's first state catches up even without a change.
func TestPromisedVoterCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 22, 3)
		c.setFilter(blockStates("v2"))
		awaitGroup(t, c.voter("v0"))
		promiseUnusedBallot(t, c, "v2")
		c.setFilter(nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, c.voter("v2").Local() != nil)
		assertCurrent(t, c.voter("v2"), 0)
	})
}

func TestMinorityAcceptIsCompleted(t *testing.T) {
	simulate(t, 15, 3, func(t *testing.T, c *cluster) {
		c.setFilter(blockStates("v1", "v2"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.voter("v0").Submit(ctx, change("a", 0))
		assert.ErrorIs(t, err, voter.ErrOutcomeUnknown)
		// Promises to a proposer that crashed keep the others from catching up.
		for _, address := range c.initial {
			promiseUnusedBallot(t, c, address)
		}
		c.setFilter(nil)
		time.Sleep(10 * time.Second)
		for _, address := range c.initial {
			assert.Equal(t, len(c.voter(address).Local().History()), 1)
		}
	})
}

func TestUnavailableNewVoterIsNotAdded(t *testing.T) {
	simulate(t, 8, 3, func(t *testing.T, c *cluster) {
		c.add("v3")
		c.crash("v3")
		req := &controlwire.SubmitRequest{ChangeId: "grow", Document: document("control", "voters", "v0,v1,v2,v3")}
		_, err := c.voter("v1").Submit(context.Background(), req)
		assert.ErrorIs(t, err, voter.ErrVoterNotReady)
		// An instance that responds but can't store the state is not added either.
		c.start("v3")
		c.instances["v3"].disk.setAppendFault(func() (bool, error) { return false, journaler.ErrDiskFull })
		_, err = c.voter("v1").Submit(context.Background(), req)
		assert.ErrorIs(t, err, voter.ErrOutcomeUnknown)
		assertAccepted(t, c.voter("v2"), change("a", 0), 1)
	})
}

func TestCatchUpWithOneSnapshot(t *testing.T) {
	simulate(t, 9, 3, func(t *testing.T, c *cluster) {
		c.crash("v2")
		const changes = 400
		for i := range changes {
			assertAccepted(t, c.voter("v0"), change(fmt.Sprint(i), uint64(i)), uint64(i)+1)
		}
		c.start("v2")
		before := c.instances["v2"].disk.appendCount()
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.voter("v2").Local().Version().GetDigest().GetNumber(), uint64(changes))
		assert.Assert(t, c.instances["v2"].disk.appendCount()-before <= 2)
		assertAccepted(t, c.voter("v2"), change("0", 0), 1)
	})
}

func TestJournalIsBounded(t *testing.T) {
	simulate(t, 17, 3, func(t *testing.T, c *cluster) {
		const size, changes = 100 << 10, 100
		for i := range uint64(changes) {
			req := change(fmt.Sprint(i), i)
			req.Document.Entries[0].Value = strings.Repeat(fmt.Sprint(i%10), size)
			assertAccepted(t, c.voter("v0"), req, i+1)
		}
		time.Sleep(2 * time.Second)
		for _, address := range c.initial {
			assert.Assert(t, c.instances[address].handle.Appended() < 5<<20)
		}
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertCurrent(t, c.voter("v1"), changes)
	})
}

func TestDiskFull(t *testing.T) {
	simulate(t, 10, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		for _, address := range c.initial {
			c.instances[address].disk.setAppendFault(func() (bool, error) { return false, journaler.ErrDiskFull })
		}
		_, err := c.voter("v0").Submit(context.Background(), change("b", 1))
		assert.ErrorIs(t, err, voter.ErrNoMajority)
		assertCurrent(t, c.voter("v1"), 1)
		for _, address := range c.initial {
			c.instances[address].disk.setAppendFault(nil)
		}
		assertAccepted(t, c.voter("v0"), change("b", 1), 2)
	})
}

func TestFailedSyncEndsVotingUntilRestart(t *testing.T) {
	simulate(t, 11, 3, func(t *testing.T, c *cluster) {
		c.crash("v2")
		c.instances["v1"].disk.setAppendFault(func() (bool, error) { return true, journaler.ErrDiskFailed })
		_, err := c.voter("v0").Submit(context.Background(), change("a", 0))
		assert.Assert(t, errors.Is(err, voter.ErrNoMajority), err)
		c.instances["v1"].disk.setAppendFault(nil)
		_, err = c.voter("v0").Submit(context.Background(), change("a", 0))
		assert.Assert(t, errors.Is(err, voter.ErrNoMajority), err)
		assert.Assert(t, !c.voter("v1").Status().GetVoting())
		c.crash("v1")
		c.start("v1")
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
	})
}
