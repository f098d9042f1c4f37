package voter_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

const (
	// startTime is how long a process takes from the return of its machine to its first message.
	startTime = 400 * time.Millisecond
	// joinTime is how long after that it takes to learn where the others are.
	joinTime = 300 * time.Millisecond
	// changeInterval is the time between two changes.
	changeInterval = 10 * time.Millisecond
	// recoveryTime bounds the time from the return of all machines to a confirmed read.
	recoveryTime = 15 * time.Second
)

// catchUpTimes are how long after its return an instance with an empty disk still counts as
// lost, by the number of losses that are tolerated at the same time.
var catchUpTimes = map[int]time.Duration{1: 4 * time.Second, 2: 6 * time.Second}

// powerOff ends instances at once; nothing answers at their addresses.
func (c *cluster) powerOff(addresses ...string) {
	var ended []*voter.Voter
	for _, address := range addresses {
		c.isolate(address, true, true)
		if v := c.kill(address); v != nil {
			ended = append(ended, v)
		}
	}
	for _, v := range ended {
		assert.Check(c.t, v.Stop())
	}
}

// powerOn returns machines, those in wiped with empty disks, and starts their processes. These
// name no initial voters, and learn only after joinTime where the others are.
func (c *cluster) powerOn(addresses, wiped []string) {
	for _, address := range addresses {
		c.isolate(address, false, false)
		if slices.Contains(wiped, address) {
			c.mu.Lock()
			c.instances[address].disk = &disk{}
			c.mu.Unlock()
		}
	}
	time.Sleep(startTime)
	initial, sources := c.initial, c.knownSources()
	c.initial = nil
	c.setSources(nil)
	for _, address := range addresses {
		c.start(address)
	}
	c.initial = initial
	time.Sleep(joinTime)
	c.setSources(sources)
}

// acceptedChanges submits changes one after another until ctx ends, and returns a channel that
// receives the number of the last one that was acknowledged.
func (c *cluster) acceptedChanges(ctx context.Context, address string, known uint64) <-chan uint64 {
	result := make(chan uint64, 1)
	go func() {
		for v := c.voter(address); sleepUntilDone(ctx, changeInterval); {
			resp, err := v.Submit(ctx, change(fmt.Sprintf("change-%d", known+1), known))
			if err == nil && resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
				known = resp.GetVersion()
			}
		}
		result <- known
	}()
	return result
}

// acceptedOrders evacuates a failure domain and ends that, again and again until ctx ends, and
// returns a channel that receives the revision of the last order that was acknowledged.
func (c *cluster) acceptedOrders(ctx context.Context, address string) <-chan uint64 {
	result := make(chan uint64, 1)
	go func() {
		revision := uint64(0)
		for v := c.voter(address); sleepUntilDone(ctx, changeInterval); {
			evacuation, err := v.SetEvacuated(ctx, "domain-a", revision%2 == 0)
			if err == nil {
				revision = evacuation.GetRevision()
			}
		}
		result <- revision
	}()
	return result
}

// sleepUntilDone sleeps for d, and reports whether ctx is still valid.
func sleepUntilDone(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return ctx.Err() == nil
}

