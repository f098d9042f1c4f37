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

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// row is one fault at one step. The first serving node or its upstream fails;
// the second works.
type row struct {
	step, fault, where string
	prepare            func(f *fleet, req *http.Request)
	// cancel is when the caller goes away; 0 for never.
	cancel time.Duration
}

// linkFaults are the faults of a link at each step.
var linkFaults = []fault{
	{step: connect, kind: refuse}, {step: connect, kind: stall},
	{step: sendHead, kind: reset}, {step: sendHead, kind: stall},
	{step: sendBody, kind: reset}, {step: sendBody, kind: stall},
	{step: wait, kind: reset}, {step: wait, kind: stall},
	{step: receiveHead, kind: reset}, {step: receiveHead, kind: stall}, {step: receiveHead, kind: garbage},
	{step: receiveBody, kind: reset}, {step: receiveBody, kind: stall},
	{step: finish, kind: reset}, {step: finish, kind: stall},
}

func linkRows() []row {
	var rows []row
	for _, link := range []struct {
		where, address string
		local          bool
	}{
		{"serving node", nodeAddress, false},
		{"upstream", targetAddress, false},
		{"own upstream", targetAddress, true},
	} {
		for _, f := range linkFaults {
			f.address = link.address
			rows = append(rows, row{step: f.step, fault: f.kind, where: link.where, prepare: func(fl *fleet, _ *http.Request) {
				fl.network.fault = f
				fl.local = link.local
			}})
		}
	}
	return rows
}

func nodeRows() []row {
	header := func(name, value string) func(*fleet, *http.Request) {
		return func(_ *fleet, req *http.Request) { req.Header.Set(name, value) }
	}
	refusing := func(reason classifier.Reason) func(*fleet, *http.Request) {
		return func(f *fleet, _ *http.Request) { f.refusal = admissionRefusal(reason) }
	}
	status := func(code int, outcome string) func(*fleet, *http.Request) {
		return func(f *fleet, _ *http.Request) {
			answer := f.handle
			var failed atomic.Bool
			f.handle = func(w http.ResponseWriter, r *http.Request, run int64) {
				if failed.Swap(true) {
					answer(w, r, run)
					return
				}
				if outcome != "" {
					f.runs.Add(-1) // The upstream says so and did nothing.
					w.Header().Set(classifier.HeaderOutcome, outcome)
				}
				w.WriteHeader(code)
			}
		}
	}
	slow := func(f *fleet, _ *http.Request) {
		f.handle = func(_ http.ResponseWriter, r *http.Request, _ int64) { <-r.Context().Done() }
	}
	return []row{
		{step: "accept", fault: "no time left", where: "entry node", prepare: header(classifier.HeaderTimeout, "0")},
		{step: "accept", fault: "unreadable deadline", where: "entry node", prepare: header(classifier.HeaderTimeout, "soon")},
		{step: "accept", fault: "too deep", where: "entry node", prepare: header(classifier.HeaderDepth, "8")},
		{step: "accept", fault: "no such service", where: "entry node", prepare: func(f *fleet, _ *http.Request) { f.spec.PathPrefix = "/other" }},
		{step: "choose", fault: "no instance", where: "entry node", prepare: func(f *fleet, _ *http.Request) { f.instances = nil }},
		{step: "choose", fault: "all leaving", where: "entry node", prepare: func(f *fleet, _ *http.Request) {
			for i, in := range f.instances {
				spec := in.Spec()
				spec.State = registrar.StateLeaving
				f.instances[i] = registrar.NewInstance(spec)
			}
		}},
		{step: "choose", fault: "other service at the address", where: "serving node", prepare: func(f *fleet, _ *http.Request) {
			f.spec.Name = "biblioteca"
			for i, in := range f.instances {
				spec := in.Spec()
				spec.Service = "biblioteca"
				f.instances[i] = registrar.NewInstance(spec)
			}
		}},
		{step: "admit", fault: "leaving", where: "serving node", prepare: refusing(classifier.ReasonLeaving)},
		{step: "admit", fault: "queue full", where: "serving node", prepare: refusing(classifier.ReasonQueueFull)},
		{step: "wait", fault: "shed before work", where: "upstream", prepare: status(http.StatusServiceUnavailable, "not-run")},
		{step: "wait", fault: "503 after work", where: "upstream", prepare: status(http.StatusServiceUnavailable, "")},
		{step: "wait", fault: "500 after work", where: "upstream", prepare: status(http.StatusInternalServerError, "")},
		{step: "wait", fault: "too slow", where: "upstream", prepare: slow},
		{step: "wait", fault: "caller goes away", where: "caller", prepare: slow, cancel: time.Second},
	}
}

