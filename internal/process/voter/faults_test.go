package voter_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// faultTime is how long a fault lasts.
const faultTime = 30 * time.Second

// fault is something that goes wrong at one step of a submission to v0.
type fault struct {
	name  string
	begin func(c *cluster)
	end   func(c *cluster)
	// disk is the answer of v0's disk if the fault meets it while it writes.
	disk error
}

var faults = []fault{
	{name: "the asked instance crashes", begin: killing("v0"), end: starting("v0"), disk: errUnreachable},
	{name: "the asked instance loses its disk", begin: killing("v0"), end: losing("v0"), disk: errUnreachable},
	{name: "another voter crashes", begin: killing("v1"), end: starting("v1")},
	{name: "another voter loses its disk", begin: killing("v1"), end: losing("v1")},
	{name: "all voters crash", begin: killing("v0", "v1", "v2"), end: starting("v0", "v1", "v2"), disk: errUnreachable},
	{name: "the asked instance freezes", begin: func(c *cluster) { c.freeze("v0") }, end: func(c *cluster) { c.thaw("v0") }},
	{name: "the asked instance is cut off", begin: cutting("v0", true, true), end: cutting("v0", false, false)},
	{name: "the asked instance receives nothing", begin: cutting("v0", true, false), end: cutting("v0", false, false)},
	{name: "the asked instance's messages are lost", begin: cutting("v0", false, true), end: cutting("v0", false, false)},
	{name: "another voter is cut off", begin: cutting("v1", true, true), end: cutting("v1", false, false)},
	{name: "a sync fails at the asked instance", begin: failing(journaler.ErrDiskFailed, "v0"), end: restarting("v0"), disk: journaler.ErrDiskFailed},
	{name: "a sync fails at another voter", begin: failing(journaler.ErrDiskFailed, "v1"), end: restarting("v1")},
	{name: "syncs fail at two voters", begin: failing(journaler.ErrDiskFailed, "v1", "v2"), end: restarting("v1", "v2")},
	{name: "the disk of the asked instance is full", begin: failing(journaler.ErrDiskFull, "v0"), end: failing(nil, "v0"), disk: journaler.ErrDiskFull},
	{name: "all disks are full", begin: failing(journaler.ErrDiskFull, "v0", "v1", "v2"), end: failing(nil, "v0", "v1", "v2"), disk: journaler.ErrDiskFull},
	{
		name: "messages are doubled and late",
		begin: func(c *cluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.double, c.delay = 1, 200*time.Millisecond
		},
		end: func(c *cluster) { c.setNetwork(0, 0, time.Millisecond) },
	},
}

func killing(addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			if v := c.kill(address); v != nil {
				go func() { assert.Check(c.t, v.Stop()) }()
			}
		}
	}
}

func starting(addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			c.start(address)
		}
	}
}

func restarting(addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			c.crash(address)
			c.start(address)
		}
	}
}

func losing(address string) func(*cluster) { return func(c *cluster) { c.lose(address) } }

func cutting(address string, in, out bool) func(*cluster) {
	return func(c *cluster) { c.isolate(address, in, out) }
}

func failing(err error, addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			d := c.instances[address].disk
			// The disk may be in use by the step that the fault meets.
			go d.setFail(func() (bool, error) { return err == nil, err })
		}
	}
}

// at lets a fault begin at one step of the next submission to v0.
type at struct {
	name string
	set  func(c *cluster, begin func(), disk error)
}

var steps = []at{
	{"submit", func(_ *cluster, begin func(), _ error) { begin() }},
	{"promise", atDisk(1, false)},
	{"write", atDisk(2, false)},
	{"sync", atDisk(2, true)},
	{"replicate", func(c *cluster, begin func(), _ error) {
		c.setFilter(func(_ string, req proto.Message) error {
			if _, ok := req.(*voterwire.AcceptRequest); ok && begin != nil {
				// The asked instance has accepted by then, the others have not.
				time.AfterFunc(c.delay/2, begin)
				begin = nil
			}
			return nil
		})
	}},
	{"answer", nil},
}

// atDisk lets the fault meet the n-th record that v0 writes, before it is kept
// or after.
func atDisk(n int, kept bool) func(c *cluster, begin func(), disk error) {
	return func(c *cluster, begin func(), disk error) {
		left := n
		c.instances["v0"].disk.setFail(func() (bool, error) {
			left--
			if left != 0 {
				return true, nil
			}
			begin()
			return kept || disk == nil, disk
		})
	}
}

// tell returns what a client is told.
func tell(resp *controlwire.SubmitResponse, err error) string {
	switch {
	case errors.Is(err, voter.ErrNoMajority):
		return "not proposed"
	case errors.Is(err, voter.ErrOutcomeUnknown):
		return "unknown"
	case err != nil:
		return err.Error()
	case resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT:
		return "conflict with " + resp.GetWinner().GetChangeId()
	default:
		return fmt.Sprintf("accepted as %d", resp.GetVersion())
	}
}

