package limiter

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	start        = "GET / HTTP/1.1\r\nHost: a\r\n"
	testBytes    = 16 << 10
	testPool     = 1 << 20
	testRoom     = 8
	testPatience = 10 * time.Second
)

// testServer is a server whose clients are limited.
type testServer struct {
	limiter *Limiter
	address string
}

func newTestServer(t *testing.T, limits Limits, h http.HandlerFunc) *testServer {
	t.Helper()
	l := New(Config{
		Heads: NewPool(testPool), Connections: testRoom, Scope: tally.NoopScope,
		Limits: func() Limits { return limits },
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: h, ConnState: l.Observe}
	go srv.Serve(l.Listen(socket)) //nolint:errcheck // Ends with the server.
	t.Cleanup(func() { assert.Check(t, srv.Close()) })
	return &testServer{limiter: l, address: socket.Addr().String()}
}

func testLimits() Limits { return DefaultLimits().With(testBytes, testPatience) }

func respond(http.ResponseWriter, *http.Request) {}

// dial returns a connection that has sent text.
func (s *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	return conn
}

func assertResponse(t *testing.T, conn net.Conn, status int, reason classifier.Reason) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, status)
	assert.Equal(t, resp.Header.Get(classifier.HeaderReason), string(reason))
	if reason != classifier.ReasonNone {
		assert.Equal(t, resp.Header.Get(classifier.HeaderOutcome), classifier.Unknown.String())
		assert.Equal(t, resp.Close, true)
	}
}

// assertClosed checks that the connection ends without a response.
func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	data, _ := io.ReadAll(conn)
	assert.Equal(t, string(data), "")
}

// held returns what all heads hold of the pool.
func (s *testServer) held() int {
	p := s.limiter.cfg.Heads
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// awaitHeld waits until what is held of the pool satisfies a condition.
func (s *testServer) awaitHeld(t *testing.T, ok func(int) bool) {
	t.Helper()
	for !ok(s.held()) {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"one line":   start + "X-Odd: " + strings.Repeat("x", 2*testBytes),
		"lines":      start + strings.Repeat("a:\r\n", testBytes/2),
		"first line": "GET /" + strings.Repeat("x", 2*testBytes),
		"method":     strings.Repeat("x", 2*testBytes),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, testLimits(), respond)
			assertResponse(t, s.dial(t, text), http.StatusRequestHeaderFieldsTooLarge, classifier.ReasonHeadTooLarge)
			s.awaitHeld(t, func(n int) bool { return n == 0 })
		})
	}
	t.Run("more lines than any limit of bytes allows", func(t *testing.T) {
		s := newTestServer(t, DefaultLimits(), respond)
		conn := s.dial(t, start+strings.Repeat("a:\n", 2*maxHeadLines))
		assertResponse(t, conn, http.StatusRequestHeaderFieldsTooLarge, classifier.ReasonHeadTooLarge)
	})
}

func TestHeadWithinTheLimitIsServed(t *testing.T) {
	for name, text := range map[string]string{
		"one line": start + "X-Odd: " + strings.Repeat("x", testBytes-len(start)-11) + "\r\n\r\n",
		"lines":    start + strings.Repeat("a:\r\n", (testBytes-len(start)-2)/4) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, testLimits(), respond)
			conn := s.dial(t, text)
			for range 3 { // On the same connection.
				assertResponse(t, conn, http.StatusOK, classifier.ReasonNone)
				_, err := io.WriteString(conn, text)
				assert.NilError(t, err)
			}
			assertResponse(t, conn, http.StatusOK, classifier.ReasonNone)
			s.awaitHeld(t, func(n int) bool { return n == 0 })
		})
	}
}

// TestCrowdOfLegalHeadsIsBounded checks that heads that are held open leave ordinary requests their answers, and large ones a refusal.
func TestCrowdOfLegalHeadsIsBounded(t *testing.T) {
	s := newTestServer(t, testLimits(), respond)
	for range 2 {
		s.dial(t, start+strings.Repeat("a:\r\n", 1500))
	}
	s.awaitHeld(t, func(n int) bool { return n > testPool/2 })
	assertResponse(t, s.dial(t, start+strings.Repeat("a:\r\n", 1500)+"\r\n"), http.StatusServiceUnavailable, classifier.ReasonCrowded)
	assertResponse(t, s.dial(t, start+"\r\n"), http.StatusOK, classifier.ReasonNone)
	assert.Assert(t, s.held() <= testPool)
}

