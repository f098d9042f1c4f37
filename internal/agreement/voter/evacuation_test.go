package voter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// evacuationRepair is the time in which voters finish an order whose proposer was killed.
const evacuationRepair = 5 * time.Second

// assertOrdered orders an evacuation or its end and checks the resulting list.
func assertOrdered(t testing.TB, v *voter.Voter, domain string, evacuated bool, want ...string) *controlwire.Evacuation {
	t.Helper()
	evacuation, err := v.SetEvacuated(context.Background(), domain, evacuated)
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(evacuation.GetFailureDomains(), want), "%v", evacuation.GetFailureDomains())
	return evacuation
}

// assertEvacuated checks the list that a majority confirms.
func assertEvacuated(t testing.TB, v *voter.Voter, want ...string) {
	t.Helper()
	state, err := v.Current(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(state.Evacuation().GetFailureDomains(), want), "%v", state.Evacuation().GetFailureDomains())
}

// assertReported checks the list that an instance last passed to OnEvacuation.
func assertReported(t testing.TB, c *cluster, address string, want ...string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	got := c.instances[address].evacuation.GetFailureDomains()
	assert.Assert(t, slices.Equal(got, want), "%s: %v", address, got)
}

func TestEvacuationStartsAndEnds(t *testing.T) {
	simulate(t, 41, 3, func(t *testing.T, c *cluster) {
		assertOrdered(t, c.voter("v0"), "b", true, "b")
		assertOrdered(t, c.voter("v1"), "a", true, "a", "b")
		assertOrdered(t, c.voter("v2"), "b", false, "a")
		assertOrdered(t, c.voter("v0"), "b", true, "a", "b")
		time.Sleep(2 * time.Second)
		for _, address := range c.initial {
			assertReported(t, c, address, "a", "b")
		}
	})
}

func TestEvacuationKeepsVersion(t *testing.T) {
	simulate(t, 42, 3, func(t *testing.T, c *cluster) {
		assertAccepted(t, c.voter("v0"), change("a", 0), 1)
		assertOrdered(t, c.voter("v1"), "b", true, "b")
		assertCurrent(t, c.voter("v2"), 1)
		assertAccepted(t, c.voter("v2"), change("c", 1), 2)
		assertEvacuated(t, c.voter("v0"), "b")
	})
}

func TestResentOrderHasSameResult(t *testing.T) {
	simulate(t, 43, 3, func(t *testing.T, c *cluster) {
		first := assertOrdered(t, c.voter("v0"), "a", true, "a")
		for _, address := range c.initial {
			again := assertOrdered(t, c.voter(address), "a", true, "a")
			assert.Equal(t, again.GetRevision(), first.GetRevision())
		}
		assertOrdered(t, c.voter("v1"), "b", false, "a")
		assertOrdered(t, c.voter("v1"), "a", false)
		ended := assertOrdered(t, c.voter("v2"), "a", false)
		assert.Equal(t, ended.GetRevision(), first.GetRevision()+1)
	})
}

func TestRacingOrdersDoNotUndoEachOther(t *testing.T) {
	for seed := range uint64(10) {
		simulate(t, seed, 3, func(t *testing.T, c *cluster) {
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() {
					_, err := c.voter(c.initial[i%3]).SetEvacuated(context.Background(), string(rune('a'+i)), true)
					assert.Check(t, err)
				})
			}
			wg.Go(func() { assert.Check(t, submitUntilAccepted(c, "v1")) })
			wg.Wait()
			assertEvacuated(t, c.voter("v2"), "a", "b", "c", "d", "e", "f")
			assertCurrent(t, c.voter("v0"), 1)
		})
	}
}

// submitUntilAccepted submits a change of version 0.
func submitUntilAccepted(c *cluster, address string) error {
	_, err := c.voter(address).Submit(context.Background(), change("beside", 0))
	return err
}

func TestInvalidOrdersChangeNothing(t *testing.T) {
	simulate(t, 44, 3, func(t *testing.T, c *cluster) {
		for _, name := range []string{"", "Two Words", strings.Repeat("x", 129)} {
			_, err := c.voter("v0").SetEvacuated(context.Background(), name, true)
			assert.ErrorIs(t, err, voter.ErrInvalid)
		}
		var accepted []string
		for i := range 10 {
			name := fmt.Sprintf("%s-%d", strings.Repeat("x", 120), i)
			if _, err := c.voter("v0").SetEvacuated(context.Background(), name, true); err != nil {
				assert.ErrorIs(t, err, voter.ErrTooManyEvacuated)
				break
			}
			accepted = append(accepted, name)
		}
		assert.Assert(t, len(accepted) > 0 && len(accepted) < 10)
		assertEvacuated(t, c.voter("v1"), accepted...)
		assertOrdered(t, c.voter("v2"), accepted[0], false, accepted[1:]...)
	})
}

