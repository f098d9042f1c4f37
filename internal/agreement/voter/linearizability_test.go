package voter_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// injectionDuration is how long faults are injected in one test.
	injectionDuration = 90 * time.Second
	clientCount       = 4
	injectorCount     = 2
)

// input is a request of a client: a submission, or a read if it has no id.
type input struct {
	id       string
	replaces uint64
}

// output is the response to a client. changeID identifies the change that made the
// version read, that was accepted, or that won the conflict.
type output struct {
	unknown  bool
	accepted bool
	version  uint64
	changeID string
}

// registerModel is the sequential specification: a chain of changes, each of which
// replaces the one before. Its state is the list of their ids.
var registerModel = porcupine.Model{
	Init: func() any { return []string(nil) },
	Step: func(state, in, out any) (bool, any) {
		chain, i, o := state.([]string), in.(input), out.(output)
		if i.id == "" {
			return o.version == uint64(len(chain)) && o.changeID == changeIDAt(chain, o.version), chain
		}
		next, want := modelSubmit(chain, i)
		return o.unknown || o == want, next
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
}

func modelSubmit(chain []string, op input) ([]string, output) {
	if at := slices.Index(chain, op.id); at >= 0 {
		return chain, output{accepted: true, version: uint64(at) + 1, changeID: op.id}
	}
	if op.replaces == uint64(len(chain)) {
		chain = append(slices.Clip(chain), op.id)
		return chain, output{accepted: true, version: uint64(len(chain)), changeID: op.id}
	}
	return chain, output{version: op.replaces + 1, changeID: changeIDAt(chain, op.replaces+1)}
}

func changeIDAt(chain []string, version uint64) string {
	if version == 0 || version > uint64(len(chain)) {
		return ""
	}
	return chain[version-1]
}

// historyRecorder collects the history of all clients.
type historyRecorder struct {
	cluster *cluster
	start   time.Time
	ops     chan porcupine.Operation
}

// runClient reads, submits and resends until faultsDuration has passed.
func (r *historyRecorder) runClient(id int, random *rand.Rand) {
	known := uint64(0)
	for n := 0; time.Since(r.start) < injectionDuration; n++ {
		time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
		if random.IntN(3) == 0 {
			known = r.read(id, random, known)
		}
		req := change(fmt.Sprintf("%d-%d", id, n), known)
		for resend := true; resend; {
			out, again := r.submit(id, random, req)
			known = max(known, out.version)
			resend = again && time.Since(r.start) < 2*injectionDuration
		}
	}
}

// runningVoter returns a random instance that is running.
func (r *historyRecorder) runningVoter(random *rand.Rand) *voter.Voter {
	for {
		if v := r.cluster.voter(r.cluster.initial[random.IntN(len(r.cluster.initial))]); v != nil {
			return v
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *historyRecorder) read(client int, random *rand.Rand, known uint64) uint64 {
	call := time.Since(r.start)
	state, err := r.runningVoter(random).Current(context.Background())
	if err != nil {
		return known
	}
	version := state.Version().GetDigest().GetNumber()
	out := output{version: version}
	if history := state.History(); len(history) > 0 {
		out.changeID = history[len(history)-1].GetChangeId()
	}
	r.record(client, input{}, call, out, time.Since(r.start))
	return version
}

// submit submits a change and records the outcome. It reports whether to resend
// the change.
func (r *historyRecorder) submit(client int, random *rand.Rand, req *controlwire.SubmitRequest) (output, bool) {
	call := time.Since(r.start)
	resp, err := r.runningVoter(random).Submit(context.Background(), req)
	op := input{id: req.GetChangeId(), replaces: req.GetReplaces()}
	switch {
	case errors.Is(err, voter.ErrNoMajority), errors.Is(err, voter.ErrNoGroup):
		// The change was not proposed: the history must be linearizable without it.
		return output{}, random.IntN(2) == 0
	case errors.Is(err, voter.ErrOutcomeUnknown):
		r.record(client, op, call, output{unknown: true}, math.MaxInt64)
		return output{}, random.IntN(4) > 0
	case err != nil:
		assert.Check(r.cluster.t, err)
		return output{}, false
	}
	out := output{version: resp.GetWinner().GetNumber(), changeID: resp.GetWinner().GetChangeId()}
	if resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
		out = output{accepted: true, version: resp.GetVersion(), changeID: op.id}
	}
	r.record(client, op, call, out, time.Since(r.start))
	return out, false
}

func (r *historyRecorder) record(client int, op input, call time.Duration, out output, ret time.Duration) {
	r.ops <- porcupine.Operation{ClientId: client, Input: op, Call: int64(call), Output: out, Return: int64(ret)}
}

// injectFaults begins and ends random faults until the given time.
func injectFaults(c *cluster, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		address := c.initial[random.IntN(len(c.initial))]
		fault, duration := random.IntN(8), time.Duration(random.Int64N(int64(8*time.Second)))
		if fault == 7 {
			c.setNetwork(0.2, 0.3, 300*time.Millisecond)
			time.Sleep(duration)
			c.setNetwork(0, 0, time.Millisecond)
			continue
		}
		if fault == 6 {
			c.restartAll()
			continue
		}
		if c.claim(address) {
			c.injectFault(address, fault, duration, random)
			c.release(address)
		}
	}
}

func (c *cluster) injectFault(address string, fault int, duration time.Duration, random *rand.Rand) {
	switch fault {
	case 0:
		if c.plannedStops {
			_ = c.leave(address) // It may fail, as after any stop: the group may lack a majority.
		}
		c.crash(address)
		time.Sleep(duration)
		c.start(address)
	case 1:
		c.isolate(address, random.IntN(2) == 0, true)
		time.Sleep(duration)
		c.isolate(address, false, false)
	case 2:
		c.freeze(address)
		time.Sleep(duration)
		c.unfreeze(address)
	case 3:
		failSync(c, address, random)
		time.Sleep(duration)
		c.crash(address)
		c.start(address)
	case 4:
		fillDisk(c, address, duration)
	case 5:
		loseDiskIfAllVote(c, address)
	}
}

// restartAll crashes all instances without another injected fault, and then
// restarts them.
func (c *cluster) restartAll() {
	var claimed []string
	for _, address := range c.initial {
		if c.claim(address) {
			claimed = append(claimed, address)
			c.crash(address)
		}
	}
	for _, address := range claimed {
		c.start(address)
		c.release(address)
	}
}

// claim reserves an instance for one fault. It returns false if another fault is
// injected there.
func (c *cluster) claim(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	inst := c.instances[address]
	if inst.faulty {
		return false
	}
	inst.faulty = true
	return true
}

func (c *cluster) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[address].faulty = false
}

