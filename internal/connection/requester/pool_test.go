package requester_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

var addr = netip.MustParseAddrPort("192.0.2.1:80")

// peerScript acts as the server of one connection. It increments runs for each request
// that it has fully received.
type peerScript func(conn net.Conn, runs *atomic.Int64)

// dialer returns connections to the given scripts in order, and then to the last one.
// A nil script refuses the connection.
type dialer struct {
	scripts []peerScript
	dials   atomic.Int64
	runs    atomic.Int64
}

func (d *dialer) DialContext(context.Context, string, string) (net.Conn, error) {
	n := int(d.dials.Add(1)) - 1
	script := d.scripts[min(n, len(d.scripts)-1)]
	if script == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		script(server, &d.runs)
	}()
	return client, nil
}

// respondAlways writes the given bytes after each request.
func respondAlways(response string) peerScript {
	return func(conn net.Conn, runs *atomic.Int64) {
		r := bufio.NewReader(conn)
		for receiveRequest(r, runs) {
			fmt.Fprint(conn, response)
		}
	}
}

// respondOnce writes the given bytes after one request and closes.
func respondOnce(response string) peerScript {
	return func(conn net.Conn, runs *atomic.Int64) {
		receiveRequest(bufio.NewReader(conn), runs)
		fmt.Fprint(conn, response)
	}
}

// respondThenStall writes part of a response and then waits until the client closes.
func respondThenStall(part string) peerScript {
	return func(conn net.Conn, runs *atomic.Int64) {
		receiveRequest(bufio.NewReader(conn), runs)
		fmt.Fprint(conn, part)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// receiveRequest reads one request to its end and counts it.
func receiveRequest(r *bufio.Reader, runs *atomic.Int64) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	runs.Add(1)
	return true
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newRequest(method, body string) *http.Request {
	req, _ := http.NewRequest(method, "http://vitrina.example/colores", nil)
	if body != "" {
		req.Body = requester.NewBytesBody([]byte(body))
		req.ContentLength = int64(len(body))
	}
	return req
}

// doExchange performs one exchange and returns the response body.
func doExchange(ctx context.Context, pool *requester.Pool, req *http.Request) (string, error) {
	resp, err := pool.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func withPool(t *testing.T, cfg requester.Config, test func(t *testing.T, pool *requester.Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pool := requester.New(cfg)
		defer func() { assert.Check(t, pool.Close()) }()
		test(t, pool)
	})
}

func assertError(t *testing.T, err error, outcome classifier.Outcome, reason classifier.Reason) {
	t.Helper()
	var failure *requester.Error
	assert.Assert(t, errors.As(err, &failure), "error is %v", err)
	assert.Equal(t, failure.Reason(), reason, "error is %v", err)
	assert.Equal(t, failure.Outcome(), outcome, "error is %v", err)
}

func TestFailureOutcomeAndReason(t *testing.T) {
	tests := []struct {
		name    string
		script  peerScript
		outcome classifier.Outcome
		reason  classifier.Reason
		runs    int64
	}{
		{"connection refused", nil, classifier.NotRun, classifier.ReasonConnect, 0},
		{"closed before anything was written", func(net.Conn, *atomic.Int64) {}, classifier.NotRun, classifier.ReasonSend, 0},
		{"closed after part of the request head", func(conn net.Conn, _ *atomic.Int64) {
			_, _ = conn.Read(make([]byte, 8))
		}, classifier.Unknown, classifier.ReasonSend, 0},
		{"closed without a response", respondOnce(""), classifier.Unknown, classifier.ReasonReset, 1},
		{"closed within the response head", respondOnce("HTTP/1.1 200 OK\r\nCont"), classifier.Unknown, classifier.ReasonTruncated, 1},
		{"stalled within the response head", respondThenStall("HTTP/1.1 2"), classifier.Unknown, classifier.ReasonStalled, 1},
		{"silent until the deadline", respondThenStall(""), classifier.Unknown, classifier.ReasonTimeout, 1},
		{"not HTTP", respondOnce("220 smtp.example ESMTP\r\n"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"response head too large", respondOnce("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2<<20)), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"neither length nor chunks", respondOnce("HTTP/1.1 200 OK\r\n\r\nok"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"protocol switch", respondThenStall("HTTP/1.1 101 Switching Protocols\r\n\r\n"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"truncated body", respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), classifier.Unknown, classifier.ReasonTruncated, 1},
		{"truncated chunks", respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), classifier.Unknown, classifier.ReasonTruncated, 1},
		{"malformed chunks", respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"stalled body", respondThenStall("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), classifier.Unknown, classifier.ReasonStalled, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &dialer{scripts: []peerScript{tt.script}}
			withPool(t, requester.Config{Dialer: d, StallTimeout: time.Second}, func(t *testing.T, pool *requester.Pool) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				req := newRequest(http.MethodPost, "a body")
				// http.Transport would retry a request with this header.
				req.Header.Set(classifier.HeaderIdempotencyKey, "k")
				_, err := doExchange(ctx, pool, req)
				assertError(t, err, tt.outcome, tt.reason)
				assert.Equal(t, d.dials.Load(), int64(1))
				assert.Equal(t, d.runs.Load(), tt.runs)
			})
		})
	}
}

func TestCompleteResponses(t *testing.T) {
	tests := []struct {
		name, method, response, body string
	}{
		{"length", http.MethodGet, completeResponse, "ok"},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		{"informational response first", http.MethodGet, "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, "ok"},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", ""},
		{"head", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &dialer{scripts: []peerScript{respondAlways(tt.response)}}
			withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
				for range 3 {
					body, err := doExchange(t.Context(), pool, newRequest(tt.method, ""))
					assert.NilError(t, err)
					assert.Equal(t, body, tt.body)
				}
				assert.Equal(t, d.dials.Load(), int64(1), "connection is not reused")
			})
		})
	}
}

