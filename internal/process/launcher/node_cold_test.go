package launcher

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/request/coldlimiter"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// testColdRate is the cold rate of the service in the tests, in requests a second.
const testColdRate = 11

// healthEndpoint is the health endpoint of the upstream "i-1". It implements server.Requester.
type healthEndpoint struct {
	id     string
	coldMS string // Empty for none.
	status int
	err    error
	reads  int
}

// DoLimited implements server.Requester.
func (e *healthEndpoint) DoLimited(context.Context, netip.AddrPort, *http.Request, requester.Limits) (*http.Response, error) {
	e.reads++
	time.Sleep(time.Millisecond)
	if e.err != nil {
		return nil, e.err
	}
	header := http.Header{classifier.HeaderUpstream: {e.id}}
	if e.coldMS != "" {
		header.Set(classifier.HeaderColdMS, e.coldMS)
	}
	return &http.Response{StatusCode: e.status, Header: header, Body: http.NoBody}, nil
}

// runCold runs a test in fake time of a node whose service has a cold rate, and whose upstream has
// sent a heartbeat but not said yet that it is warm.
func runCold(t *testing.T, test func(t *testing.T, n *Node, e *healthEndpoint)) {
	t.Helper()
	runEnrolled(t, func(t *testing.T, n *Node, _ *limitedUpstream) {
		spec := n.service().Spec()
		spec.ColdRate, spec.ColdStart = testColdRate, 3*time.Second
		assert.Assert(t, n.publish(compiler.NewConfiguration(2, "s", []*compiler.Service{compiler.NewService(spec)})))
		time.Sleep(time.Millisecond)
		test(t, n, &healthEndpoint{id: "i-1", status: http.StatusOK})
	})
}

// read reads the health endpoint once. It ignores an error, as the gauger does.
func (e *healthEndpoint) read(n *Node) {
	_, _, _ = n.readHealth(context.Background(), e)
}

func assertColdCause(t *testing.T, n *Node, cause coldlimiter.Cause) {
	t.Helper()
	status := n.coldLimiter.Status(time.Now())
	assert.Equal(t, status.Cause, cause)
	assert.Equal(t, status.Cold, cause != "")
}

func TestHealthResponseTellsWhetherUpstreamIsCold(t *testing.T) {
	for name, tc := range map[string]struct {
		endpoint healthEndpoint
		cause    coldlimiter.Cause
	}{
		"cold":                     {healthEndpoint{id: "i-1", status: http.StatusOK, coldMS: "1500"}, coldlimiter.CauseStated},
		"warm":                     {healthEndpoint{id: "i-1", status: http.StatusOK, coldMS: "0"}, ""},
		"warm without the header":  {healthEndpoint{id: "i-1", status: http.StatusOK}, ""},
		"unhealthy":                {healthEndpoint{id: "i-1", status: http.StatusServiceUnavailable}, coldlimiter.CauseNodeStarted},
		"malformed":                {healthEndpoint{id: "i-1", status: http.StatusOK, coldMS: "-1"}, coldlimiter.CauseNodeStarted},
		"another upstream":         {healthEndpoint{id: "i-2", status: http.StatusOK, coldMS: "0"}, coldlimiter.CauseNodeStarted},
		"the endpoint is not read": {healthEndpoint{id: "i-1", err: requester.NewError(classifier.NotRun, classifier.ReasonTimeout, context.DeadlineExceeded)}, coldlimiter.CauseNodeStarted},
	} {
		t.Run(name, func(t *testing.T) {
			runCold(t, func(t *testing.T, n *Node, _ *healthEndpoint) {
				tc.endpoint.read(n)
				assertColdCause(t, n, tc.cause)
			})
		})
	}
}

// TestBrokenConnectionIsADoubt guards against an upstream that restarted under its id and gets as much as before.
func TestBrokenConnectionIsADoubt(t *testing.T) {
	for name, tc := range map[string]struct {
		err   *requester.Error
		cause coldlimiter.Cause
	}{
		"refused":             {requester.NewError(classifier.NotRun, classifier.ReasonConnect, syscall.ECONNREFUSED), coldlimiter.CauseBrokenConnection},
		"reset":               {requester.NewError(classifier.Unknown, classifier.ReasonReset, syscall.ECONNRESET), coldlimiter.CauseBrokenConnection},
		"no connection free":  {requester.NewError(classifier.NotRun, classifier.ReasonConnections, context.DeadlineExceeded), ""},
		"request timed out":   {requester.NewError(classifier.Unknown, classifier.ReasonTimeout, context.DeadlineExceeded), ""},
		"caller has canceled": {requester.NewError(classifier.Unknown, classifier.ReasonCanceled, context.Canceled), ""},
	} {
		t.Run(name, func(t *testing.T) {
			runCold(t, func(t *testing.T, n *Node, e *healthEndpoint) {
				e.read(n)
				assertColdCause(t, n, "")
				e.err = tc.err
				e.read(n)
				assertColdCause(t, n, tc.cause)
			})
		})
	}
}

