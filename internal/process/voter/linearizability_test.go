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

	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// simulatedTime is how long faults come and go in one history.
	simulatedTime = 90 * time.Second
	clients       = 4
	disturbers    = 2
)

// input is what a client asked for: a submission, or a read if it has no id.
type input struct {
	id       string
	replaces uint64
}

// output is what a client was told. winner is the id of a change: of the
// version read, of the one accepted, or of the one that won a conflict.
type output struct {
	unknown  bool
	accepted bool
	version  uint64
	winner   string
}

// register is the sequential specification: a chain of changes, each of which
// replaces the one before. Its state is the list of their ids.
var register = porcupine.Model{
	Init: func() any { return []string(nil) },
	Step: func(state, in, out any) (bool, any) {
		chain, i, o := state.([]string), in.(input), out.(output)
		if i.id == "" {
			return o.version == uint64(len(chain)) && o.winner == idAt(chain, o.version), chain
		}
		next, want := submit(chain, i)
		return o.unknown || o == want, next
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
}

func submit(chain []string, i input) ([]string, output) {
	if at := slices.Index(chain, i.id); at >= 0 {
		return chain, output{accepted: true, version: uint64(at) + 1, winner: i.id}
	}
	if i.replaces == uint64(len(chain)) {
		chain = append(slices.Clip(chain), i.id)
		return chain, output{accepted: true, version: uint64(len(chain)), winner: i.id}
	}
	return chain, output{version: i.replaces + 1, winner: idAt(chain, i.replaces+1)}
}

func idAt(chain []string, version uint64) string {
	if version == 0 || version > uint64(len(chain)) {
		return ""
	}
	return chain[version-1]
}

// recorder collects the history of all clients.
type recorder struct {
	cluster *cluster
	start   time.Time
	ops     chan porcupine.Operation
}

// client reads, submits and resends until the time is up.
func (r *recorder) client(id int, random *rand.Rand) {
	known := uint64(0)
	for n := 0; time.Since(r.start) < simulatedTime; n++ {
		time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
		if random.IntN(3) == 0 {
			known = r.read(id, random, known)
		}
		req := change(fmt.Sprintf("%d-%d", id, n), known)
		for resend := true; resend; {
			out, again := r.submit(id, random, req)
			known = max(known, out.version)
			resend = again && time.Since(r.start) < 2*simulatedTime
		}
	}
}

// pick returns an instance that runs.
func (r *recorder) pick(random *rand.Rand) *voter.Voter {
	for {
		if v := r.cluster.voter(r.cluster.initial[random.IntN(len(r.cluster.initial))]); v != nil {
			return v
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *recorder) read(client int, random *rand.Rand, known uint64) uint64 {
	call := time.Since(r.start)
	state, err := r.pick(random).Current(context.Background())
	if err != nil {
		return known
	}
	version := state.Version().GetDigest().GetNumber()
	out := output{version: version}
	if history := state.History(); len(history) > 0 {
		out.winner = history[len(history)-1].GetChangeId()
	}
	r.record(client, input{}, call, out, time.Since(r.start))
	return version
}

// submit reports whether the change is to be sent again.
func (r *recorder) submit(client int, random *rand.Rand, req *controlwire.SubmitRequest) (output, bool) {
	call := time.Since(r.start)
	resp, err := r.pick(random).Submit(context.Background(), req)
	in := input{id: req.GetChangeId(), replaces: req.GetReplaces()}
	switch {
	case errors.Is(err, voter.ErrNoMajority), errors.Is(err, voter.ErrNoGroup):
		// The change was not proposed: the history must make sense without it.
		return output{}, random.IntN(2) == 0
	case errors.Is(err, voter.ErrOutcomeUnknown):
		r.record(client, in, call, output{unknown: true}, math.MaxInt64)
		return output{}, random.IntN(4) > 0
	case err != nil:
		assert.Check(r.cluster.t, err)
		return output{}, false
	}
	out := output{version: resp.GetWinner().GetNumber(), winner: resp.GetWinner().GetChangeId()}
	if resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
		out = output{accepted: true, version: resp.GetVersion(), winner: in.id}
	}
	r.record(client, in, call, out, time.Since(r.start))
	return out, false
}

func (r *recorder) record(client int, in input, call time.Duration, out output, ret time.Duration) {
	r.ops <- porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(ret)}
}

// disturb brings faults and ends them until the time is up.
func disturb(c *cluster, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		address := c.initial[random.IntN(len(c.initial))]
		fault, pause := random.IntN(8), time.Duration(random.Int64N(int64(8*time.Second)))
		if fault == 7 {
			c.setNetwork(0.2, 0.3, 300*time.Millisecond)
			time.Sleep(pause)
			c.setNetwork(0, 0, time.Millisecond)
			continue
		}
		if fault == 6 {
			c.restartAll()
			continue
		}
		if c.claim(address) {
			c.disturbOne(address, fault, pause, random)
			c.release(address)
		}
	}
}