func TestRequestIsNeverReplayed(t *testing.T) {
	t.Run("idle connection closed by the peer is replaced before sending", func(t *testing.T) {
		d := &dialer{scripts: []peerScript{respondOnce(completeResponse), respondAlways(completeResponse)}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			for range 2 {
				_, err := doExchange(t.Context(), pool, newRequest(http.MethodPost, "x"))
				assert.NilError(t, err)
				synctest.Wait()
			}
			assert.Equal(t, d.dials.Load(), int64(2))
		})
	})
	t.Run("close after the request was sent is an error", func(t *testing.T) {
		closeOnSecondRequest := func(conn net.Conn, runs *atomic.Int64) {
			r := bufio.NewReader(conn)
			receiveRequest(r, runs)
			fmt.Fprint(conn, completeResponse)
			receiveRequest(r, runs)
		}
		d := &dialer{scripts: []peerScript{closeOnSecondRequest}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			_, err := doExchange(t.Context(), pool, newRequest(http.MethodGet, ""))
			assert.NilError(t, err)
			_, err = doExchange(t.Context(), pool, newRequest(http.MethodGet, ""))
			assertError(t, err, classifier.Unknown, classifier.ReasonReset)
			assert.Equal(t, d.runs.Load(), int64(2))
		})
		// With the same server, http.Transport sends the second request twice.
		d = &dialer{scripts: []peerScript{closeOnSecondRequest, respondAlways(completeResponse)}}
		transport := &http.Transport{DialContext: d.DialContext}
		defer transport.CloseIdleConnections()
		for range 2 {
			resp, err := transport.RoundTrip(newRequest(http.MethodGet, ""))
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		assert.Equal(t, d.runs.Load(), int64(3))
	})
}

func TestConnectionCloseHeaderPreventsReuse(t *testing.T) {
	d := &dialer{scripts: []peerScript{respondAlways("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")}}
	withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
		for range 2 {
			_, err := doExchange(t.Context(), pool, newRequest(http.MethodGet, ""))
			assert.NilError(t, err)
		}
		assert.Equal(t, d.dials.Load(), int64(2), "connection was reused after Connection: close")
	})
}

// brokenConn is a connection whose writes fail, and a dialer that returns it.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func (c brokenConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