// TestHeadBehindAnotherIsCounted guards against heads that arrive with the one before, in the same read.
func TestHeadBehindAnotherIsCounted(t *testing.T) {
	release := make(chan struct{})
	s := newTestServer(t, testLimits(), func(_ http.ResponseWriter, r *http.Request) {
		if len(r.Header) > 0 {
			<-release
		}
	})
	conn := s.dial(t, start+"\r\n"+start+strings.Repeat("a:\r\n", 900)+"\r\n")
	assertResponse(t, conn, http.StatusOK, classifier.ReasonNone)
	s.awaitHeld(t, func(n int) bool { return n > 900*headLineCost/2 })
	close(release)
	conn.Close()
	s.awaitHeld(t, func(n int) bool { return n == 0 })
}

func TestSlowHeadEndsInTime(t *testing.T) {
	s := newTestServer(t, testLimits().With(0, 100*time.Millisecond), respond)
	conn := s.dial(t, start)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(conn, "a:\r\n"); err != nil {
				return
			}
		}
	}()
	assertClosed(t, conn)
}

// TestNewConnectionTakesThePlaceOfASilentOne guards against clients that send nothing until no connection is left for others.
func TestNewConnectionTakesThePlaceOfASilentOne(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":       "",
		"part of head":  start,
		"idle":          start + "\r\n",
		"part of body":  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx",
		"after another": start + "\r\n" + start,
		"unread body":   "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, testLimits(), func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/unread" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			})
			for range testRoom {
				s.dial(t, text)
			}
			time.Sleep(bodyPatience + 100*time.Millisecond)
			assertResponse(t, s.dial(t, start+"\r\n"), http.StatusOK, classifier.ReasonNone)
		})
	}
}

// TestRequestInProgressKeepsItsPlace checks that a crowd ends no request that is complete.
func TestRequestInProgressKeepsItsPlace(t *testing.T) {
	release := make(chan struct{})
	s := newTestServer(t, testLimits(), func(http.ResponseWriter, *http.Request) { <-release })
	var conns []net.Conn
	for range testRoom {
		conns = append(conns, s.dial(t, start+"\r\n"))
	}
	for s.limiter.roster.count()[active] < testRoom {
		time.Sleep(time.Millisecond)
	}
	assertClosed(t, s.dial(t, ""))
	close(release)
	for _, conn := range conns {
		assertResponse(t, conn, http.StatusOK, classifier.ReasonNone)
	}
}

func TestConnectionsAreCountedByState(t *testing.T) {
	s := newTestServer(t, testLimits(), respond)
	accept := func() *Conn {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer socket.Close()
		peer, err := net.Dial("tcp", socket.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { peer.Close() })
		conn, err := s.limiter.Listen(socket).Accept()
		assert.NilError(t, err)
		return conn.(*Conn)
	}
	var conns []*Conn
	for _, state := range []http.ConnState{http.StateNew, http.StateNew, http.StateActive, http.StateIdle, http.StateHijacked} {
		conn := accept()
		conns = append(conns, conn)
		s.limiter.Observe(conn, http.StateNew)
		s.limiter.Observe(conn, state)
	}
	closed := accept()
	assert.NilError(t, closed.Close())
	s.limiter.Observe(closed, http.StateClosed)
	s.limiter.Observe(conns[0], http.StateActive)
	var log bytes.Buffer
	l := zerolog.New(&log)
	l.Log().EmbedObject(s.limiter).Send()
	assert.Equal(t, log.String(), "{\"new\":1,\"active\":2,\"idle\":1}\n")
}

// TestNextHeadCountsFromItsFirstBytes guards against requests on kept connections that lose their place since those were idle for long.
func TestNextHeadCountsFromItsFirstBytes(t *testing.T) {
	s := newTestServer(t, testLimits(), respond)
	conn := s.dial(t, start+"\r\n")
	assertResponse(t, conn, http.StatusOK, classifier.ReasonNone)
	for range testRoom - 1 {
		s.dial(t, start)
	}
	for s.limiter.roster.count()[pending] < testRoom-1 {
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(conn, start)
	assert.NilError(t, err)
	for s.limiter.roster.count()[pending] < testRoom {
		time.Sleep(time.Millisecond)
	}
	assertResponse(t, s.dial(t, start+"\r\n"), http.StatusOK, classifier.ReasonNone)
	_, err = io.WriteString(conn, "\r\n")
	assert.NilError(t, err)
	assertResponse(t, conn, http.StatusOK, classifier.ReasonNone)
}
