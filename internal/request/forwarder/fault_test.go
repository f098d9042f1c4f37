package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// faultCase is one fault at one step of a request. A fault of a serving node or of an
// upstream is at the first of the two; the second works.
type faultCase struct {
	step, fault, where string
	prepare            func(f *fleet, req *http.Request)
	// cancelAfter is the time after which the caller disconnects; 0 for never.
	cancelAfter time.Duration
}

// linkFaults lists the faults of a link at each step.
var linkFaults = []fault{
	{step: connect, kind: refuse}, {step: connect, kind: stall},
	{step: sendHead, kind: reset}, {step: sendHead, kind: stall},
	{step: sendBody, kind: reset}, {step: sendBody, kind: stall},
	{step: wait, kind: reset}, {step: wait, kind: stall},
	{step: receiveHead, kind: reset}, {step: receiveHead, kind: stall}, {step: receiveHead, kind: garbage},
	{step: receiveBody, kind: reset}, {step: receiveBody, kind: stall},
	{step: finish, kind: reset}, {step: finish, kind: stall},
}

func linkFaultCases() []faultCase {
	var cases []faultCase
	for _, link := range []struct {
		where, address string
		local          bool
	}{
		{"serving node", firstNodeAddress, false},
		{"upstream", firstUpstreamAddress, false},
		{"own upstream", firstUpstreamAddress, true},
	} {
		for _, f := range linkFaults {
			f.address = link.address
			cases = append(cases, faultCase{step: f.step, fault: f.kind, where: link.where, prepare: func(fl *fleet, _ *http.Request) {
				fl.network.fault = f
				fl.localUpstream = link.local
			}})
		}
	}
	return cases
}

func nodeFaultCases() []faultCase {
	header := func(name, value string) func(*fleet, *http.Request) {
		return func(_ *fleet, req *http.Request) { req.Header.Set(name, value) }
	}
	admissionErr := func(reason classifier.Reason) func(*fleet, *http.Request) {
		return func(f *fleet, _ *http.Request) { f.admissionErr = refusalError(reason) }
	}
	failOnce := func(code int, outcome string) func(*fleet, *http.Request) {
		return func(f *fleet, _ *http.Request) {
			respond := f.upstreamHandler
			var failed atomic.Bool
			f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
				if failed.Swap(true) {
					respond(w, r, run)
					return
				}
				if outcome != "" {
					f.runs.Add(-1) // A request that the upstream declares not run is not counted.
					w.Header().Set(classifier.HeaderOutcome, outcome)
				}
				w.WriteHeader(code)
			}
		}
	}
	hang := func(f *fleet, _ *http.Request) {
		f.upstreamHandler = func(_ http.ResponseWriter, r *http.Request, _ int64) { <-r.Context().Done() }
	}
	return []faultCase{
		{step: "accept", fault: "timeout of 0", where: "entry node", prepare: header(classifier.HeaderTimeout, "0")},
		{step: "accept", fault: "invalid timeout", where: "entry node", prepare: header(classifier.HeaderTimeout, "soon")},
		{step: "accept", fault: "depth exceeded", where: "entry node", prepare: header(classifier.HeaderDepth, "8")},
		{step: "accept", fault: "no such service", where: "entry node", prepare: func(f *fleet, _ *http.Request) { f.spec.PathPrefix = "/other" }},
		{step: "accept", fault: "no configuration since the start", where: "entry node", prepare: func(f *fleet, _ *http.Request) { f.starting = true }},
		{step: "choose", fault: "no instance", where: "entry node", prepare: func(f *fleet, _ *http.Request) { f.instances = nil }},
		{step: "choose", fault: "all leaving", where: "entry node", prepare: func(f *fleet, _ *http.Request) {
			for i, in := range f.instances {
				spec := in.Spec()
				spec.State = registrar.StateLeaving
				f.instances[i] = registrar.NewInstance(spec)
			}
		}},
		{step: "choose", fault: "address of another service", where: "serving node", prepare: func(f *fleet, _ *http.Request) {
			f.spec.Name = "biblioteca"
			for i, in := range f.instances {
				spec := in.Spec()
				spec.Service = "biblioteca"
				f.instances[i] = registrar.NewInstance(spec)
			}
		}},
		{step: "admit", fault: "leaving", where: "serving node", prepare: admissionErr(classifier.ReasonLeaving)},
		{step: "admit", fault: "queue full", where: "serving node", prepare: admissionErr(classifier.ReasonQueueFull)},
		{step: "wait", fault: "shed before work", where: "upstream", prepare: failOnce(http.StatusServiceUnavailable, "not-run")},
		{step: "wait", fault: "503 after work", where: "upstream", prepare: failOnce(http.StatusServiceUnavailable, "")},
		{step: "wait", fault: "500 after work", where: "upstream", prepare: failOnce(http.StatusInternalServerError, "")},
		{step: "wait", fault: "too slow", where: "upstream", prepare: hang},
		{step: "wait", fault: "caller disconnects", where: "caller", prepare: hang, cancelAfter: time.Second},
	}
}

