package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// newFleetWithSlowFirstRun returns a fleet whose first run takes a minute. The second run
// sets canceled if the first had ended before the second's response was complete.
func newFleetWithSlowFirstRun(canceled *atomic.Bool) *fleet {
	f := newFleet()
	f.spec.HedgeAfter = 100 * time.Millisecond
	var ended atomic.Bool
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run == 1 {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Minute):
			}
			ended.Store(true)
			_, _ = io.WriteString(w, "late response")
			return
		}
		half := strings.Repeat("x", responseSize/2)
		w.Header().Set("Content-Length", strconv.Itoa(responseSize))
		_, _ = io.WriteString(w, half)
		w.(http.Flusher).Flush()
		time.Sleep(f.spec.StallTimeout / 2)
		canceled.Store(ended.Load())
		_, _ = io.WriteString(w, half)
	}
	return f
}

func TestHedge(t *testing.T) {
	t.Run("succeeds and cancels the first attempt", func(t *testing.T) {
		var canceled atomic.Bool
		f := newFleetWithSlowFirstRun(&canceled)
		f.run(t, func(t *testing.T) {
			start := time.Now()
			resp, body, err := f.call(t.Context(), request(http.MethodGet))
			assertResponse(t, resp, body, err)
			assert.Equal(t, time.Since(start), f.spec.HedgeAfter+f.spec.StallTimeout/2)
			assert.Assert(t, canceled.Load(), "the first attempt was not canceled")
			resp, body, err = f.call(t.Context(), request(http.MethodGet))
			assertResponse(t, resp, body, err)
		})
	})
	t.Run("appears in the trace", func(t *testing.T) {
		var canceled atomic.Bool
		f := newFleetWithSlowFirstRun(&canceled)
		f.run(t, func(t *testing.T) {
			resp, _, err := f.call(t.Context(), request(http.MethodGet))
			assert.NilError(t, err)
			time.Sleep(time.Second)
			var trace bytes.Buffer
			assert.NilError(t, f.explainer.WriteJSON(&trace, resp.Header.Get(classifier.HeaderRequestID)))
			var traces []struct {
				Outcome  string
				Bytes    int
				Attempts []struct{ Instance, Cause, Reason string }
			}
			assert.NilError(t, json.Unmarshal(trace.Bytes(), &traces))
			assert.Equal(t, len(traces), 1)
			assert.Equal(t, traces[0].Outcome, "done")
			assert.Equal(t, traces[0].Bytes, responseSize)
			assert.Equal(t, len(traces[0].Attempts), 2)
			assert.Equal(t, traces[0].Attempts[0].Cause, "hedge")
			assert.Equal(t, traces[0].Attempts[1].Reason, "caller-canceled")
		})
	})
	t.Run("is not sent for a non-idempotent request", func(t *testing.T) {
		var canceled atomic.Bool
		f := newFleetWithSlowFirstRun(&canceled)
		f.run(t, func(t *testing.T) {
			resp, _, err := f.call(t.Context(), request(http.MethodPost))
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonTimeout)
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	})
	t.Run("stays within the retry budget", func(t *testing.T) {
		f := newFleet()
		f.spec.HedgeAfter = 100 * time.Millisecond
		f.spec.RetryPercent = 0
		respond := f.upstreamHandler
		f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
			time.Sleep(time.Second)
			respond(w, r, run)
		}
		f.run(t, func(t *testing.T) {
			const calls, saved = 30, 5 // Half of the saved budget is reserved for retries.
			for range calls {
				resp, body, err := f.call(t.Context(), request(http.MethodGet))
				assertResponse(t, resp, body, err)
			}
			assert.Equal(t, f.runs.Load(), int64(calls+saved))
		})
	})
}

func TestNoHedgeUsesUpRateLimit(t *testing.T) {
	f := newFleet()
	f.rateLimited = true
	f.spec.HedgeAfter = 100 * time.Millisecond
	respond := f.upstreamHandler
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		time.Sleep(time.Second)
		respond(w, r, run)
	}
	f.run(t, func(t *testing.T) {
		resp, body, err := f.call(t.Context(), request(http.MethodGet))
		assertResponse(t, resp, body, err)
		assert.Equal(t, f.runs.Load(), int64(1))
	})
}

// TestTruncatedWinnerOfHedgeIsResumed checks that a response which won a hedge and is then
// truncated is resumed at the instance whose attempt was canceled for it, if there is no
// other one.
func TestTruncatedWinnerOfHedgeIsResumed(t *testing.T) {
	f := newFleet()
	f.spec.HedgeAfter = 100 * time.Millisecond
	respond := serveRanges(`"v1"`)
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run <= 2 {
			time.Sleep(150 * time.Millisecond) // The first attempt is slow enough for a hedge, and wins.
		}
		respond(w, r, run)
	}
	f.network.fault = fault{address: firstNodeAddress, step: finish, kind: reset}
	f.run(t, func(t *testing.T) {
		resp, body, err := f.call(t.Context(), request(http.MethodGet))
		time.Sleep(time.Second) // Until the upstream has ended the attempt that was canceled.
		assertResponse(t, resp, body, err)
	})
}

// panickingServer is a forwarder.LocalServer that panics.
type panickingServer struct{}

// Exchange implements forwarder.LocalServer.
func (panickingServer) Exchange(context.Context, *http.Request) (*http.Response, error) {
	panic("cannot handle this")
}

// TestHedgedAttemptThatPanicsDoesNotEndNode guards against a request that ends each node that serves it in process.
func TestHedgedAttemptThatPanicsDoesNotEndNode(t *testing.T) {
	f := newFleet()
	f.spec.HedgeAfter = 100 * time.Millisecond
	f.spec.MaxAttempts = 1
	f.local = panickingServer{}
	f.run(t, func(t *testing.T) {
		resp, _, err := f.call(t.Context(), request(http.MethodGet))
		assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonReset)
	})
}
