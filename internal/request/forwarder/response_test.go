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

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// guide serves a body of answerSize bytes in ranges, under the entity tag of
// the run.
func guide(etags ...string) func(http.ResponseWriter, *http.Request, int64) {
	return func(w http.ResponseWriter, r *http.Request, run int64) {
		w.Header().Set("Etag", etags[min(int(run), len(etags))-1])
		w.Header().Set("Content-Type", "application/pdf")
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(bytes.Repeat([]byte("x"), answerSize)))
	}
}

func TestResumption(t *testing.T) {
	tests := []struct {
		name   string
		handle func(http.ResponseWriter, *http.Request, int64)
		whole  bool
	}{
		{"same strong entity tag", guide(`"v1"`), true},
		{"changed entity tag", guide(`"v1"`, `"v2"`), false},
		{"part of another entity tag", func(w http.ResponseWriter, r *http.Request, run int64) {
			r.Header.Del("If-Range")
			guide(`"v1"`, `"v2"`)(w, r, run)
		}, false},
		{"weak entity tag", guide(`W/"v1"`), false},
		{"part of a weak entity tag", func(w http.ResponseWriter, r *http.Request, run int64) {
			r.Header.Del("If-Range")
			guide(`W/"v1"`)(w, r, run)
		}, false},
		{"other range", func(w http.ResponseWriter, r *http.Request, run int64) {
			if run > 1 {
				r.Header.Set("Range", "bytes=0-0")
			}
			guide(`"v1"`)(w, r, run)
		}, false},
		{"whole answer instead of a part", func(w http.ResponseWriter, r *http.Request, run int64) {
			r.Header.Del("Range")
			guide(`"v1"`)(w, r, run)
		}, false},
	}
	for _, tt := range tests {
		for _, kind := range []string{reset, stall} {
			t.Run(tt.name+" after "+kind, func(t *testing.T) {
				f := newFleet()
				f.handle = tt.handle
				f.network.fault = fault{address: nodeAddress, step: finish, kind: kind}
				f.run(t, func(t *testing.T) {
					resp, body, err := f.call(t.Context(), request(http.MethodGet))
					if tt.whole {
						assertAnswered(t, resp, body, err)
						return
					}
					assert.ErrorContains(t, err, string(classifier.ReasonTruncated))
				})
			})
		}
	}
}

// TestHTTP10 uses sockets, since only they can be reset.
func TestHTTP10(t *testing.T) {
	f := newFleet()
	f.handle = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		fmt.Fprint(w, "half of an answer")
		w.(http.Flusher).Flush() // No length is known then.
		panic(http.ErrAbortHandler)
	}
	f.run(t, func(t *testing.T) {
		conn := &resetRecorder{ResponseRecorder: httptest.NewRecorder()}
		req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://almacen.example/", nil)
		req.ProtoMinor = 0
		defer func() {
			assert.Equal(t, recover(), http.ErrAbortHandler)
			assert.Assert(t, conn.hijacked, "connection was left to end in order")
		}()
		f.entry.ServeHTTP(conn, req)
	})
}

// resetRecorder notes that the handler took the connection over.
type resetRecorder struct {
	*httptest.ResponseRecorder
	hijacked bool
}

func (r *resetRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	r.hijacked = true
	near, _ := net.Pipe()
	return near, nil, nil
}

func TestLeaving(t *testing.T) {
	f := newFleet()
	var release chan struct{}
	answer := f.handle
	f.handle = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run == 1 {
			<-release
		}
		answer(w, r, run)
	}
	f.run(t, func(t *testing.T) {
		release = make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, body, err := f.call(t.Context(), request(http.MethodPost))
			assertAnswered(t, resp, body, err)
		}()
		time.Sleep(time.Second)
		leaving := f.servers[0]
		leaving.Leave()
		resp, body, err := f.call(t.Context(), request(http.MethodPost))
		assertAnswered(t, resp, body, err)
		assert.Equal(t, resp.Header.Get(classifier.HeaderInstance), "almacen-2")
		hurried, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, leaving.Drain(hurried), context.DeadlineExceeded)
		close(release)
		assert.NilError(t, leaving.Drain(t.Context()))
		<-done
	})
}

func TestOutcomeOfSeveralAttempts(t *testing.T) {
	f := newFleet()
	f.network.fault = fault{address: targetAddress, step: wait, kind: reset}
	other := f.instances[1].Spec()
	other.HTTP = f.instances[0].HTTP() // Meets the refusal of the first node.
	f.instances[1] = registrar.NewInstance(other)
	f.run(t, func(t *testing.T) {
		// The first attempt may have run; that the second did not proves nothing.
		f.handle = func(http.ResponseWriter, *http.Request, int64) {}
		time.AfterFunc(time.Microsecond, f.servers[0].Leave)
		resp, _, err := f.call(t.Context(), request(http.MethodGet))
		assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonLeaving)
	})
}

func TestDeadlineShrinks(t *testing.T) {
	f := newFleet()
	var seen string
	f.handle = func(w http.ResponseWriter, r *http.Request, _ int64) {
		seen = r.Header.Get(classifier.HeaderTimeout) + " " + r.Header.Get(classifier.HeaderDepth) + r.Header.Get(classifier.HeaderHop)
		_, _ = io.WriteString(w, "ok")
	}
	f.network.fault = fault{address: nodeAddress, step: connect, kind: stall}
	f.run(t, func(t *testing.T) {
		req := request(http.MethodGet)
		req.Header.Set(classifier.HeaderTimeout, "3000")
		req.Header.Set(classifier.HeaderDepth, "2")
		_, _, err := f.call(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, seen, "2500 3")
		assert.Equal(t, f.retried.Load(), int64(1))
		_, _, err = f.call(t.Context(), request(http.MethodPost))
		assert.NilError(t, err)
		assert.Equal(t, f.retried.Load(), int64(1)) // A first attempt is not.
	})
}

func TestSlowCaller(t *testing.T) {
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

func TestCallerThatStopsReading(t *testing.T) {
	f := newFleet()
	f.local = true
	f.handle = func(w http.ResponseWriter, _ *http.Request, _ int64) {
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
	f.network.fault = fault{address: nodeAddress, step: connect, kind: stall}
	f.run(t, func(t *testing.T) {
		req := request(http.MethodGet)
		req.Header.Set(classifier.HeaderTimeout, "400")
		resp, _, err := f.call(t.Context(), req)
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonDeadline)
		trace := f.explainer.Find(resp.Header.Get(classifier.HeaderRequestID))[0]
		assert.Equal(t, len(trace.Attempts()), 1)
	})
}