// TestFaults injects every fault at every step of an idempotent request, a non-idempotent
// one, and a non-idempotent one with a streamed body. The golden file is the matrix in docs/FAULTS.md.
func TestFaults(t *testing.T) {
	var matrix strings.Builder
	for _, tc := range append(nodeFaultCases(), linkFaultCases()...) {
		for _, requestKind := range []string{"GET", "POST", streamedPost} {
			if tc.step == sendBody && requestKind == "GET" {
				continue
			}
			name := fmt.Sprintf("%s/%s/%s/%s", tc.step, tc.fault, tc.where, requestKind)
			t.Run(name, func(t *testing.T) { runFaultCase(t, tc, requestKind, &matrix) })
		}
	}
	golden.Assert(t, matrix.String(), "faults.golden")
}

// TestFaultsWithHedges checks the invariants under the same faults with hedging at its
// default.
func TestFaultsWithHedges(t *testing.T) {
	for _, tc := range append(nodeFaultCases(), linkFaultCases()...) {
		for _, requestKind := range []string{http.MethodGet, http.MethodPost} {
			f := newFleet()
			f.spec.HedgeAfter = compiler.DefaultServiceSpec("").HedgeAfter
			req := request(requestKind)
			tc.prepare(f, req)
			f.run(t, func(t *testing.T) { f.callAndCheckInvariants(t, req, requestKind, tc.cancelAfter) })
		}
	}
}

// streamedPost is a POST with a body that is not buffered in memory.
const streamedPost = "streamed POST"

func runFaultCase(t *testing.T, tc faultCase, requestKind string, matrix *strings.Builder) {
	f := newFleet()
	req := request(requestKind)
	if requestKind == streamedPost {
		req = request(http.MethodPost)
		req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 40<<10)))
		req.ContentLength = -1
	}
	tc.prepare(f, req)
	f.run(t, func(t *testing.T) {
		result, took := f.callAndCheckInvariants(t, req, requestKind, tc.cancelAfter)
		fmt.Fprintf(matrix, "| %s | %s | %s | %s | %s | %d | %v |\n", tc.step, tc.fault, tc.where, requestKind, result, f.runs.Load(), took)
	})
}

