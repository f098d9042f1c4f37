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

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// faultDuration is how long a fault lasts.
const faultDuration = 30 * time.Second

// fault is a fault that begins at one step of a submission to v0, the proposer.
type fault struct {
	name  string
	begin func(c *cluster)
	end   func(c *cluster)
	// appendErr is the error of v0's append during which the fault begins, if any.
	appendErr error
}

var faults = []fault{
	{name: "the proposer crashes", begin: killInstances("v0"), end: startInstances("v0"), appendErr: errUnreachable},
	{name: "the proposer loses its disk", begin: killInstances("v0"), end: loseDiskOf("v0"), appendErr: errUnreachable},
	{name: "another voter crashes", begin: killInstances("v1"), end: startInstances("v1")},
	{name: "another voter loses its disk", begin: killInstances("v1"), end: loseDiskOf("v1")},
	{name: "all voters crash", begin: killInstances("v0", "v1", "v2"), end: startInstances("v0", "v1", "v2"), appendErr: errUnreachable},
	{name: "the proposer freezes", begin: func(c *cluster) { c.freeze("v0") }, end: func(c *cluster) { c.unfreeze("v0") }},
	{name: "the proposer is isolated", begin: isolateInstance("v0", true, true), end: isolateInstance("v0", false, false)},
	{name: "the proposer receives no messages", begin: isolateInstance("v0", true, false), end: isolateInstance("v0", false, false)},
	{name: "the proposer's messages are lost", begin: isolateInstance("v0", false, true), end: isolateInstance("v0", false, false)},
	{name: "another voter is isolated", begin: isolateInstance("v1", true, true), end: isolateInstance("v1", false, false)},
	{name: "a sync fails at the proposer", begin: failAppends(journaler.ErrDiskFailed, "v0"), end: restartInstances("v0"), appendErr: journaler.ErrDiskFailed},
	{name: "a sync fails at another voter", begin: failAppends(journaler.ErrDiskFailed, "v1"), end: restartInstances("v1")},
	{name: "syncs fail at two voters", begin: failAppends(journaler.ErrDiskFailed, "v1", "v2"), end: restartInstances("v1", "v2")},
	{name: "the proposer's disk is full", begin: failAppends(journaler.ErrDiskFull, "v0"), end: failAppends(nil, "v0"), appendErr: journaler.ErrDiskFull},
	{name: "all disks are full", begin: failAppends(journaler.ErrDiskFull, "v0", "v1", "v2"), end: failAppends(nil, "v0", "v1", "v2"), appendErr: journaler.ErrDiskFull},
	{
		name: "messages are duplicated and delayed",
		begin: func(c *cluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.duplicateRate, c.maxDelay = 1, 200*time.Millisecond
		},
		end: func(c *cluster) { c.setNetwork(0, 0, time.Millisecond) },
	},
}

func killInstances(addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			if v := c.kill(address); v != nil {
				go func() { assert.Check(c.t, v.Stop()) }()
			}
		}
	}
}

func startInstances(addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			c.start(address)
		}
	}
}

func restartInstances(addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			c.crash(address)
			c.start(address)
		}
	}
}

func loseDiskOf(address string) func(*cluster) { return func(c *cluster) { c.loseDisk(address) } }

func isolateInstance(address string, in, out bool) func(*cluster) {
	return func(c *cluster) { c.isolate(address, in, out) }
}

func failAppends(err error, addresses ...string) func(*cluster) {
	return func(c *cluster) {
		for _, address := range addresses {
			d := c.instances[address].disk
			// The step at which the fault begins may hold the disk's lock.
			go d.setAppendFault(func() (bool, error) { return err == nil, err })
		}
	}
}

// submissionStep is a step of a submission to v0. arm makes a fault begin at this
// step of the next submission. If arm is nil, the fault begins after the response.
type submissionStep struct {
	name string
	arm  func(c *cluster, begin func(), appendErr error)
}

var steps = []submissionStep{
	{"submit", func(_ *cluster, begin func(), _ error) { begin() }},
	{"promise", atAppend(1, false)},
	{"write", atAppend(2, false)},
	{"sync", atAppend(2, true)},
	{"replicate", func(c *cluster, begin func(), _ error) {
		c.setFilter(func(_ string, req proto.Message) error {
			if _, ok := req.(*voterwire.AcceptRequest); ok && begin != nil {
				// The proposer has accepted by then, the others have not.
				time.AfterFunc(c.maxDelay/2, begin)
				begin = nil
			}
			return nil
		})
	}},
	{"answer", nil}, // A name on the fault page, kept as it is.
}

// atAppend makes a fault begin at the n-th append to v0's disk, before its records
// are durable or, if kept is set, after.
func atAppend(n int, kept bool) func(c *cluster, begin func(), appendErr error) {
	return func(c *cluster, begin func(), appendErr error) {
		left := n
		c.instances["v0"].disk.setAppendFault(func() (bool, error) {
			left--
			if left != 0 {
				return true, nil
			}
			begin()
			return kept || appendErr == nil, appendErr
		})
	}
}

