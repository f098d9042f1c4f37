package forwarder_test

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pausingHandler responds in two parts, with a pause of one and a half stall timeouts between them.
func pausingHandler(f *fleet, size int) func(http.ResponseWriter, *http.Request, int64) {
	return func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		half := bytes.Repeat([]byte("x"), size/2)
		_, _ = w.Write(half)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(f.spec.StallTimeout * 3 / 2)
		_, _ = w.Write(half)
	}
}

// TestPauseWithinResponseIsAwaited guards against a response that is broken off since its upstream paused, although the deadline is far and nothing else can respond.
func TestPauseWithinResponseIsAwaited(t *testing.T) {
	streamed := func() *http.Request {
		req := request(http.MethodPost)
		req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 40<<10)))
		req.ContentLength = -1
		return req
	}
	get := func() *http.Request { return request(http.MethodGet) }
	post := func() *http.Request { return request(http.MethodPost) }
	for name, tc := range map[string]struct {
		request func() *http.Request
		prepare func(f *fleet)
	}{
		"not repeatable":                 {post, func(*fleet) {}},
		"not repeatable, own upstream":   {post, func(f *fleet) { f.localUpstream = true }},
		"streamed":                       {streamed, func(*fleet) {}},
		"streamed, own upstream":         {streamed, func(f *fleet) { f.localUpstream = true }},
		"repeatable, no attempt left":    {get, func(f *fleet) { f.spec.MaxAttempts = 1 }},
		"repeatable, no other instance":  {get, func(f *fleet) { f.instances = f.instances[:1] }},
		"repeatable, other instance too": {get, func(*fleet) {}},
		"repeatable, other instance refuses": {get, func(f *fleet) {
			f.network.secondFault.address, f.network.secondFault.step, f.network.secondFault.kind = secondNodeAddress, connect, refuse
		}},
		"repeatable, own upstream, one other": {get, func(f *fleet) { f.localUpstream = true }},
	} {
		for _, size := range []int{1 << 10, 64 << 10} { // Received completely before it is relayed, or not.
			t.Run(name+", "+strconv.Itoa(size)+" bytes", func(t *testing.T) {
				f := newFleet()
				tc.prepare(f)
				f.upstreamHandler = pausingHandler(f, size)
				f.run(t, func(t *testing.T) {
					start := time.Now()
					resp, body, err := f.call(t.Context(), tc.request())
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusOK)
					assert.Equal(t, len(body), size)
					assert.Equal(t, time.Since(start), f.spec.StallTimeout*3/2)
				})
			})
		}
	}
}

// TestPauseWithinRequestIsAwaited guards against a request that is broken off since its upstream pauses before it reads on.
func TestPauseWithinRequestIsAwaited(t *testing.T) {
	f := newFleet()
	f.unreadBody = true
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, _ int64) {
		time.Sleep(f.spec.StallTimeout * 3 / 2)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}
	f.run(t, func(t *testing.T) {
		req := request(http.MethodPost)
		const size = 4 << 20 // More than the buffers on the way hold.
		req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
		req.ContentLength = size
		resp, body, err := f.call(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, strconv.Itoa(size))
	})
}

// TestStalledResponseIsAlsoRequestedElsewhere checks that a repeatable request whose response makes no progress gets that of another instance.
func TestStalledResponseIsAlsoRequestedElsewhere(t *testing.T) {
	f := newFleet()
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run == 1 {
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "o")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "ok")
	}
	f.run(t, func(t *testing.T) {
		start := time.Now()
		resp, body, err := f.call(t.Context(), request(http.MethodGet))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "ok")
		assert.Assert(t, time.Since(start) <= 2*f.spec.StallTimeout, "%v", time.Since(start))
	})
}