// TestFaults strikes every step of a request with every fault, for a request
// that may be repeated and one that may not. The golden file is the matrix of
// docs/FAULTS.md.
func TestFaults(t *testing.T) {
	var matrix strings.Builder
	for _, r := range append(nodeRows(), linkRows()...) {
		for _, kind := range []string{"GET", "POST", streamedPost} {
			if r.step == sendBody && kind == "GET" {
				continue
			}
			name := fmt.Sprintf("%s/%s/%s/%s", r.step, r.fault, r.where, kind)
			t.Run(name, func(t *testing.T) { strike(t, r, kind, &matrix) })
		}
	}
	golden.Assert(t, matrix.String(), "faults.golden")
}

// streamedPost is a POST with a body that is not held in memory.
const streamedPost = "streamed POST"

func strike(t *testing.T, r row, kind string, matrix *strings.Builder) {
	f := newFleet()
	req := request(kind)
	if kind == streamedPost {
		req = request(http.MethodPost)
		req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 40<<10)))
		req.ContentLength = -1
	}
	r.prepare(f, req)
	f.run(t, func(t *testing.T) {
		result, took := f.callUnderFault(t, req, kind, r.cancel)
		fmt.Fprintf(matrix, "| %s | %s | %s | %s | %s | %d | %v |\n", r.step, r.fault, r.where, kind, result, f.runs.Load(), took)
	})
}

// callUnderFault sends a request, checks what must hold under any fault, and
// returns what the caller was told and when.
func (f *fleet) callUnderFault(t *testing.T, req *http.Request, kind string, cancelAfter time.Duration) (result string, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if cancelAfter > 0 {
		time.AfterFunc(cancelAfter, cancel)
	}
	start := time.Now()
	resp, body, err := f.call(ctx, req)
	took = time.Since(start)
	time.Sleep(time.Minute) // Late attempts would run now.
	result = "aborted"
	outcome := classifier.Unknown
	if err == nil {
		verdict := classifier.FromResponse(resp, nil)
		outcome = verdict.Outcome()
		result = fmt.Sprintf("%d %s %s", resp.StatusCode, outcome, verdict.Reason())
		assert.Assert(t, resp.StatusCode != http.StatusOK || len(body) == answerSize, "answer of %d bytes", len(body))
	}
	runs := f.runs.Load()
	if outcome == classifier.NotRun {
		assert.Equal(t, runs, int64(0), "a request that was not run ran")
	}
	if outcome == classifier.Done {
		assert.Assert(t, runs > 0, "a request that was done did not run")
	}
	if kind != http.MethodGet {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	assert.Assert(t, took <= deadline || errors.Is(err, context.DeadlineExceeded), "answered after %v", took)
	return result, took
}

// TestFaultPairs strikes the first attempt with each fault and the second with
// each other, and counts what the caller is told.
func TestFaultPairs(t *testing.T) {
	var matrix strings.Builder
	for _, first := range pairedFaults(nodeAddress, targetAddress) {
		for _, kind := range []string{http.MethodGet, http.MethodPost} {
			told := make(map[string]int)
			for _, second := range pairedFaults(otherAddress, anotherAddress) {
				f := newFleet()
				f.network.fault, f.network.second = first, second
				f.run(t, func(t *testing.T) {
					result, _ := f.callUnderFault(t, request(kind), kind, 0)
					told[result]++
				})
			}
			fmt.Fprintf(&matrix, "| %s | %s | %s | %s |", first.step, first.kind, places[first.address], kind)
			for _, result := range slices.Sorted(maps.Keys(told)) {
				fmt.Fprintf(&matrix, " %d times %s;", told[result], strings.TrimSpace(result))
			}
			matrix.WriteString(" |\n")
		}
	}
	golden.Assert(t, strings.ReplaceAll(matrix.String(), "; |", " |"), "fault-pairs.golden")
}

var places = map[string]string{nodeAddress: "serving node", targetAddress: "upstream"}

// pairedFaults returns the faults of the links to a node and to its upstream.
func pairedFaults(addresses ...string) []fault {
	var faults []fault
	for _, address := range addresses {
		for _, f := range linkFaults {
			f.address = address
			faults = append(faults, f)
		}
	}
	return faults
}

func TestRetriedBelow(t *testing.T) {
	f := newFleet()
	f.handle = func(w http.ResponseWriter, _ *http.Request, _ int64) {
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

func TestUntrustedUpstreamHeaders(t *testing.T) {
	f := newFleet()
	f.handle = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Header().Set(classifier.HeaderOutcome, "not-run") // Only a 503 may say so.
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

func TestRetryBudget(t *testing.T) {
	f := newFleet()
	f.spec.RetryPercent = 0
	f.refusal = refuser.New(classifier.NotRun, classifier.ReasonQueueFull)
	f.run(t, func(t *testing.T) {
		const saved = 10
		for range saved {
			resp, body, err := f.call(t.Context(), request(http.MethodPost))
			assertAnswered(t, resp, body, err)
		}
		resp, _, err := f.call(t.Context(), request(http.MethodPost))
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonQueueFull)
		assert.Equal(t, resp.Header.Get(classifier.HeaderRetried), "1")
	})
}
