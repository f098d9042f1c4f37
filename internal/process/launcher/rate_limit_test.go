package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// limitWindow is the length of the windows in which an upstream's rate limit is checked.
	limitWindow = 4 * time.Second
	// limitSpread is the time that a new limit has to reach all nodes.
	limitSpread = 3 * time.Second
	// upstreamLatency is the time that a limitedUpstream takes for a request.
	upstreamLatency = 160 * time.Millisecond
	// requestTimeout is the timeout of the requests that sendRequests sends.
	requestTimeout = 1200 * time.Millisecond
)

// limitedUpstream is an upstream that advertises a rate limit and records when requests arrive.
type limitedUpstream struct {
	mu           sync.Mutex
	limit        float64 // Requests a second; 0 for none.
	advertisedAt time.Time
	draining     bool
	arrivals     []time.Time
}

// DoLimited implements server.Requester.
func (u *limitedUpstream) DoLimited(_ context.Context, _ netip.AddrPort, _ *http.Request, _ requester.Limits) (*http.Response, error) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	time.Sleep(upstreamLatency)
	return &http.Response{StatusCode: http.StatusOK, Header: u.header(), Body: http.NoBody}, nil
}

func (u *limitedUpstream) header() http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	header := http.Header{classifier.HeaderUpstream: {"i-1"}}
	if u.limit > 0 {
		header.Set(classifier.HeaderRateLimit, strconv.FormatFloat(u.limit, 'f', -1, 64))
	}
	if u.draining {
		header.Set(classifier.HeaderDraining, "1")
	}
	return header
}

// advertiseLimit makes the upstream advertise a limit in its responses, or none if it is 0.
func (u *limitedUpstream) advertiseLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = perSecond
	u.advertisedAt = time.Now()
}

// mostInWindow returns the largest number of arrivals in a window that begins between the
// given times.
func (u *limitedUpstream) mostInWindow(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for i, first := range u.arrivals {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, at := range u.arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// assertLimitHeld asserts that no window that begins between the given times has more
// requests than the promise allows: one and a half times the limit, and five.
func (u *limitedUpstream) assertLimitHeld(t *testing.T, perSecond float64, from, to time.Time) {
	t.Helper()
	allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5
	got := u.mostInWindow(from, to)
	assert.Assert(t, got <= allowed, "%d requests in %v with a limit of %v a second; allowed %d", got, limitWindow, perSecond, allowed)
}

// runLimited runs a test of a serving node with a limitedUpstream in fake time.
func runLimited(t *testing.T, test func(t *testing.T, n *Node, u *limitedUpstream), settingLines ...string) {
	t.Helper()
	n := newTestNode(t, "vitrina-1", "vitrina", netip.MustParseAddrPort("127.0.0.1:9"), settingLines...)
	synctest.Test(t, func(t *testing.T) {
		u := &limitedUpstream{}
		restartServing(n, u)
		test(t, n, u)
	})
}

// restartServing replaces the parts of the node that serve requests, as a restart does.
func restartServing(n *Node, u *limitedUpstream) {
	n.assembleAdmitter(zerolog.Nop(), n.service().Spec())
	n.assembleServer(zerolog.Nop(), u)
}

// sendRequests sends requests of as many entry nodes to the serving node, at random
// intervals, until the returned function is called. That waits until all have ended, and
// returns how many were served.
func sendRequests(n *Node, entryNodes int, perSecond float64) (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var served atomic.Int64
	for i := range entryNodes {
		random := rand.New(rand.NewPCG(uint64(entryNodes), uint64(i)))
		wg.Go(func() {
			for sent := 0; ctx.Err() == nil; sent++ {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(entryNodes) / perSecond * float64(time.Second)))
				wg.Go(func() {
					if sendRequest(n, fmt.Sprintf("%d-%d", i, sent)) == nil {
						served.Add(1)
					}
				})
			}
		})
	}
	return func() int {
		cancel()
		wg.Wait()
		return int(served.Load())
	}
}

// sendRequest sends one request to the serving node and returns its error.
func sendRequest(n *Node, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://vitrina.oax/", http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set(classifier.HeaderRequestID, id)
	req.Header.Set(classifier.HeaderHop, "1")
	resp, err := n.server.Exchange(ctx, req)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// TestUpstreamGetsNoMoreThanItsRateLimit guards against an upstream that gets more requests than the limit it has advertised.
func TestUpstreamGetsNoMoreThanItsRateLimit(t *testing.T) {
	for _, entryNodes := range []int{2, 16, 200} {
		t.Run(fmt.Sprintf("%d entry nodes", entryNodes), func(t *testing.T) {
			runLimited(t, func(t *testing.T, n *Node, u *limitedUpstream) {
				stop := sendRequests(n, entryNodes, 25)
				time.Sleep(2 * time.Second)
				u.advertiseLimit(5.8)
				time.Sleep(20 * time.Second)
				stop()
				u.assertLimitHeld(t, 5.8, u.advertisedAt.Add(limitSpread), time.Now())
			})
		})
	}
}

func TestLimitedUpstreamGetsWhatItAccepts(t *testing.T) {
	for _, limit := range []float64{0.5, 5.8, 20} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runLimited(t, func(t *testing.T, n *Node, u *limitedUpstream) {
				u.advertiseLimit(limit)
				const length = 60 * time.Second
				stop := sendRequests(n, 16, 10*limit)
				time.Sleep(length)
				served := stop()
				assert.Assert(t, float64(served) >= 0.9*limit*length.Seconds(), "%d served", served)
				u.assertLimitHeld(t, limit, u.advertisedAt.Add(limitSpread), time.Now())
			})
		})
	}
}

func TestRateLimitFollowsItsUpstream(t *testing.T) {
	runLimited(t, func(t *testing.T, n *Node, u *limitedUpstream) {
		stop := sendRequests(n, 16, 25)
		for _, limit := range []float64{12, 3, 8} {
			u.advertiseLimit(limit)
			time.Sleep(10 * time.Second)
			u.assertLimitHeld(t, limit, u.advertisedAt.Add(limitSpread), time.Now().Add(-limitWindow))
		}
		u.advertiseLimit(0)
		time.Sleep(10 * time.Second)
		stop()
		assert.Assert(t, u.mostInWindow(u.advertisedAt.Add(limitSpread), time.Now()) > 60, "the limit that ended is in force")
	})
}
