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

// script plays the other side of one connection.
type script func(conn net.Conn, runs *atomic.Int64)

// dialer hands out connections to scripts, the last of which is used again.
type dialer struct {
	scripts []script
	dials   atomic.Int64
	runs    atomic.Int64
}

func (d *dialer) DialContext(context.Context, string, string) (net.Conn, error) {
	n := int(d.dials.Add(1)) - 1
	play := d.scripts[min(n, len(d.scripts)-1)]
	if play == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		play(far, &d.runs)
	}()
	return near, nil
}

// answering answers each request with the given bytes.
func answering(answer string) script {
	return func(conn net.Conn, runs *atomic.Int64) {
		r := bufio.NewReader(conn)
		for receive(r, runs) {
			fmt.Fprint(conn, answer)
		}
	}
}

// answeringOnce answers one request and closes.
func answeringOnce(answer string) script {
	return func(conn net.Conn, runs *atomic.Int64) {
		receive(bufio.NewReader(conn), runs)
		fmt.Fprint(conn, answer)
	}
}

// silent answers part of an answer and then nothing until the other side closes.
func silent(part string) script {
	return func(conn net.Conn, runs *atomic.Int64) {
		receive(bufio.NewReader(conn), runs)
		fmt.Fprint(conn, part)
		_, _ = io.Copy(io.Discard, conn)
	}
}

func receive(r *bufio.Reader, runs *atomic.Int64) bool {
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

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newRequest(method, body string) *http.Request {
	req, _ := http.NewRequest(method, "http://vitrina.example/colores", nil)
	if body != "" {
		req.Body = requester.NewBytesBody([]byte(body))
		req.ContentLength = int64(len(body))
	}
	return req
}

// exchange performs one exchange up to the end of the body.
func exchange(ctx context.Context, pool *requester.Pool, req *http.Request) (string, error) {
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

func assertFailure(t *testing.T, err error, outcome classifier.Outcome, reason classifier.Reason) {
	t.Helper()
	var failure *requester.Error
	assert.Assert(t, errors.As(err, &failure), "error is %v", err)
	assert.Equal(t, failure.Reason(), reason, "error is %v", err)
	assert.Equal(t, failure.Outcome(), outcome, "error is %v", err)
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name    string
		script  script
		outcome classifier.Outcome
		reason  classifier.Reason
		runs    int64
	}{
		{"refused connection", nil, classifier.NotRun, classifier.ReasonConnect, 0},
		{"closed before anything was written", func(net.Conn, *atomic.Int64) {}, classifier.NotRun, classifier.ReasonSend, 0},
		{"closed after a part of the head", func(conn net.Conn, _ *atomic.Int64) {
			_, _ = conn.Read(make([]byte, 8))
		}, classifier.Unknown, classifier.ReasonSend, 0},
		{"closed without an answer", answeringOnce(""), classifier.Unknown, classifier.ReasonReset, 1},
		{"closed within the head", answeringOnce("HTTP/1.1 200 OK\r\nCont"), classifier.Unknown, classifier.ReasonTruncated, 1},
		{"stalled within the head", silent("HTTP/1.1 2"), classifier.Unknown, classifier.ReasonStalled, 1},
		{"silent until the deadline", silent(""), classifier.Unknown, classifier.ReasonTimeout, 1},
		{"not HTTP", answeringOnce("220 smtp.example ESMTP\r\n"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"endless head", answeringOnce("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2<<20)), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"no length", answeringOnce("HTTP/1.1 200 OK\r\n\r\nok"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"other protocol", silent("HTTP/1.1 101 Switching Protocols\r\n\r\n"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"truncated body", answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), classifier.Unknown, classifier.ReasonTruncated, 1},
		{"truncated chunks", answeringOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), classifier.Unknown, classifier.ReasonTruncated, 1},
		{"malformed chunks", answeringOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), classifier.Unknown, classifier.ReasonMalformed, 1},
		{"stalled body", silent("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), classifier.Unknown, classifier.ReasonStalled, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &dialer{scripts: []script{tt.script}}
			withPool(t, requester.Config{Dialer: d, StallTimeout: time.Second}, func(t *testing.T, pool *requester.Pool) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				req := newRequest(http.MethodPost, "a body")
				req.Header.Set(classifier.HeaderIdempotencyKey, "k") // Would let http.Transport send it again.
				_, err := exchange(ctx, pool, req)
				assertFailure(t, err, tt.outcome, tt.reason)
				assert.Equal(t, d.dials.Load(), int64(1))
				assert.Equal(t, d.runs.Load(), tt.runs)
			})
		})
	}
}

func TestWholeAnswers(t *testing.T) {
	tests := []struct {
		name, method, answer, body string
	}{
		{"length", http.MethodGet, whole, "ok"},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		{"informational first", http.MethodGet, "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "ok"},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", ""},
		{"head", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &dialer{scripts: []script{answering(tt.answer)}}
			withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
				for range 3 {
					body, err := exchange(t.Context(), pool, newRequest(tt.method, ""))
					assert.NilError(t, err)
					assert.Equal(t, body, tt.body)
				}
				assert.Equal(t, d.dials.Load(), int64(1), "connection is not reused")
			})
		})
	}
}

