package launcher

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// runEnrolled runs a test in fake time of a serving node whose upstream "i-1" sends
// heartbeats.
func runEnrolled(t *testing.T, test func(t *testing.T, n *Node, u *limitedUpstream)) {
	t.Helper()
	runLimited(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		enroll(t, n, u)
		test(t, n, u)
	}, "upstream-heartbeats = yes")
}

// enroll makes the node track its upstream by heartbeats, as after a restart, and records
// the first one.
func enroll(t *testing.T, n *Node, u *limitedUpstream) {
	t.Helper()
	enrollAs(t, n, u, 1)
}

// enrollAs is like enroll, for the upstream that started at the given second.
func enrollAs(t *testing.T, n *Node, u *limitedUpstream, startedAt int64) {
	t.Helper()
	n.assembleEnroller(zerolog.Nop())
	restartServing(n, u)
	assert.NilError(t, n.enroller.RecordHeartbeat(heartbeat(n, upstreamID(startedAt), startedAt, 1)))
}

// upstreamID returns the id of the upstream that started at the given second.
func upstreamID(startedAt int64) string { return fmt.Sprint("i-", startedAt) }

// heartbeat returns a heartbeat of a ready upstream that started at the given second.
func heartbeat(n *Node, id string, startedAt int64, sequence uint64) enroller.Heartbeat {
	return enroller.Heartbeat{
		ID: id, StartedAt: time.Unix(startedAt, 0), Sequence: sequence,
		Service: n.settings.Service(), Address: n.settings.UpstreamAddress(), Slots: 1024,
	}
}

func assertRefused(t *testing.T, err error, reason classifier.Reason) {
	t.Helper()
	assert.Assert(t, err != nil, "the request was served")
	refusal := refuser.FromError(err)
	assert.Equal(t, refusal.Reason(), reason)
	assert.Equal(t, refusal.Outcome(), classifier.NotRun)
}

// TestDrainingUpstreamGetsNoMoreRequests guards against an upstream that says in its responses that it drains and gets requests after that.
func TestDrainingUpstreamGetsNoMoreRequests(t *testing.T) {
	runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		assert.NilError(t, sendRequest(n, "1"))
		u.setDraining(true)
		assert.NilError(t, sendRequest(n, "2")) // Its response says that the upstream drains.
		assertRefused(t, sendRequest(n, "3"), classifier.ReasonUpstream)
		assert.Equal(t, n.gossiper.Self().State(), registrar.StateLeaving)
		assert.NilError(t, n.enroller.RecordHeartbeat(heartbeat(n, "i-1", 1, 2)))
		assertRefused(t, sendRequest(n, "4"), classifier.ReasonUpstream)
		assert.NilError(t, n.enroller.RecordHeartbeat(heartbeat(n, "i-2", 2, 1)))
		u.setDraining(false)
		assert.NilError(t, sendRequest(n, "5"))
	})
}

func TestHealthResponseSaysWhatUpstreamAccepts(t *testing.T) {
	runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		health := func() {
			_, _, err := n.readHealth(t.Context(), u)
			assert.NilError(t, err)
		}
		u.advertiseLimit(2)
		health()
		assert.Equal(t, n.rateLimiter.Report(time.Now()).PerSecond, 2.0)
		u.advertiseLimit(0)
		health() // Only a request ends a limit.
		assert.Equal(t, n.rateLimiter.Report(time.Now()).PerSecond, 2.0)
		u.setDraining(true)
		health()
		_, available := n.enroller.Current()
		assert.Assert(t, !available)
	})
}

// TestLateResponseOfReplacedUpstreamDoesNotBindTheNext guards against a response of an upstream that has been replaced and that says that it drains.
func TestLateResponseOfReplacedUpstreamDoesNotBindTheNext(t *testing.T) {
	runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		u.setDraining(true)
		ended := make(chan error, 1)
		go func() { ended <- sendRequest(n, "1") }()
		synctest.Wait()
		assert.NilError(t, n.enroller.RecordHeartbeat(heartbeat(n, "i-2", 2, 1)))
		assert.NilError(t, <-ended)
		_, available := n.enroller.Current()
		assert.Assert(t, available)
	})
}

// setDraining makes the upstream say in its responses that it drains, or not.
func (u *limitedUpstream) setDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}