// matrix writes rows to a golden file, one for each step and fault.
func matrix(t *testing.T, file, header string, faults []fault, row func(t *testing.T, c *cluster, step at, f fault) string) {
	t.Helper()
	var rows strings.Builder
	fmt.Fprintf(&rows, "| step | fault | %s |\n|---|---|%s\n", header, strings.Repeat("---|", strings.Count(header, "|")+1))
	for _, step := range steps {
		for _, f := range faults {
			t.Run(step.name+"/"+f.name, func(t *testing.T) {
				simulate(t, 1, 3, func(t *testing.T, c *cluster) {
					c.setSteady()
					assertAccepted(t, c.voter("v0"), change("first", 0), 1)
					time.Sleep(2 * time.Second)
					fmt.Fprintf(&rows, "| %s | %s | %s |\n", step.name, f.name, row(t, c, step, f))
				})
			})
		}
	}
	golden.Assert(t, rows.String(), file)
}

// TestFaultMatrix lets every fault begin at every step of a change that
// replaces version 1. After it has ended, another operator's change of the
// same version goes to v1 and the first change is sent again to v2.
func TestFaultMatrix(t *testing.T) {
	matrix(t, "faults.golden", "the operator is told | another operator is told | on resend", faults,
		func(t *testing.T, c *cluster, step at, f fault) string {
			told := strike(c, step, f)
			time.Sleep(faultTime)
			return told + " | " + race(t, c, told)
		})
}

// TestFaultTwice lets every fault come again at the same step when the change
// is sent again.
func TestFaultTwice(t *testing.T) {
	matrix(t, "faults-twice.golden", "the operator is told | on resend | another operator is told | on second resend", faults,
		func(t *testing.T, c *cluster, step at, f fault) string {
			first := strike(c, step, f)
			time.Sleep(faultTime)
			second := strike(c, step, f)
			time.Sleep(faultTime)
			return first + " | " + second + " | " + race(t, c, first, second)
		})
}

// TestSecondLoss loses a second disk, at either of the others, as soon as the
// loss of the first one has been repaired.
func TestSecondLoss(t *testing.T) {
	var losses []fault
	for _, pair := range []string{"v0 v1", "v0 v2", "v1 v0", "v1 v2", "v2 v0", "v2 v1"} {
		first, second, _ := strings.Cut(pair, " ")
		end := func(c *cluster) {
			c.lose(first)
			awaitRepaired(c.t, c, second)
			c.lose(second)
		}
		f := fault{name: "loss of " + first + ", then of " + second, begin: killing(first), end: end}
		if first == "v0" {
			f.disk = errUnreachable
		}
		losses = append(losses, f)
	}
	matrix(t, "second-loss.golden", "the operator is told | another operator is told | on resend", losses,
		func(t *testing.T, c *cluster, step at, f fault) string {
			told := strike(c, step, f)
			awaitRepaired(t, c, "v0")
			return told + " | " + race(t, c, told)
		})
}

// strike submits a change to v0, lets the fault begin at the given step and
// end after faultTime, and returns what the operator is told.
func strike(c *cluster, step at, f fault) string {
	var begun atomic.Bool
	begin := func() {
		begun.Store(true)
		f.begin(c)
	}
	v0 := c.voter("v0")
	if step.set != nil {
		step.set(c, begin, f.disk)
	}
	told := "no answer"
	resp, err := v0.Submit(context.Background(), change("a", 1))
	if step.set == nil {
		begin() // The answer is lost on its way to the operator.
	} else if c.voter("v0") != nil {
		told = tell(resp, err)
	}
	time.Sleep(faultTime)
	c.setFilter(nil)
	if !begun.Load() { // A change that was accepted before has fewer steps.
		c.instances["v0"].disk.setFail(nil)
		return told
	}
	f.end(c)
	return told
}

// race submits another change of the same version to v1 and sends the first
// one again to v2. It checks that one of them was accepted, and the first one
// if its operator was told so.
func race(t *testing.T, c *cluster, told ...string) string {
	t.Helper()
	other := tell(c.voter("v1").Submit(context.Background(), change("b", 1)))
	again := tell(c.voter("v2").Submit(context.Background(), change("a", 1)))
	assert.Equal(t, other == "accepted as 2", again == "conflict with b")
	assert.Equal(t, other == "conflict with a", again == "accepted as 2")
	if slices.Contains(told, "accepted as 2") {
		assert.Equal(t, again, "accepted as 2")
	}
	assertCurrent(t, c.voter("v0"), 2)
	return other + " | " + again
}