// TestHeartbeatsTellWhetherUpstreamIsCold checks heartbeats that change nothing else, and those of another incarnation.
func TestHeartbeatsTellWhetherUpstreamIsCold(t *testing.T) {
	runCold(t, func(t *testing.T, n *Node, e *healthEndpoint) {
		e.read(n)
		record := func(startedAt int64, sequence uint64, remaining time.Duration) {
			h := heartbeat(n, upstreamID(startedAt), startedAt, sequence)
			h.ColdRemaining = remaining
			if err := n.enroller.RecordHeartbeat(h); err != nil {
				assert.ErrorIs(t, err, enroller.ErrStale)
			}
		}
		record(1, 2, 0)
		assertColdCause(t, n, "")
		record(1, 1, time.Second) // Overtaken by the one before.
		assertColdCause(t, n, "")
		record(1, 3, time.Second)
		assertColdCause(t, n, coldlimiter.CauseStated)
		time.Sleep(time.Second)
		assertColdCause(t, n, "")
		record(2, 1, 0)
		assertColdCause(t, n, coldlimiter.CauseReplaced)
	})
}

// TestRequestsBeyondColdRateAreRefused checks what callers and other nodes are told.
func TestRequestsBeyondColdRateAreRefused(t *testing.T) {
	runCold(t, func(t *testing.T, n *Node, e *healthEndpoint) {
		time.Sleep(time.Second)
		e.coldMS = "3000"
		e.read(n)
		var served atomic.Int64
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				if err := sendRequest(n, strconv.Itoa(i)); err != nil {
					assertRefused(t, err, classifier.ReasonCold)
					return
				}
				served.Add(1)
			})
		}
		synctest.Wait()
		load := n.admitter.Load()
		wg.Wait()
		assert.Assert(t, served.Load() > 0 && served.Load() < testColdRate, "%d served", served.Load())
		assert.Equal(t, load.Rate().PerSecond, float64(testColdRate))
		assert.Assert(t, load.Rate().Wait > 0)
		assert.Equal(t, load.WarmPercent(), 100)
	})
}

// TestColdInstanceCountsAsRateLimited checks what keeps hedges from an instance that is cold.
func TestColdInstanceCountsAsRateLimited(t *testing.T) {
	runCold(t, func(t *testing.T, n *Node, e *healthEndpoint) {
		instances := []*registrar.Instance{readyInstance(n)}
		n.snapshots.SetView(registrar.NewView(instances))
		instancePicker, err := n.newPicker()
		assert.NilError(t, err)
		adapter := pickerAdapter{instancePicker, n.observeOwnLoad, "d"}
		query := forwarder.Query{Service: n.service(), Instances: instances}
		for _, coldMS := range []string{"1000", "0"} {
			e.coldMS = coldMS
			e.read(n)
			time.Sleep(time.Millisecond)
			query.Now = time.Now()
			choice, ok := adapter.Pick(query)
			assert.Assert(t, ok)
			assert.Equal(t, choice.RateLimited, coldMS != "0")
		}
	})
}

// TestResetOfUpstreamThatCannotBeAskedIsNoDoubt guards against upstreams without heartbeats that lose their capacity for a cold start by each reset.
func TestResetOfUpstreamThatCannotBeAskedIsNoDoubt(t *testing.T) {
	runCold(t, func(t *testing.T, n *Node, e *healthEndpoint) {
		e.read(n)
		observeBrokenConnection(n.coldLimiter, requester.NewError(classifier.Unknown, classifier.ReasonReset, syscall.ECONNRESET), false)
		assertColdCause(t, n, "")
	})
}

// TestReturnOfFailureDomainIsADoubt checks the call for the end of an evacuation.
func TestReturnOfFailureDomainIsADoubt(t *testing.T) {
	runCold(t, func(t *testing.T, n *Node, e *healthEndpoint) {
		e.read(n)
		n.DoubtUpstream()
		assertColdCause(t, n, coldlimiter.CauseReturned)
		time.Sleep(time.Millisecond)
		e.read(n)
		assertColdCause(t, n, "")
	})
}

// TestServiceWithoutColdRateHasNoColdLimit guards against a changed decision for services that ask for nothing.
func TestServiceWithoutColdRateHasNoColdLimit(t *testing.T) {
	runEnrolled(t, func(t *testing.T, n *Node, _ *limitedUpstream) {
		n.updateUpstreamSize()
		e := &healthEndpoint{id: "i-1", status: http.StatusOK, coldMS: "3000"}
		e.read(n)
		n.DoubtUpstream()
		assertColdCause(t, n, "")
		assert.Assert(t, !n.admitter.Load().Rate().Limited())
	})
}

func TestColdRateTakesThePlaceOfTheConcurrencyRamp(t *testing.T) {
	spec := compiler.ServiceSpec{ColdStart: 3 * time.Second}
	assert.Equal(t, concurrencyRamp(spec), 3*time.Second)
	spec.ColdRate = testColdRate
	assert.Equal(t, concurrencyRamp(spec), time.Duration(0))
}