func TestReplay(t *testing.T) {
	t.Run("of an idle connection that the peer closed is not needed", func(t *testing.T) {
		d := &dialer{scripts: []script{answeringOnce(whole), answering(whole)}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			for range 2 {
				_, err := exchange(t.Context(), pool, newRequest(http.MethodPost, "x"))
				assert.NilError(t, err)
				synctest.Wait()
			}
			assert.Equal(t, d.dials.Load(), int64(2))
		})
	})
	t.Run("after a close at the moment of sending is left out", func(t *testing.T) {
		answerThenDrop := func(conn net.Conn, runs *atomic.Int64) {
			r := bufio.NewReader(conn)
			receive(r, runs)
			fmt.Fprint(conn, whole)
			receive(r, runs)
		}
		d := &dialer{scripts: []script{answerThenDrop}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			_, err := exchange(t.Context(), pool, newRequest(http.MethodGet, ""))
			assert.NilError(t, err)
			_, err = exchange(t.Context(), pool, newRequest(http.MethodGet, ""))
			assertFailure(t, err, classifier.Unknown, classifier.ReasonReset)
			assert.Equal(t, d.runs.Load(), int64(2))
		})
		// The same server makes http.Transport run the second request twice.
		d = &dialer{scripts: []script{answerThenDrop, answering(whole)}}
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

func TestConnectionIsNotKept(t *testing.T) {
	d := &dialer{scripts: []script{answering("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")}}
	withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
		for range 2 {
			_, err := exchange(t.Context(), pool, newRequest(http.MethodGet, ""))
			assert.NilError(t, err)
		}
		assert.Equal(t, d.dials.Load(), int64(2), "the other side asked to close")
	})
}

// brokenConn is a connection on which nothing can be sent.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func (c brokenConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

func TestAnswerToNothingIsNotTaken(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go fmt.Fprint(far, "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
	withPool(t, requester.Config{Dialer: brokenConn{near}}, func(t *testing.T, pool *requester.Pool) {
		_, err := exchange(t.Context(), pool, newRequest(http.MethodPost, "x"))
		assertFailure(t, err, classifier.NotRun, classifier.ReasonSend)
	})
}

func TestConnectionLimit(t *testing.T) {
	d := &dialer{scripts: []script{answering(whole)}}
	withPool(t, requester.Config{Dialer: d, MaxPerHost: 1}, func(t *testing.T, pool *requester.Pool) {
		resp, err := pool.Do(t.Context(), addr, newRequest(http.MethodGet, ""))
		assert.NilError(t, err)
		_, err = exchange(t.Context(), pool, newRequest(http.MethodGet, ""))
		assertFailure(t, err, classifier.NotRun, classifier.ReasonConnections)
		resp.Body.Close()
		_, err = exchange(t.Context(), pool, newRequest(http.MethodGet, ""))
		assert.NilError(t, err)
	})
}

func TestIdleTimeout(t *testing.T) {
	closed := make(chan struct{})
	d := &dialer{scripts: []script{func(conn net.Conn, runs *atomic.Int64) {
		answering(whole)(conn, runs)
		close(closed)
	}}}
	withPool(t, requester.Config{Dialer: d, IdleTimeout: time.Minute}, func(t *testing.T, pool *requester.Pool) {
		_, err := exchange(t.Context(), pool, newRequest(http.MethodGet, ""))
		assert.NilError(t, err)
		time.Sleep(2 * time.Minute)
		<-closed
	})
}

func TestCancellation(t *testing.T) {
	seen := make(chan struct{})
	d := &dialer{scripts: []script{func(conn net.Conn, runs *atomic.Int64) {
		silent("")(conn, runs)
		close(seen)
	}}}
	withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := exchange(ctx, pool, newRequest(http.MethodGet, ""))
		assertFailure(t, err, classifier.Unknown, classifier.ReasonCanceled)
		<-seen
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
	stream := func(body io.Reader) *http.Request {
		req, _ := http.NewRequest(http.MethodPost, "http://almacen.example/", io.NopCloser(body))
		req.ContentLength = 1 << 20
		return req
	}
	t.Run("take an answer that comes early", func(t *testing.T) {
		d := &dialer{scripts: []script{func(conn net.Conn, _ *atomic.Int64) {
			readHead(conn)
			fmt.Fprint(conn, refusal)
			_, _ = conn.Read(make([]byte, 1)) // Takes no more than this of the body.
		}}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			resp, err := pool.Do(t.Context(), addr, stream(strings.NewReader(strings.Repeat("x", 1<<20))))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		})
	})
	t.Run("wait for leave to send the body", func(t *testing.T) {
		d := &dialer{scripts: []script{func(conn net.Conn, _ *atomic.Int64) {
			readHead(conn)
			fmt.Fprint(conn, refusal)
		}}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			body := strings.NewReader(strings.Repeat("x", 1<<20))
			req := stream(body)
			req.Header.Set("Expect", "100-continue")
			resp, err := pool.Do(t.Context(), addr, req)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
			synctest.Wait()
			assert.Equal(t, body.Len(), 1<<20, "body was read")
		})
	})
	t.Run("are not run if the body fails at once", func(t *testing.T) {
		d := &dialer{scripts: []script{answering(whole)}}
		withPool(t, requester.Config{Dialer: d}, func(t *testing.T, pool *requester.Pool) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := pool.Do(ctx, addr, stream(strings.NewReader("")))
			assert.Assert(t, err != nil)
			assert.Equal(t, d.runs.Load(), int64(0))
		})
	})
}
