package forwarder_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestRequestsThatOutlastTheNodeAreRefused guards against requests that a stopping node passes on and can't answer.
func TestRequestsThatOutlastTheNodeAreRefused(t *testing.T) {
	f := newFleet()
	f.run(t, func(t *testing.T) {
		f.entry.ServeUntil(time.Now().Add(deadline / 2))
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			resp, _, err := f.call(t.Context(), request(method))
			assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonLeaving)
		}
		assert.Equal(t, f.runs.Load(), int64(0))
		short := request(http.MethodPost)
		short.Header.Set(classifier.HeaderTimeout, "2000")
		resp, body, err := f.call(t.Context(), short)
		assertResponse(t, resp, body, err)
	})
}

// TestRequestsCutByAStopAreNamed guards against a stop that cuts requests of which no log line tells.
func TestRequestsCutByAStopAreNamed(t *testing.T) {
	var logs bytes.Buffer
	f := newFleet()
	f.logs = &logs
	f.upstreamHandler = func(http.ResponseWriter, *http.Request, int64) { time.Sleep(2 * time.Second) }
	f.run(t, func(t *testing.T) {
		req := request(http.MethodPost)
		req.Header.Set(classifier.HeaderRequestID, "abc")
		go f.call(t.Context(), req) //nolint:errcheck // The log tells how far it is.
		time.Sleep(time.Second)
		assert.Equal(t, f.entry.OpenRequests(), 1)
		f.entry.ReportCut()
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.entry.OpenRequests(), 0)
	})
	line, _, _ := strings.Cut(logs.String(), "\n")
	var fields map[string]any
	assert.NilError(t, json.Unmarshal([]byte(line), &fields))
	assert.DeepEqual(t, fields, map[string]any{
		"level": "warn", "message": "Request is cut by the end of the stop.", "request": "abc", "method": "POST", "path": "/pedidos",
		"stage": "sent", "instance": "almacen-1", "attempts": 1.0, "after-ms": 1000.0, "stage-ms": 1000.0, "left-ms": 4000.0, "bytes": 0.0,
	})
}

// assertInterrupted checks that the caller of a request at work gets a refusal at once when the
// requests are interrupted.
func assertInterrupted(t *testing.T, f *fleet, req *http.Request) {
	t.Helper()
	began := time.Now()
	time.AfterFunc(time.Second/2, f.entry.Interrupt)
	resp, _, err := f.call(t.Context(), req)
	assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonLeaving)
	assert.Equal(t, time.Since(began), time.Second/2)
	time.Sleep(2 * time.Second)
}

// TestInterruptedRequestsAreRefusedAtOnce guards against callers that the end of a node leaves without a response.
func TestInterruptedRequestsAreRefusedAtOnce(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		f := newFleet()
		f.upstreamHandler = func(http.ResponseWriter, *http.Request, int64) { time.Sleep(2 * time.Second) }
		f.run(t, func(t *testing.T) { assertInterrupted(t, f, request(http.MethodPost)) })
	})
	t.Run("keyed", func(t *testing.T) {
		f := newFleet()
		runKeyedFleet(t, f, func(t *testing.T) { assertInterrupted(t, f, keyedRequest("")) })
	})
}

// TestInterruptionCutsNoResumedResponse guards against a response that is cut while its rest is requested elsewhere.
func TestInterruptionCutsNoResumedResponse(t *testing.T) {
	f := newFleet()
	ranges := serveRanges(`"v1"`)
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run > 1 {
			time.Sleep(time.Second)
		}
		ranges(w, r, run)
	}
	f.network.fault = fault{address: firstNodeAddress, step: finish, kind: reset}
	f.run(t, func(t *testing.T) {
		time.AfterFunc(time.Second/2, f.entry.Interrupt)
		resp, body, err := f.call(t.Context(), request(http.MethodGet))
		time.Sleep(2 * time.Second)
		assertResponse(t, resp, body, err)
	})
}

// TestInterruptedRetryIsMarkedRetried guards against callers that retry what the node has retried already.
func TestInterruptedRetryIsMarkedRetried(t *testing.T) {
	f := newFleet()
	f.network.fault = fault{address: firstNodeAddress, step: receiveHead, kind: reset}
	f.upstreamHandler = func(http.ResponseWriter, *http.Request, int64) { time.Sleep(2 * time.Second) }
	f.run(t, func(t *testing.T) {
		time.AfterFunc(3*time.Second, f.entry.Interrupt)
		resp, _, err := f.call(t.Context(), request(http.MethodGet))
		assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonLeaving)
		time.Sleep(3 * time.Second)
		assert.Equal(t, resp.Header.Get(classifier.HeaderRetried), "1")
	})
}

// TestUnreadBodyDoesNotOutlastTheNode guards against a caller that sends half a body and holds up the end of a node.
func TestUnreadBodyDoesNotOutlastTheNode(t *testing.T) {
	f := newFleet()
	f.run(t, func(t *testing.T) {
		time.AfterFunc(time.Second, f.entry.Interrupt)
		began := time.Now()
		req := request(http.MethodPost)
		reader, writer := io.Pipe()
		go writer.Write([]byte("12 litres")) //nolint:errcheck // The rest never comes.
		defer writer.Close()                 //nolint:errcheck // Never fails.
		req.Body = reader
		resp, _, err := f.call(t.Context(), req)
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonLeaving)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
