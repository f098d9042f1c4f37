package launcher

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/noticer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// entryNode sends requests to a serving node, with the notices that it has received.
type entryNode struct {
	board *noticer.Board
	sent  atomic.Int64
}

func newEntryNode() *entryNode { return &entryNode{board: noticer.NewBoard()} }

// send sends one request and returns the response's refusal, or nil if it was served.
func (e *entryNode) send(t *testing.T, n *Node) *refuser.Refusal {
	t.Helper()
	time.Sleep(time.Millisecond)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://vitrina.oax/", http.NoBody)
	assert.NilError(t, err)
	req.Header.Set(classifier.HeaderRequestID, strconv.FormatInt(e.sent.Add(1), 10))
	req.Header.Set(classifier.HeaderHop, "1")
	req.Header.Set(classifier.HeaderService, "vitrina")
	req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if notice := e.board.Notice("vitrina-1"); notice != "" {
		req.Header.Set(classifier.HeaderUpstreamNotice, notice)
	}
	sentAt := time.Now()
	w := httptest.NewRecorder()
	n.server.ServeHTTP(w, req)
	resp := w.Result()
	refusal := refuser.FromResponse(resp)
	if notice := resp.Header.Get(classifier.HeaderUpstreamNotice); notice != "" || refusal == nil {
		assert.Check(t, e.board.Record("vitrina-1", notice, sentAt))
	}
	return refusal
}

func assertReason(t *testing.T, refusal *refuser.Refusal, reason classifier.Reason) {
	t.Helper()
	assert.Assert(t, refusal != nil, "the request was served")
	assertRefused(t, refusal, reason)
}

// sendAll sends requests of all entry nodes, 25 a second in total, for the given time. It
// asserts that each refused one is refused for the rate limit.
func sendAll(t *testing.T, n *Node, entryNodes []*entryNode, length time.Duration) {
	t.Helper()
	interval := time.Duration(len(entryNodes)) * time.Second / 25
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i, e := range entryNodes {
		wg.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(entryNodes)))
			for time.Now().Before(end) {
				if refusal := e.send(t, n); refusal != nil {
					assert.Check(t, refusal.Reason() == classifier.ReasonRateLimit, "%v", refusal)
				}
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
}

// TestRestartedNodeKeepsRateLimit guards against an upstream that gets more requests than its limit because its node was restarted and does not know the limit.
func TestRestartedNodeKeepsRateLimit(t *testing.T) {
	for _, entryNodes := range []int{2, 16, 200} {
		t.Run(fmt.Sprintf("%d entry nodes", entryNodes), func(t *testing.T) {
			runLimited(t, func(t *testing.T, n *Node, u *limitedUpstream) {
				nodes := make([]*entryNode, entryNodes)
				for i := range nodes {
					nodes[i] = newEntryNode()
				}
				u.advertiseLimit(0.5)
				sendAll(t, n, nodes, 20*time.Second)
				for range 20 {
					restartServing(n, u)
					sendAll(t, n, nodes, time.Second)
				}
				u.assertLimitHeld(t, 0.5, u.advertisedAt.Add(limitSpread), time.Now())
			})
		})
	}
}

// TestRestartedNodeKeepsThatItsUpstreamDrains guards against an upstream that drains and gets requests from nodes that know it, because its own node was restarted.
func TestRestartedNodeKeepsThatItsUpstreamDrains(t *testing.T) {
	runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		told, other := newEntryNode(), newEntryNode()
		u.setDraining(true)
		assert.Assert(t, told.send(t, n) == nil)
		enroll(t, n, u) // The heartbeats of this upstream do not say that it drains.
		assertReason(t, told.send(t, n), classifier.ReasonUpstream)
		assertReason(t, other.send(t, n), classifier.ReasonUpstream)
		assert.Equal(t, len(u.arrivals), 1)
	})
}

func TestNoticeBindsOnlyItsUpstream(t *testing.T) {
	for name, next := range map[string]struct {
		id        string
		startedAt int64
	}{
		"another id":                 {"i-2", 2},
		"the same id, started again": {"i-1", 2},
	} {
		t.Run(name, func(t *testing.T) {
			runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
				told := newEntryNode()
				u.setDraining(true)
				assert.Assert(t, told.send(t, n) == nil)
				u.setDraining(false)
				assert.NilError(t, n.enroller.RecordHeartbeat(heartbeat(n, next.id, next.startedAt, 1)))
				assert.Assert(t, told.send(t, n) == nil)
				assert.Equal(t, told.board.Notice("vitrina-1"), "")
			})
		})
	}
}

// assertAllServed sends three requests of an entry node at once and asserts that none is
// refused.
func assertAllServed(t *testing.T, e *entryNode, n *Node) {
	t.Helper()
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { assert.Check(t, e.send(t, n) == nil, "a request was refused") })
	}
	wg.Wait()
}

// TestRateLimitOfReplacedUpstreamDoesNotBindTheNext guards against a restarted node that keeps the limit of an upstream that was replaced.
func TestRateLimitOfReplacedUpstreamDoesNotBindTheNext(t *testing.T) {
	runEnrolled(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		told := newEntryNode()
		u.advertiseLimit(0.5)
		assert.Assert(t, told.send(t, n) == nil)
		u.advertiseLimit(0)
		enroll(t, n, u)
		assert.NilError(t, n.enroller.RecordHeartbeat(heartbeat(n, "i-2", 2, 1)))
		assertAllServed(t, told, n)
	})
}

// TestOldNoticeOfRateLimitIsCorrectedByUpstream guards against a limit that ended long ago and is in force again after a restart.
func TestOldNoticeOfRateLimitIsCorrectedByUpstream(t *testing.T) {
	runLimited(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		told, other := newEntryNode(), newEntryNode()
		u.advertiseLimit(0.5)
		assert.Assert(t, told.send(t, n) == nil)
		u.advertiseLimit(0)
		restartServing(n, u)
		assert.Assert(t, other.send(t, n) == nil)
		assertAllServed(t, told, n)
		restartServing(n, u)
		assert.Assert(t, told.send(t, n) == nil)
		assertAllServed(t, told, n)
	})
}