func (c *cluster) disturbOne(address string, fault int, pause time.Duration, random *rand.Rand) {
	switch fault {
	case 0:
		c.crash(address)
		time.Sleep(pause)
		c.start(address)
	case 1:
		c.isolate(address, random.IntN(2) == 0, true)
		time.Sleep(pause)
		c.isolate(address, false, false)
	case 2:
		c.freeze(address)
		time.Sleep(pause)
		c.thaw(address)
	case 3:
		failSync(c, address, random)
		time.Sleep(pause)
		c.crash(address)
		c.start(address)
	case 4:
		fill(c, address, pause)
	case 5:
		loseIfWhole(c, address)
	}
}

// restartAll crashes all instances that no other fault holds, and starts them
// together.
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

// claim keeps two faults of one instance apart.
func (c *cluster) claim(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[address]
	if in.disturbed {
		return false
	}
	in.disturbed = true
	return true
}

func (c *cluster) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[address].disturbed = false
}

func (c *cluster) setNetwork(drop, double float64, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop, c.double, c.delay = drop, double, delay
}

func (d *disk) setFail(fail func() (bool, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = fail
}

// failSync makes one of the next syncs fail. Whether the record is kept is
// unknown to the voter.
func failSync(c *cluster, address string, random *rand.Rand) {
	left, kept := random.IntN(4), random.IntN(2) == 0
	c.instances[address].disk.setFail(func() (bool, error) {
		left--
		if left >= 0 {
			return true, nil
		}
		return kept, journaler.ErrDiskFailed
	})
}

func fill(c *cluster, address string, pause time.Duration) {
	d := c.instances[address].disk
	d.setFail(func() (bool, error) { return false, journaler.ErrDiskFull })
	time.Sleep(pause)
	d.setFail(nil)
}

// loseIfWhole takes the disk of an instance if every other one is a voter
// with the group's state: the loss of a majority is not promised to be survived.
func loseIfWhole(c *cluster, address string) {
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
	c.lose(address)
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
	r := &recorder{cluster: c, start: time.Now(), ops: make(chan porcupine.Operation, 10000)}
	done := make(chan struct{}, clients+disturbers)
	for id := range clients {
		go func() {
			r.client(id, rand.New(rand.NewPCG(seed, uint64(id)+10)))
			done <- struct{}{}
		}()
	}
	for id := range disturbers {
		go func() {
			disturb(c, rand.New(rand.NewPCG(seed, uint64(id)+100)), r.start.Add(simulatedTime))
			done <- struct{}{}
		}()
	}
	for range clients + disturbers {
		<-done
	}
	// At rest all instances agree.
	time.Sleep(20 * time.Second)
	last := r.read(clients, rand.New(rand.NewPCG(seed, 4)), 0)
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
	assert.Assert(t, porcupine.CheckOperations(register, history),
		"no order of the operations explains what the clients were told:\n%s", operations(history))
}

// operations is a history that is printed by the time of the calls.
type operations []porcupine.Operation

// String implements fmt.Stringer.
func (history operations) String() string {
	var b strings.Builder
	for _, op := range slices.SortedFunc(slices.Values(history), func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) }) {
		fmt.Fprintf(&b, "%v to %v: client %d, %+v: %+v\n", time.Duration(op.Call), time.Duration(op.Return), op.ClientId, op.Input, op.Output)
	}
	return b.String()
}

// TestLinearizableWithRecruits does what TestLinearizable does in a group that
// bears one loss and has two instances to spare, so that silent voters are
// replaced while the faults come and go.
func TestLinearizableWithRecruits(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, 100+seed, 3, func(t *testing.T, c *cluster) {
				c.tolerated = 1
				c.sources = []string{"v3", "v4"}
				c.restartAll()
				c.add("v3")
				c.add("v4")
				checkHistory(t, c, 100+seed)
			})
		})
	}
}