func TestResponseToUnsentRequestIsIgnored(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	go fmt.Fprint(server, "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
	withPool(t, requester.Config{Dialer: brokenConn{client}}, func(t *testing.T, pool *requester.Pool) {
		_, err := doExchange(t.Context(), pool, newRequest(http.MethodPost, "x"))
		assertError(t, err, classifier.NotRun, classifier.ReasonSend)
	})
}

func TestConnectionLimit(t *testing.T) {
	d := &dialer{scripts: []peerScript{respondAlways(completeResponse)}}
	withPool(t, requester.Config{Dialer: d, MaxConnsPerHost: 1}, func(t *testing.T, pool *requester.Pool) {
		resp, err := pool.Do(t.Context(), addr, newRequest(http.MethodGet, ""))
		assert.NilError(t, err)
		_, err = doExchange(t.Context(), pool, newRequest(http.MethodGet, ""))
		assertError(t, err, classifier.NotRun, classifier.ReasonConnections)
		resp.Body.Close()
		_, err = doExchange(t.Context(), pool, newRequest(http.MethodGet, ""))
		assert.NilError(t, err)
	})
}

func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	closed := make(chan struct{})
	d := &dialer{scripts: []peerScript{func(conn net.Conn, runs *atomic.Int64) {
		respondAlways(completeResponse)(conn, runs)
		close(closed)
	}}}
	withPool(t, requester.Config{Dialer: d, IdleTimeout: time.Minute}, func(t *testing.T, pool *requester.Pool) {
		_, err := doExchange(t.Context(), pool, newRequest(http.MethodGet, ""))
		assert.NilError(t, err)
		time.Sleep(2 * time.Minute)
		<-closed
	})
}

// TestConnectionIsNotReusedUntilItsServerCloses guards against a request that crosses the close of a connection whose timeout the server has named.
func TestConnectionIsNotReusedUntilItsServerCloses(t *testing.T) {
	for name, tc := range map[string]struct {
		keepAlive string
		idle      time.Duration
		reused    bool
	}{
		"well before the timeout": {"timeout=2, max=100", time.Second, true},
		"just before the timeout": {"timeout=2", 1900 * time.Millisecond, false},
		"timeout of a second":     {"Timeout=1", 700 * time.Millisecond, true},
		"no time at all":          {"timeout=0", 0, false},
		"malformed":               {"timeout=soon", 3 * time.Second, true},
		"longer than the pool's":  {"timeout=3600", 31 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := &dialer{scripts: []peerScript{respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: " + tc.keepAlive + "\r\n\r\nok")}}
			withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
				for range 2 {
					_, err := doExchange(t.Context(), pool, newRequest(http.MethodPost, "12 litres"))
					assert.NilError(t, err)
					time.Sleep(tc.idle)
				}
			})
			assert.Equal(t, d.dials.Load() == 1, tc.reused)
		})
	}
}

func TestCancellationClosesConnection(t *testing.T) {
	disconnected := make(chan struct{})
	d := &dialer{scripts: []peerScript{func(conn net.Conn, runs *atomic.Int64) {
		respondThenStall("")(conn, runs)
		close(disconnected)
	}}}
	withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := doExchange(ctx, pool, newRequest(http.MethodGet, ""))
		assertError(t, err, classifier.Unknown, classifier.ReasonCanceled)
		<-disconnected
	})
}

func TestStreamedRequests(t *testing.T) {
	const refusal = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n"
	readHead := func(conn net.Conn) {
		r := bufio.NewReaderSize(conn, 16)
		for {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				return
			}
		}
	}
	newStreamedRequest := func(body io.Reader) *http.Request {
		req, _ := http.NewRequest(http.MethodPost, "http://almacen.example/", io.NopCloser(body))
		req.ContentLength = 1 << 20
		return req
	}
	t.Run("return a response that arrives before the body is sent", func(t *testing.T) {
		d := &dialer{scripts: []peerScript{func(conn net.Conn, _ *atomic.Int64) {
			readHead(conn)
			fmt.Fprint(conn, refusal)
			_, _ = conn.Read(make([]byte, 1)) // Reads only the first byte of the body.
		}}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			resp, err := pool.Do(t.Context(), addr, newStreamedRequest(strings.NewReader(strings.Repeat("x", 1<<20))))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		})
	})
	t.Run("wait for the 100 response before the body is read", func(t *testing.T) {
		d := &dialer{scripts: []peerScript{func(conn net.Conn, _ *atomic.Int64) {
			readHead(conn)
			fmt.Fprint(conn, refusal)
		}}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			body := strings.NewReader(strings.Repeat("x", 1<<20))
			req := newStreamedRequest(body)
			req.Header.Set("Expect", "100-continue")
			resp, err := pool.Do(t.Context(), addr, req)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
			synctest.Wait()
			assert.Equal(t, body.Len(), 1<<20, "body was read")
		})
	})
	t.Run("are not run if the body ends early", func(t *testing.T) {
		d := &dialer{scripts: []peerScript{respondAlways(completeResponse)}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := pool.Do(ctx, addr, newStreamedRequest(strings.NewReader("")))
			assert.Assert(t, err != nil)
			assert.Equal(t, d.runs.Load(), int64(0))
		})
	})
}

