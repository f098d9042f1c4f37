package requester_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// echoHeader is the header that the test servers copy from requests to responses.
const echoHeader = "X-Echo"

// startRawServer serves each request by calling respond, which writes the raw
// response. It returns the address and the number of accepted connections.
func startRawServer(t *testing.T, respond func(w net.Conn, r *http.Request)) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	accepted := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go serveConnection(conn, respond)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), accepted
}

// serveConnection responds to requests until one has the header X-End.
func serveConnection(conn net.Conn, respond func(w net.Conn, r *http.Request)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(conn, req)
		if req.Header.Get("X-End") != "" {
			return
		}
	}
}

func newEchoPool(t *testing.T) *requester.Pool {
	t.Helper()
	p := requester.New(requester.Config{Dialer: &net.Dialer{}, EchoHeader: echoHeader, AllowCloseDelimited: true})
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	return p
}

// getBody sends a request with the given ID in its echo header and returns the
// response body. Each name in header is set to 1.
func getBody(t *testing.T, p *requester.Pool, addr netip.AddrPort, id string, header ...string) (string, error) {
	t.Helper()
	return getBodyWithin(context.Background(), t, p, addr, id, header...)
}

// getBodyWithin is like getBody, but gives up when ctx ends.
func getBodyWithin(ctx context.Context, t *testing.T, p *requester.Pool, addr netip.AddrPort, id string, header ...string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	assert.NilError(t, err)
	req.Header.Set(echoHeader, id)
	for _, name := range header {
		req.Header.Set(name, "1")
	}
	resp, err := p.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// writeResponse writes a response with a length and with the given ID as echo header.
func writeResponse(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echoHeader, id, len(body), body)
}

// TestExtraResponseIsDiscarded checks that an extra response before or after the expected
// one is not returned, and that its connection is not reused.
func TestExtraResponseIsDiscarded(t *testing.T) {
	for name, respond := range map[string]func(w net.Conn, r *http.Request){
		"extra response first": func(w net.Conn, r *http.Request) {
			writeResponse(w, "earlier", "of another")
			writeResponse(w, r.Header.Get(echoHeader), "own")
		},
		"extra response last": func(w net.Conn, r *http.Request) {
			// Both responses are written at once. If the second one arrived after the next
			// request was sent, this would be the case above.
			var both bytes.Buffer
			writeResponse(&both, r.Header.Get(echoHeader), "own")
			writeResponse(&both, r.Header.Get(echoHeader), "again")
			_, _ = both.WriteTo(w) // A failed write fails the client's request.
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startRawServer(t, respond)
			p := newEchoPool(t)
			for _, id := range []string{"a", "b"} {
				body, err := getBody(t, p, addr, id)
				assert.NilError(t, err)
				assert.Equal(t, body, "own")
			}
			assert.Equal(t, accepted.Load(), int64(2))
		})
	}
}

// TestForeignResponseIsDiscarded guards against additional bytes of a faulty server that are passed on as the response to the next request, or say that it has not run.
func TestForeignResponseIsDiscarded(t *testing.T) {
	for name, foreign := range map[string]string{
		"success without id":       "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nleftover",
		"refusal without id":       "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"success with empty id":    "HTTP/1.1 200 OK\r\n" + echoHeader + ": \r\nContent-Length: 0\r\n\r\n",
		"earlier refusal again":    "HTTP/1.1 503 Service Unavailable\r\n" + echoHeader + ": earlier\r\nContent-Length: 0\r\n\r\n",
		"two responses without id": "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"own id and another's too": "HTTP/1.1 200 OK\r\n" + echoHeader + ": a\r\n" + echoHeader + ": earlier\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startRawServer(t, func(w net.Conn, r *http.Request) {
				_, _ = io.WriteString(w, foreign)
				writeResponse(w, r.Header.Get(echoHeader), "own")
			})
			p := newEchoPool(t)
			for range 2 {
				body, err := getBody(t, p, addr, "a")
				assert.NilError(t, err)
				assert.Equal(t, body, "own")
			}
			assert.Equal(t, accepted.Load(), int64(2), "a connection with foreign bytes was used again")
		})
	}
}

// TestForeignBytesBeforeHeadAreNoResponse guards against additional bytes that end anywhere within a head and make one with that of the response.
func TestForeignBytesBeforeHeadAreNoResponse(t *testing.T) {
	const foreign = "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	for end := 1; end <= len(foreign); end++ {
		addr, _ := startRawServer(t, func(w net.Conn, r *http.Request) {
			_, _ = io.WriteString(w, foreign[:end])
			writeResponse(w, r.Header.Get(echoHeader), "own")
		})
		p := newEchoPool(t)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
		assert.NilError(t, err)
		req.Header.Set(echoHeader, "a")
		req.Header.Set("X-End", "1")
		resp, err := p.Do(t.Context(), addr, req)
		if err != nil {
			var failure *requester.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Outcome(), classifier.Unknown, "%q", foreign[:end])
			continue
		}
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%q made a head of its own", foreign[:end])
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "own")
	}
}

// TestRequestWithoutIDTakesResponse checks that a server may leave the echo header out where there is nothing to echo.
func TestRequestWithoutIDTakesResponse(t *testing.T) {
	addr, _ := startRawServer(t, func(w net.Conn, _ *http.Request) {
		_, _ = io.WriteString(w, completeResponse)
	})
	body, err := getBody(t, newEchoPool(t), addr, "")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// TestHeadThatEndsEarlyIsNoResponse guards against a server that stops anywhere within the head of its response and closes, which makes an empty body look whole.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	for name, framing := range map[string]string{"no length": "", "length": "Content-Length: 4\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "empty": "Content-Length: 0\r\n"} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + echoHeader + ": a\r\n" + framing + "\r\n"
			for end := range len(head) {
				addr, _ := startRawServer(t, func(w net.Conn, _ *http.Request) {
					_, _ = io.WriteString(w, head[:end])
				})
				_, err := getBody(t, newEchoPool(t), addr, "a", "X-End")
				var failure *requester.Error
				assert.Assert(t, errors.As(err, &failure), "%q passed as a response", head[:end])
				assert.Equal(t, failure.Outcome(), classifier.Unknown)
			}
		})
	}
}

// TestCloseDelimitedResponses checks that a response without a length is complete if
// the server closes the connection, and fails if the connection is reset.
func TestCloseDelimitedResponses(t *testing.T) {
	addr, _ := startRawServer(t, func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nbody", echoHeader, r.Header.Get(echoHeader))
		if r.Header.Get("X-Reset") != "" {
			_ = w.(*net.TCPConn).SetLinger(0)
			w.Close()
		}
	})
	p := newEchoPool(t)
	body, err := getBody(t, p, addr, "a", "X-End")
	assert.NilError(t, err)
	assert.Equal(t, body, "body")
	_, err = getBody(t, p, addr, "b", "X-Reset", "X-End")
	var failure *requester.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Outcome(), classifier.Unknown)
}
