package forwarder_test

import (
	"bytes"
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

// newSlowFleet returns a fleet whose first run takes a minute. The second
// notes in canceled whether the first was cancelled while it still answered.
func newSlowFleet(canceled *atomic.Bool) *fleet {
	f := newFleet()
	f.spec.HedgeAfter = 100 * time.Millisecond
	var ended atomic.Bool
	f.handle = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run == 1 {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Minute):
			}
			ended.Store(true)
			_, _ = io.WriteString(w, "late answer")
			return
		}
		half := strings.Repeat("x", answerSize/2)
		w.Header().Set("Content-Length", strconv.Itoa(answerSize))
		_, _ = io.WriteString(w, half)
		w.(http.Flusher).Flush()
		time.Sleep(f.spec.StallTimeout / 2)
		canceled.Store(ended.Load())
		_, _ = io.WriteString(w, half)
	}
	return f
}

func TestHedge(t *testing.T) {
	t.Run("wins and cancels the first attempt", func(t *testing.T) {
		var canceled atomic.Bool
		f := newSlowFleet(&canceled)
		f.run(t, func(t *testing.T) {
			start := time.Now()
			resp, body, err := f.call(t.Context(), request(http.MethodGet))
			assertAnswered(t, resp, body, err)
			assert.Equal(t, time.Since(start), f.spec.HedgeAfter+f.spec.StallTimeout/2)
			assert.Assert(t, canceled.Load(), "the first attempt goes on")
			resp, body, err = f.call(t.Context(), request(http.MethodGet))
			assertAnswered(t, resp, body, err)
		})
	})
	t.Run("is explained", func(t *testing.T) {
		var canceled atomic.Bool
		f := newSlowFleet(&canceled)
		f.run(t, func(t *testing.T) {
			resp, _, err := f.call(t.Context(), request(http.MethodGet))
			assert.NilError(t, err)
			time.Sleep(time.Second)
			var shown bytes.Buffer
			assert.NilError(t, f.explainer.WriteJSON(&shown, resp.Header.Get(classifier.HeaderRequestID)))
			var traces []struct {
				Outcome  string
				Bytes    int
				Attempts []struct{ Instance, Cause, Reason string }
			}
			assert.NilError(t, json.Unmarshal(shown.Bytes(), &traces))
			assert.Equal(t, len(traces), 1)
			assert.Equal(t, traces[0].Outcome, "done")
			assert.Equal(t, traces[0].Bytes, answerSize)
			assert.Equal(t, len(traces[0].Attempts), 2)
			assert.Equal(t, traces[0].Attempts[0].Cause, "hedge")
			assert.Equal(t, traces[0].Attempts[1].Reason, "caller-canceled")
		})
	})
	t.Run("is left out for a request that is not repeatable", func(t *testing.T) {
		var canceled atomic.Bool
		f := newSlowFleet(&canceled)
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
		answer := f.handle
		f.handle = func(w http.ResponseWriter, r *http.Request, run int64) {
			time.Sleep(time.Second)
			answer(w, r, run)
		}
		f.run(t, func(t *testing.T) {
			const calls, saved = 30, 5 // The other half is kept for retries.
			for range calls {
				resp, body, err := f.call(t.Context(), request(http.MethodGet))
				assertAnswered(t, resp, body, err)
			}
			assert.Equal(t, f.runs.Load(), int64(calls+saved))
		})
	})
}