// TestBodyIsSentOnlyWhenAskedFor guards against a body that is used up at a server that runs nothing, and against a request that is said not to have run after a part of its body was sent.
func TestBodyIsSentOnlyWhenAskedFor(t *testing.T) {
	const size, wait = 100_000, 3 * time.Second
	const continued = "HTTP/1.1 100 Continue\r\n\r\n"
	receiveHead := func(conn net.Conn) *bufio.Reader {
		r := bufio.NewReader(conn)
		_, err := http.ReadRequest(r)
		assert.Check(t, err)
		time.Sleep(wait)
		return r
	}
	for name, tc := range map[string]struct {
		script  peerScript
		unread  bool // Whether the body was left unread.
		outcome classifier.Outcome
	}{
		"server closes before it asks": {func(conn net.Conn, _ *atomic.Int64) { receiveHead(conn) }, true, classifier.NotRun},
		"server closes after it asked": {func(conn net.Conn, _ *atomic.Int64) {
			r := receiveHead(conn)
			fmt.Fprint(conn, continued)
			_, _ = r.Discard(10)
		}, false, classifier.Unknown},
		"server asks and responds late": {func(conn net.Conn, _ *atomic.Int64) {
			r := receiveHead(conn)
			fmt.Fprint(conn, continued)
			_, _ = r.Discard(size)
			time.Sleep(wait) // Longer than the stall timeout.
			fmt.Fprint(conn, completeResponse)
		}, false, classifier.Done},
		"server responds without asking": {func(conn net.Conn, _ *atomic.Int64) {
			receiveHead(conn)
			fmt.Fprint(conn, completeResponse)
		}, true, classifier.Done},
	} {
		t.Run(name, func(t *testing.T) {
			d := &dialer{scripts: []peerScript{tc.script}}
			withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
				body := strings.NewReader(strings.Repeat("x", size))
				req, err := http.NewRequest(http.MethodPost, "http://almacen.example/", io.NopCloser(body))
				assert.NilError(t, err)
				req.ContentLength = size
				req.Header.Set("Expect", "100-continue")
				resp, err := pool.DoLimited(t.Context(), addr, req, requester.Limits{StallTimeout: time.Second, RunsWithBody: true})
				if tc.outcome == classifier.Done {
					assert.NilError(t, err)
					_, err = io.Copy(io.Discard, resp.Body)
					assert.NilError(t, err)
				} else {
					var failure *requester.Error
					assert.Assert(t, errors.As(err, &failure), "%v", err)
					assert.Equal(t, failure.Outcome(), tc.outcome)
				}
				synctest.Wait()
				assert.Equal(t, body.Len() == size, tc.unread)
			})
		})
	}
}

// TestConnectionWithUnsentBodyIsNotReused guards against a later request whose bytes a server takes for the rest of a body that it reads only after its response.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	var received chan []byte // Made in the bubble of the test.
	d := &dialer{scripts: []peerScript{func(conn net.Conn, _ *atomic.Int64) {
		r := bufio.NewReader(conn)
		_, err := http.ReadRequest(r)
		assert.Check(t, err)
		fmt.Fprint(conn, completeResponse)
		time.Sleep(time.Second)
		rest, _ := io.ReadAll(r) // Until the connection is closed.
		received <- rest
	}, respondAlways(completeResponse)}}
	withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
		received = make(chan []byte, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req, err := http.NewRequest(http.MethodPost, "http://almacen.example/", io.NopCloser(strings.NewReader(strings.Repeat("x", 360_000))))
		assert.NilError(t, err)
		req.ContentLength = 360_000
		for _, r := range []*http.Request{req, newRequest(http.MethodPost, "other"), newRequest(http.MethodGet, "")} {
			body, err := doExchange(ctx, pool, r)
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
		}
		assert.Equal(t, strings.Trim(string(<-received), "x"), "")
		assert.Equal(t, d.dials.Load(), int64(2))
	})
}