// callAndCheckInvariants sends a request, checks what must hold under any fault, and
// returns the caller's result and the time that it took.
func (f *fleet) callAndCheckInvariants(t *testing.T, req *http.Request, requestKind string, cancelAfter time.Duration) (result string, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if cancelAfter > 0 {
		time.AfterFunc(cancelAfter, cancel)
	}
	start := time.Now()
	resp, body, err := f.call(ctx, req)
	took = time.Since(start)
	time.Sleep(time.Minute) // Attempts that are still running end in this time.
	result = "aborted"
	outcome := classifier.Unknown
	if err == nil {
		verdict := classifier.FromResponse(resp, nil)
		outcome = verdict.Outcome()
		result = fmt.Sprintf("%d %s %s", resp.StatusCode, outcome, verdict.Reason())
		assert.Assert(t, resp.StatusCode != http.StatusOK || len(body) == responseSize, "response of %d bytes", len(body))
	}
	runs := f.runs.Load()
	if outcome == classifier.NotRun {
		assert.Equal(t, runs, int64(0), "outcome not-run, but the request ran")
	}
	if outcome == classifier.Done {
		assert.Assert(t, runs > 0, "outcome done, but the request did not run")
	}
	if requestKind != http.MethodGet {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	if faults := []fault{f.network.fault, f.network.secondFault}; took == deadline && slices.ContainsFunc(faults, fault.stopsMidway) {
		result = "ended by the deadline" // Which of the nodes ends it first is not determined.
	}
	assert.Assert(t, took <= deadline || errors.Is(err, context.DeadlineExceeded), "response after %v", took)
	return result, took
}

// stopsMidway reports whether a request or response stops in its middle, on a connection that stays open.
func (f fault) stopsMidway() bool { return (f.kind == stall || f.kind == garbage) && f.step != wait }

// TestFaultPairs injects each pair of faults into the first and the second attempt, and
// counts the caller's results.
func TestFaultPairs(t *testing.T) {
	var matrix strings.Builder
	for _, first := range faultsOn(firstNodeAddress, firstUpstreamAddress) {
		for _, requestKind := range []string{http.MethodGet, http.MethodPost} {
			counts := make(map[string]int)
			for _, second := range faultsOn(secondNodeAddress, secondUpstreamAddress) {
				f := newFleet()
				f.network.fault, f.network.secondFault = first, second
				f.run(t, func(t *testing.T) {
					result, _ := f.callAndCheckInvariants(t, request(requestKind), requestKind, 0)
					counts[result]++
				})
			}
			fmt.Fprintf(&matrix, "| %s | %s | %s | %s |", first.step, first.kind, locations[first.address], requestKind)
			for _, result := range slices.Sorted(maps.Keys(counts)) {
				fmt.Fprintf(&matrix, " %d times %s;", counts[result], strings.TrimSpace(result))
			}
			matrix.WriteString(" |\n")
		}
	}
	golden.Assert(t, strings.ReplaceAll(matrix.String(), "; |", " |"), "fault-pairs.golden")
}

var locations = map[string]string{firstNodeAddress: "serving node", firstUpstreamAddress: "upstream"}

// faultsOn returns all link faults at each of the addresses.
func faultsOn(addresses ...string) []fault {
	var faults []fault
	for _, address := range addresses {
		for _, f := range linkFaults {
			f.address = address
			faults = append(faults, f)
		}
	}
	return faults
}

func TestNoRetryIfUpstreamRetried(t *testing.T) {
	f := newFleet()
	f.upstreamHandler = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Header().Set(classifier.HeaderRetried, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f.run(t, func(t *testing.T) {
		resp, _, err := f.call(t.Context(), request(http.MethodGet))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get(classifier.HeaderRetried), "1")
		assert.Equal(t, f.runs.Load(), int64(1))
	})
}

func TestNodeHeadersOnUpstreamErrorAreIgnored(t *testing.T) {
	f := newFleet()
	f.upstreamHandler = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Header().Set(classifier.HeaderOutcome, "not-run") // Valid only on a 503.
		w.Header().Set(classifier.HeaderReason, "leaving")
		w.Header().Set(classifier.HeaderRetried, "1")
		w.WriteHeader(http.StatusInternalServerError)
	}
	f.run(t, func(t *testing.T) {
		resp, _, err := f.call(t.Context(), request(http.MethodPost))
		assertRefused(t, resp, err, classifier.Done, classifier.ReasonNone)
		assert.Equal(t, resp.Header.Get(classifier.HeaderRetried), "")
		assert.Equal(t, f.runs.Load(), int64(1))
	})
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	f := newFleet()
	f.spec.RetryPercent = 0
	f.admissionErr = refuser.New(classifier.NotRun, classifier.ReasonQueueFull)
	f.run(t, func(t *testing.T) {
		const saved = 10
		for range saved {
			resp, body, err := f.call(t.Context(), request(http.MethodPost))
			assertResponse(t, resp, body, err)
		}
		resp, _, err := f.call(t.Context(), request(http.MethodPost))
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonQueueFull)
		assert.Equal(t, resp.Header.Get(classifier.HeaderRetried), "1")
	})
}
