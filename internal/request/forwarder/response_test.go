package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// serveRanges serves a body of responseSize bytes with support for ranges. Run n uses the
// nth entity tag, or the last one.
func serveRanges(etags ...string) func(http.ResponseWriter, *http.Request, int64) {
	return func(w http.ResponseWriter, r *http.Request, run int64) {
		w.Header().Set("Etag", etags[min(int(run), len(etags))-1])
		w.Header().Set("Content-Type", "application/pdf")
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(bytes.Repeat([]byte("x"), responseSize)))
	}
}

func TestResumeTruncatedResponse(t *testing.T) {
	tests := []struct {
		name    string
		handle  func(http.ResponseWriter, *http.Request, int64)
		resumed bool
	}{
		{"same strong entity tag", serveRanges(`"v1"`), true},
		{"changed entity tag", serveRanges(`"v1"`, `"v2"`), false},
		{"range of another entity tag", func(w http.ResponseWriter, r *http.Request, run int64) {
			r.Header.Del("If-Range")
			serveRanges(`"v1"`, `"v2"`)(w, r, run)
		}, false},
		{"weak entity tag", serveRanges(`W/"v1"`), false},
		{"range of a weak entity tag", func(w http.ResponseWriter, r *http.Request, run int64) {
			r.Header.Del("If-Range")
			serveRanges(`W/"v1"`)(w, r, run)
		}, false},
		{"other range", func(w http.ResponseWriter, r *http.Request, run int64) {
			if run > 1 {
				r.Header.Set("Range", "bytes=0-0")
			}
			serveRanges(`"v1"`)(w, r, run)
		}, false},
		{"complete response instead of a range", func(w http.ResponseWriter, r *http.Request, run int64) {
			r.Header.Del("Range")
			serveRanges(`"v1"`)(w, r, run)
		}, false},
	}
	for _, tt := range tests {
		for _, kind := range []string{reset, stall} {
			t.Run(tt.name+" after "+kind, func(t *testing.T) {
				f := newFleet()
				f.upstreamHandler = tt.handle
				f.network.fault = fault{address: firstNodeAddress, step: finish, kind: kind}
				f.run(t, func(t *testing.T) {
					resp, body, err := f.call(t.Context(), request(http.MethodGet))
					if tt.resumed {
						assertResponse(t, resp, body, err)
						return
					}
					assert.ErrorContains(t, err, string(classifier.ReasonTruncated))
				})
			})
		}
	}
}

// TestTruncatedResponseHijacksHTTP10Connection checks that the connection of an HTTP/1.0
// caller is hijacked, so that it can be reset, if a response without a length is truncated.
func TestTruncatedResponseHijacksHTTP10Connection(t *testing.T) {
	f := newFleet()
	f.upstreamHandler = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		fmt.Fprint(w, "half of a response")
		w.(http.Flusher).Flush() // The response has no length.
		panic(http.ErrAbortHandler)
	}
	f.run(t, func(t *testing.T) {
		conn := &hijackRecorder{ResponseRecorder: httptest.NewRecorder()}
		req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://almacen.example/", nil)
		req.ProtoMinor = 0
		defer func() {
			assert.Equal(t, recover(), http.ErrAbortHandler)
			assert.Assert(t, conn.hijacked, "connection was not hijacked")
		}()
		f.entry.ServeHTTP(conn, req)
	})
}

// hijackRecorder records whether the handler hijacked the connection.
type hijackRecorder struct {
	*httptest.ResponseRecorder
	hijacked bool
}

func (r *hijackRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	r.hijacked = true
	conn, _ := net.Pipe()
	return conn, nil, nil
}