func (c *cluster) setNetwork(lossRate, duplicateRate float64, maxDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossRate, c.duplicateRate, c.maxDelay = lossRate, duplicateRate, maxDelay
}

func (d *disk) setAppendFault(appendFault func() (bool, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.appendFault = appendFault
}

// failSync makes one of the next syncs fail. The voter can't know whether the
// record is kept.
func failSync(c *cluster, address string, random *rand.Rand) {
	left, kept := random.IntN(4), random.IntN(2) == 0
	c.instances[address].disk.setAppendFault(func() (bool, error) {
		left--
		if left >= 0 {
			return true, nil
		}
		return kept, journaler.ErrDiskFailed
	})
}

func fillDisk(c *cluster, address string, duration time.Duration) {
	d := c.instances[address].disk
	d.setAppendFault(func() (bool, error) { return false, journaler.ErrDiskFull })
	time.Sleep(duration)
	d.setAppendFault(nil)
}

// loseDiskIfAllVote loses the disk of an instance if all instances vote and hold
// the group's state, because the group need not survive the loss of a majority.
func loseDiskIfAllVote(c *cluster, address string) {
	for _, a := range c.initial {
		if c.voter(a) == nil || !c.voter(a).Status().GetVoting() {
			return
		}
	}
	for _, s := range c.voter(address).Status().GetVoters() {
		v := c.voter(s.GetAddress())
		if v == nil || !s.GetVoting() || s.GetIdentity() != v.Identity() {
			return
		}
	}
	c.loseDisk(address)
}

func TestLinearizable(t *testing.T) {
	for seed := range uint64(24) {
		n := 3 + 2*int(seed%2)
		t.Run(fmt.Sprintf("seed %d, %d voters", seed, n), func(t *testing.T) {
			simulate(t, seed, n, func(t *testing.T, c *cluster) {
				checkHistory(t, c, seed)
			})
		})
	}
}

func checkHistory(t *testing.T, c *cluster, seed uint64) {
	t.Helper()
	r := &historyRecorder{cluster: c, start: time.Now(), ops: make(chan porcupine.Operation, 10000)}
	done := make(chan struct{}, clientCount+injectorCount)
	for id := range clientCount {
		go func() {
			r.runClient(id, rand.New(rand.NewPCG(seed, uint64(id)+10)))
			done <- struct{}{}
		}()
	}
	for id := range injectorCount {
		go func() {
			injectFaults(c, rand.New(rand.NewPCG(seed, uint64(id)+100)), r.start.Add(injectionDuration))
			done <- struct{}{}
		}()
	}
	for range clientCount + injectorCount {
		<-done
	}
	// Without faults all instances converge.
	time.Sleep(20 * time.Second)
	last := r.read(clientCount, rand.New(rand.NewPCG(seed, 4)), 0)
	for _, address := range c.initial {
		assert.Equal(t, c.voter(address).Local().Version().GetDigest().GetNumber(), last)
	}
	assert.Assert(t, last > 0)
	close(r.ops)
	var history []porcupine.Operation
	for op := range r.ops {
		history = append(history, op)
	}
	t.Logf("%d operations, %d versions", len(history), last)
	assert.Assert(t, porcupine.CheckOperations(registerModel, history),
		"the history is not linearizable:\n%s", printableHistory(history))
}

// printableHistory is a history that is printed in the order of the calls.
type printableHistory []porcupine.Operation

// String implements fmt.Stringer.
func (history printableHistory) String() string {
	var b strings.Builder
	for _, op := range slices.SortedFunc(slices.Values(history), func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) }) {
		fmt.Fprintf(&b, "%v to %v: client %d, %+v: %+v\n", time.Duration(op.Call), time.Duration(op.Return), op.ClientId, op.Input, op.Output)
	}
	return b.String()
}

// TestLinearizableWithReplacedVoters runs TestLinearizable in a group that
// tolerates one loss and has two nonvoting instances, so that unresponsive voters
// are replaced while faults are injected.
func TestLinearizableWithReplacedVoters(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, 100+seed, 3, func(t *testing.T, c *cluster) {
				c.toleratedLosses = 1
				c.sources = []string{"v3", "v4"}
				c.restartAll()
				c.add("v3")
				c.add("v4")
				checkHistory(t, c, 100+seed)
			})
		})
	}
}

// TestLinearizableWithLeavingVoters runs TestLinearizableWithReplacedVoters with voters that hand their votes over
// before they stop.
func TestLinearizableWithLeavingVoters(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, 200+seed, 3, func(t *testing.T, c *cluster) {
				c.toleratedLosses, c.plannedStops = 1, true
				c.sources = []string{"v3", "v4"}
				c.restartAll()
				c.add("v3")
				c.add("v4")
				checkHistory(t, c, 200+seed)
			})
		})
	}
}