// describeOutcome describes the outcome of a submission.
func describeOutcome(resp *controlwire.SubmitResponse, err error) string {
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

// runMatrix runs each combination of step and fault, and compares the rows with a
// golden file.
func runMatrix(t *testing.T, file, header string, faults []fault, row func(t *testing.T, c *cluster, step submissionStep, f fault) string) {
	t.Helper()
	var rows strings.Builder
	fmt.Fprintf(&rows, "| step | fault | %s |\n|---|---|%s\n", header, strings.Repeat("---|", strings.Count(header, "|")+1))
	for _, step := range steps {
		for _, f := range faults {
			t.Run(step.name+"/"+f.name, func(t *testing.T) {
				simulate(t, 1, 3, func(t *testing.T, c *cluster) {
					c.setConstantDelay()
					assertAccepted(t, c.voter("v0"), change("first", 0), 1)
					time.Sleep(2 * time.Second)
					fmt.Fprintf(&rows, "| %s | %s | %s |\n", step.name, f.name, row(t, c, step, f))
				})
			})
		}
	}
	golden.Assert(t, rows.String(), file)
}

// TestFaultMatrix begins every fault at every step of a change that replaces
// version 1. After the fault, another operator submits a change that replaces the
// same version to v1, and the first change is resent to v2.
func TestFaultMatrix(t *testing.T) {
	runMatrix(t, "faults.golden", "response | response to another operator | response to the resend", faults,
		func(t *testing.T, c *cluster, step submissionStep, f fault) string {
			outcome := submitDuringFault(c, step, f)
			time.Sleep(faultDuration)
			return outcome + " | " + submitAfterFault(t, c, outcome)
		})
}

// TestFaultTwice repeats every fault at the same step when the change is resent.
func TestFaultTwice(t *testing.T) {
	runMatrix(t, "faults-twice.golden", "response | response to the resend | response to another operator | response to the second resend", faults,
		func(t *testing.T, c *cluster, step submissionStep, f fault) string {
			firstOutcome := submitDuringFault(c, step, f)
			time.Sleep(faultDuration)
			secondOutcome := submitDuringFault(c, step, f)
			time.Sleep(faultDuration)
			return firstOutcome + " | " + secondOutcome + " | " + submitAfterFault(t, c, firstOutcome, secondOutcome)
		})
}

// TestSecondLoss loses the disk of a second instance, each of the other two in
// turn, as soon as the group is repaired after the first loss.
func TestSecondLoss(t *testing.T) {
	var losses []fault
	for _, pair := range []string{"v0 v1", "v0 v2", "v1 v0", "v1 v2", "v2 v0", "v2 v1"} {
		first, second, _ := strings.Cut(pair, " ")
		end := func(c *cluster) {
			c.loseDisk(first)
			awaitRepaired(c.t, c, second)
			c.loseDisk(second)
		}
		f := fault{name: "loss of " + first + ", then of " + second, begin: killInstances(first), end: end}
		if first == "v0" {
			f.appendErr = errUnreachable
		}
		losses = append(losses, f)
	}
	runMatrix(t, "second-loss.golden", "response | response to another operator | response to the resend", losses,
		func(t *testing.T, c *cluster, step submissionStep, f fault) string {
			outcome := submitDuringFault(c, step, f)
			awaitRepaired(t, c, "v0")
			return outcome + " | " + submitAfterFault(t, c, outcome)
		})
}

// submitDuringFault submits a change to v0, begins the fault at the given step,
// ends it after faultDuration, and returns the outcome that the operator sees.
func submitDuringFault(c *cluster, step submissionStep, f fault) string {
	var begun atomic.Bool
	begin := func() {
		begun.Store(true)
		f.begin(c)
	}
	v0 := c.voter("v0")
	if step.arm != nil {
		step.arm(c, begin, f.appendErr)
	}
	outcome := "no response"
	resp, err := v0.Submit(context.Background(), change("a", 1))
	if step.arm == nil {
		begin() // The response to the operator is lost.
	} else if c.voter("v0") != nil {
		outcome = describeOutcome(resp, err)
	}
	time.Sleep(faultDuration)
	c.setFilter(nil)
	if !begun.Load() { // A resent change that was accepted before has fewer steps.
		c.instances["v0"].disk.setAppendFault(nil)
		return outcome
	}
	f.end(c)
	return outcome
}

// submitAfterFault submits another change that replaces the same version to v1 and
// resends the first one to v2. It checks that exactly one of them is accepted, and
// that it is the first one if an earlier outcome reported that.
func submitAfterFault(t *testing.T, c *cluster, outcomes ...string) string {
	t.Helper()
	other := describeOutcome(c.voter("v1").Submit(context.Background(), change("b", 1)))
	again := describeOutcome(c.voter("v2").Submit(context.Background(), change("a", 1)))
	assert.Equal(t, other == "accepted as 2", again == "conflict with b")
	assert.Equal(t, other == "conflict with a", again == "accepted as 2")
	if slices.Contains(outcomes, "accepted as 2") {
		assert.Equal(t, again, "accepted as 2")
	}
	assertCurrent(t, c.voter("v0"), 2)
	return other + " | " + again
}