func TestLeavingServerDrains(t *testing.T) {
	f := newFleet()
	var release chan struct{}
	respond := f.upstreamHandler
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run == 1 {
			<-release
		}
		respond(w, r, run)
	}
	f.run(t, func(t *testing.T) {
		release = make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, body, err := f.call(t.Context(), request(http.MethodPost))
			assertResponse(t, resp, body, err)
		}()
		time.Sleep(time.Second)
		leaving := f.servers[0]
		leaving.Leave()
		resp, body, err := f.call(t.Context(), request(http.MethodPost))
		assertResponse(t, resp, body, err)
		assert.Equal(t, resp.Header.Get(classifier.HeaderInstance), "almacen-2")
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, leaving.Drain(shortCtx), context.DeadlineExceeded)
		close(release)
		assert.NilError(t, leaving.Drain(t.Context()))
		<-done
	})
}

func TestOutcomeUnknownIfEarlierAttemptMayHaveRun(t *testing.T) {
	f := newFleet()
	f.network.fault = fault{address: firstUpstreamAddress, step: wait, kind: reset}
	other := f.instances[1].Spec()
	other.HTTP = f.instances[0].HTTP() // The second attempt reaches the first node, which is leaving.
	f.instances[1] = registrar.NewInstance(other)
	f.run(t, func(t *testing.T) {
		// The first attempt may have run, so the not-run of the second doesn't count.
		f.upstreamHandler = func(http.ResponseWriter, *http.Request, int64) {}
		time.AfterFunc(time.Microsecond, f.servers[0].Leave)
		resp, _, err := f.call(t.Context(), request(http.MethodGet))
		assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonLeaving)
	})
}

func TestRetryForwardsRemainingTimeoutAndDepth(t *testing.T) {
	f := newFleet()
	var seen string
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, _ int64) {
		seen = r.Header.Get(classifier.HeaderTimeout) + " " + r.Header.Get(classifier.HeaderDepth) + r.Header.Get(classifier.HeaderHop)
		_, _ = io.WriteString(w, "ok")
	}
	f.network.fault = fault{address: firstNodeAddress, step: connect, kind: stall}
	f.run(t, func(t *testing.T) {
		req := request(http.MethodGet)
		req.Header.Set(classifier.HeaderTimeout, "3000")
		req.Header.Set(classifier.HeaderDepth, "2")
		_, _, err := f.call(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, seen, "2500 3")
		assert.Equal(t, f.retriedRequests.Load(), int64(1))
		_, _, err = f.call(t.Context(), request(http.MethodPost))
		assert.NilError(t, err)
		assert.Equal(t, f.retriedRequests.Load(), int64(1)) // First attempts don't count.
	})
}

func TestSlowRequestBodyHitsDeadline(t *testing.T) {
	f := newFleet()
	f.run(t, func(t *testing.T) {
		conn, err := f.network.DialContext(t.Context(), "tcp", entryAddress)
		assert.NilError(t, err)
		defer conn.Close()
		fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: almacen.example\r\nContent-Length: 9\r\n\r\n12")
		start := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonDeadline)
		assert.Equal(t, time.Since(start), deadline)
		assert.Equal(t, f.runs.Load(), int64(0))
	})
}

func TestStalledCallerReleasesSlot(t *testing.T) {
	f := newFleet()
	f.localUpstream = true
	f.upstreamHandler = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		_, _ = w.Write(make([]byte, 1<<20))
	}
	f.run(t, func(t *testing.T) {
		conn, err := f.network.DialContext(t.Context(), "tcp", entryAddress)
		assert.NilError(t, err)
		defer conn.Close()
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: almacen.example\r\n\r\n")
		time.Sleep(time.Second)
		assert.Equal(t, f.servers[0].InFlight(), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, f.servers[0].InFlight(), 0)
	})
}

func TestNoRetryAfterDeadline(t *testing.T) {
	f := newFleet()
	f.network.fault = fault{address: firstNodeAddress, step: connect, kind: stall}
	f.run(t, func(t *testing.T) {
		req := request(http.MethodGet)
		req.Header.Set(classifier.HeaderTimeout, "400")
		resp, _, err := f.call(t.Context(), req)
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonDeadline)
		trace := f.explainer.Find(resp.Header.Get(classifier.HeaderRequestID))[0]
		assert.Equal(t, len(trace.Attempts()), 1)
	})
}