// assertReadBack checks that all instances read the version, or one on top of it that was
// submitted too, within recoveryTime.
func assertReadBack(t testing.TB, c *cluster, addresses []string, version uint64) {
	t.Helper()
	end := time.Now().Add(recoveryTime)
	for _, address := range addresses {
		for {
			state, err := c.voter(address).Current(context.Background())
			if err == nil {
				number := state.Version().GetDigest().GetNumber()
				assert.Assert(t, number == version || number == version+1, "%s reads version %d, %d was acknowledged", address, number, version)
				break
			}
			assert.Assert(t, time.Now().Before(end), "%s: %v", address, err)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// loseDisksAfterCatchUp lets changes follow one another without a pause while the replacement of
// voters that begin does takes place. Once the instances of begin no longer count as lost, second
// lose their disks while all others lose power.
func (c *cluster) loseDisksAfterCatchUp(survivor string, second []string, losses int, begin func() (back time.Time)) {
	ctx, cancel := context.WithCancel(context.Background())
	accepted := c.acceptedChanges(ctx, survivor, 1)
	back := begin()
	time.Sleep(time.Until(back.Add(catchUpTimes[losses])))
	cancel()
	version := <-accepted
	running := c.runningAddresses()
	c.powerOff(running...)
	time.Sleep(time.Second)
	c.powerOn(running, second)
	assertReadBack(c.t, c, running, version)
}

// TestAcknowledgedWorkSurvivesPowerLoss cuts the power of all instances at a random moment among
// changes and evacuation orders. As many disks as are tolerated are lost, those of the instances
// that accepted last.
func TestAcknowledgedWorkSurvivesPowerLoss(t *testing.T) {
	simulateLosses(t, 40, func(t *testing.T, c *cluster, random *rand.Rand, losses int) {
		ctx, cancel := context.WithCancel(context.Background())
		changes := c.acceptedChanges(ctx, c.initial[random.IntN(len(c.initial))], 1)
		orders := c.acceptedOrders(ctx, c.initial[random.IntN(len(c.initial))])
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		wiped := c.newestAcceptors()[:losses]
		c.powerOff(c.initial...)
		cancel()
		version, revision := <-changes, <-orders
		time.Sleep(time.Second)
		c.powerOn(c.initial, wiped)
		assertReadBack(t, c, c.initial, version)
		state, err := c.voter("v0").Current(context.Background())
		assert.NilError(t, err)
		got := state.Evacuation().GetRevision()
		assert.Assert(t, got == revision || got == revision+1, "revision %d, %d was acknowledged", got, revision)
	})
}

// newestAcceptors returns the instances, those first that accepted a state at the newest ballot.
func (c *cluster) newestAcceptors() []string {
	rounds := make(map[string]uint64)
	for _, address := range c.initial {
		resp, err := c.voter(address).Peer().Query(context.Background(), &voterwire.QueryRequest{})
		assert.NilError(c.t, err)
		rounds[address] = resp.GetPosition().GetAccepted().GetRound()
	}
	return slices.SortedStableFunc(slices.Values(c.initial), func(a, b string) int { return cmp.Compare(rounds[b], rounds[a]) })
}

func simulateLosses(t *testing.T, seeds uint64, test func(t *testing.T, c *cluster, random *rand.Rand, losses int)) {
	t.Helper()
	for seed := range seeds {
		losses := 1 + int(seed%2)
		t.Run(fmt.Sprintf("seed-%d-losses-%d", seed, losses), func(t *testing.T) {
			simulate(t, 200+seed, 2*losses+1, func(t *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(seed, 5))
				c.toleratedLosses = losses
				c.setSources(c.initial)
				c.setNetwork(0, 0, 10*time.Millisecond)
				c.restartAll()
				time.Sleep(5*time.Second + time.Duration(random.Int64N(int64(time.Second))))
				assertAccepted(t, c.voter("v0"), change("change-1", 0), 1)
				test(t, c, random, losses)
			})
		})
	}
}

// TestDisksLostOneAfterAnother loses as many disks as are tolerated, and as many others once the
// first no longer count as lost.
func TestDisksLostOneAfterAnother(t *testing.T) {
	simulateLosses(t, 24, func(_ *testing.T, c *cluster, random *rand.Rand, losses int) {
		order := random.Perm(len(c.initial))
		first, second := c.addressesAt(order[:losses]), c.addressesAt(order[losses:2*losses])
		c.loseDisksAfterCatchUp(c.initial[order[2*losses]], second, losses, func() time.Time {
			c.powerOff(first...)
			time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
			back := time.Now()
			c.powerOn(first, first)
			return back
		})
	})
}

// TestDisksLostAfterVoterLeft loses a voter for good, which another instance succeeds, and then as
// many disks as are tolerated.
func TestDisksLostAfterVoterLeft(t *testing.T) {
	simulateLosses(t, 24, func(_ *testing.T, c *cluster, random *rand.Rand, losses int) {
		order := random.Perm(len(c.initial))
		second := c.addressesAt(order[1 : 1+losses])
		c.loseDisksAfterCatchUp(c.initial[order[2*losses]], second, losses, func() time.Time {
			c.powerOff(c.initial[order[0]])
			time.Sleep(time.Second)
			started := time.Now()
			time.Sleep(startTime)
			initial := c.initial
			c.initial = nil
			c.add("successor")
			c.initial = initial
			c.setSources(append(slices.Clone(initial), "successor"))
			return started
		})
	})
}

// runningAddresses returns the addresses of the instances that run.
func (c *cluster) runningAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for address, inst := range c.instances {
		if inst.voter != nil {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

func (c *cluster) addressesAt(indexes []int) []string {
	var list []string
	for _, i := range indexes {
		list = append(list, c.initial[i])
	}
	return list
}