// TestOrderOfDisconnectedOperatorIsDropped checks that an order that a paused instance finds
// after later ones has no effect.
func TestOrderOfDisconnectedOperatorIsDropped(t *testing.T) {
	simulate(t, 45, 3, func(t *testing.T, c *cluster) {
		assertOrdered(t, c.voter("v0"), "a", true, "a")
		assertOrdered(t, c.voter("v1"), "a", false)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := c.voter("v2").SetEvacuated(ctx, "a", true)
		assert.ErrorIs(t, err, voter.ErrAbandoned)
		assertEvacuated(t, c.voter("v0"))
	})
}

// TestFrozenProposerDoesNotUndoLaterOrder checks that an instance that was paused while it proposed
// an order does not propose it again after a later one, if its operator has disconnected.
func TestFrozenProposerDoesNotUndoLaterOrder(t *testing.T) {
	simulate(t, 51, 3, func(t *testing.T, c *cluster) {
		v0 := c.voter("v0")
		// v0 freezes after the promises and before the accept requests arrive.
		c.setFilter(func(_ string, req proto.Message) error {
			if _, ok := req.(*voterwire.AcceptRequest); ok && c.instances["v0"].frozen == nil {
				c.instances["v0"].frozen = make(chan struct{})
			}
			return nil
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		done := make(chan error, 1)
		go func() {
			_, err := v0.SetEvacuated(ctx, "a", true)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		c.setFilter(nil)
		cancel()
		assertOrdered(t, c.voter("v1"), "a", true, "a")
		assertOrdered(t, c.voter("v1"), "a", false)
		c.unfreeze("v0")
		assert.ErrorIs(t, <-done, voter.ErrOutcomeUnknown)
		time.Sleep(evacuationRepair)
		assertEvacuated(t, c.voter("v2"))
	})
}

// TestOrderInFaults begins every fault at every step of an order. The order is resent to
// another instance then, which acknowledges it, and it stays in force.
func TestOrderInFaults(t *testing.T) {
	for _, step := range steps {
		for _, f := range faults {
			if step.name == "sync" && errors.Is(f.appendErr, journaler.ErrDiskFull) {
				continue // A full disk keeps nothing of an append.
			}
			t.Run(step.name+"/"+f.name, func(t *testing.T) {
				simulate(t, 1, 3, func(t *testing.T, c *cluster) {
					c.setConstantDelay()
					assertOrdered(t, c.voter("v0"), "b", true, "b")
					time.Sleep(2 * time.Second)
					acknowledged := orderDuringFault(c, step, f)
					time.Sleep(faultDuration)
					if acknowledged {
						assertEvacuated(t, c.voter("v1"), "a", "b")
					}
					assertOrdered(t, c.voter("v2"), "a", true, "a", "b")
					c.restartAll()
					time.Sleep(5 * time.Second)
					for _, address := range c.initial {
						assertReported(t, c, address, "a", "b")
					}
				})
			})
		}
	}
}

// orderDuringFault orders an evacuation at v0 with a fault at one step, and reports whether it
// was acknowledged.
func orderDuringFault(c *cluster, step submissionStep, f fault) bool {
	v0 := c.voter("v0")
	if step.arm != nil {
		step.arm(c, func() { f.begin(c) }, f.appendErr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := v0.SetEvacuated(ctx, "a", true)
	if step.arm == nil {
		f.begin(c)
	}
	time.Sleep(faultDuration)
	c.setFilter(nil)
	f.end(c)
	return err == nil
}

// TestKilledProposerLeavesOrderToOthers kills the proposing instance after a majority has
// accepted the order and before it is acknowledged. The others finish it, also if it is not resent.
func TestKilledProposerLeavesOrderToOthers(t *testing.T) {
	simulate(t, 46, 3, func(t *testing.T, c *cluster) {
		c.setConstantDelay()
		c.setFilter(func(to string, req proto.Message) error {
			if _, ok := req.(*voterwire.AcceptRequest); ok && to == "v2" {
				return errUnreachable
			}
			return nil
		})
		acknowledged := make(chan error, 1)
		go func(v0 *voter.Voter) {
			_, err := v0.SetEvacuated(context.Background(), "a", true)
			acknowledged <- err // Reaches nobody: the process has ended.
		}(c.voter("v0"))
		// Two messages for the promises and one for the acceptance have arrived, its response has not.
		time.Sleep(3*c.maxDelay + c.maxDelay/2)
		assert.Equal(t, len(acknowledged), 0)
		killInstances("v0")(c)
		c.setFilter(nil)
		time.Sleep(evacuationRepair)
		assertReported(t, c, "v1", "a")
		assertReported(t, c, "v2", "a")
		assertOrdered(t, c.voter("v2"), "a", true, "a")
	})
}

func TestEvacuationSurvivesReplacedVoters(t *testing.T) {
	simulate(t, 47, 3, func(t *testing.T, c *cluster) {
		assertOrdered(t, c.voter("v0"), "a", true, "a")
		for _, address := range c.initial {
			c.loseDisk(address)
			awaitRepaired(t, c, "v0")
		}
		assertEvacuated(t, c.voter("v1"), "a")
		for _, address := range c.initial {
			assertReported(t, c, address, "a")
		}
	})
}

// TestEvacuationMovesToOtherVoters checks that voters at other addresses take the evacuation over
// with the document.
func TestEvacuationMovesToOtherVoters(t *testing.T) {
	simulate(t, 50, 3, func(t *testing.T, c *cluster) {
		assertOrdered(t, c.voter("v0"), "a", true, "a")
		for _, address := range []string{"v3", "v4", "v5"} {
			c.add(address)
		}
		time.Sleep(3 * time.Second)
		assertAccepted(t, c.voter("v1"), replaceAllVoters(), 1)
		time.Sleep(3 * time.Second)
		for _, address := range c.initial {
			c.crash(address)
		}
		assertEvacuated(t, c.voter("v4"), "a")
		assertOrdered(t, c.voter("v5"), "a", false)
	})
}

// TestTwoDisksLostAfterAcknowledgement checks that a group that tolerates two losses keeps an
// order although two voters lose their disks right after its acknowledgement.
func TestTwoDisksLostAfterAcknowledgement(t *testing.T) {
	simulate(t, 48, 5, func(t *testing.T, c *cluster) {
		c.toleratedLosses = 2
		c.restartAll()
		time.Sleep(2 * time.Second)
		assertOrdered(t, c.voter("v0"), "a", true, "a")
		c.loseDisk("v0")
		c.loseDisk("v1")
		time.Sleep(5 * time.Second)
		assertEvacuated(t, c.voter("v0"), "a")
		assertReported(t, c, "v1", "a")
	})
}

func TestIsolatedInstanceAcknowledgesNoOrder(t *testing.T) {
	simulate(t, 49, 3, func(t *testing.T, c *cluster) {
		assertOrdered(t, c.voter("v1"), "a", true, "a")
		time.Sleep(2 * time.Second)
		c.isolate("v0", true, true)
		for _, evacuated := range []bool{true, false} { // Also what v0 knows to be in force.
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			_, err := c.voter("v0").SetEvacuated(ctx, "a", evacuated)
			cancel()
			assert.ErrorIs(t, err, voter.ErrNoMajority)
		}
		assertOrdered(t, c.voter("v1"), "a", false)
		c.isolate("v0", false, false)
		time.Sleep(3 * time.Second)
		assertReported(t, c, "v0")
		assertEvacuated(t, c.voter("v0"))
	})
}

// TestOrdersAmongRandomFaults orders at random instances of a network that loses, repeats and
// delays messages, while instances crash. What was acknowledged last stays in force.
func TestOrdersAmongRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, seed, 3, func(t *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(seed, 3))
				c.setNetwork(0.1, 0.1, 20*time.Millisecond)
				want := map[string]bool{}
				for range 30 {
					domain, evacuated := string(rune('a'+random.IntN(3))), random.IntN(2) == 0
					if random.IntN(5) == 0 {
						restartInstances(c.initial[random.IntN(3)])(c)
					}
					for !tryOrder(c, c.initial[random.IntN(3)], domain, evacuated) {
						time.Sleep(100 * time.Millisecond)
					}
					want[domain] = evacuated
				}
				c.setNetwork(0, 0, time.Millisecond)
				time.Sleep(5 * time.Second)
				assertEvacuated(t, c.voter("v0"), trueKeys(want)...)
			})
		})
	}
}

func tryOrder(c *cluster, address, domain string, evacuated bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	_, err := c.voter(address).SetEvacuated(ctx, domain, evacuated)
	assert.Check(c.t, !errors.Is(err, voter.ErrInvalid))
	return err == nil
}

func trueKeys(m map[string]bool) []string {
	var keys []string
	for key, value := range m {
		if value {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
