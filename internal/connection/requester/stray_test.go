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

// echoHeader is copied by the servers of these tests from requests to answers.
const echoHeader = "X-Echo"

// serveRaw accepts connections and has each request on them answered by the
// bytes that answer writes. It returns the address and the number of connections.
func serveRaw(t *testing.T, answer func(w net.Conn, r *http.Request)) (netip.AddrPort, *atomic.Int64) {
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
			go serveConnection(conn, answer)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), accepted
}

func serveConnection(conn net.Conn, answer func(w net.Conn, r *http.Request)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(conn, req)
		if req.Header.Get("X-End") != "" {
			return
		}
	}
}

func newEchoPool(t *testing.T) *requester.Pool {
	t.Helper()
	p := requester.New(requester.Config{Dialer: &net.Dialer{}, EchoHeader: echoHeader, Unframed: true})
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	return p
}

// get sends a request with the given id and returns the body of its answer.
func get(t *testing.T, p *requester.Pool, addr netip.AddrPort, id string, header ...string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	assert.NilError(t, err)
	req.Header.Set(echoHeader, id)
	for _, name := range header {
		req.Header.Set(name, "1")
	}
	resp, err := p.Do(context.Background(), addr, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func framed(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echoHeader, id, len(body), body)
}

// TestStrayAnswers checks that an answer that belongs to another request
// reaches nobody, and that its connection is not used again.
func TestStrayAnswers(t *testing.T) {
	for name, answer := range map[string]func(w net.Conn, r *http.Request){
		"before the answer": func(w net.Conn, r *http.Request) {
			framed(w, "earlier", "of another")
			framed(w, r.Header.Get(echoHeader), "own")
		},
		"behind the answer": func(w net.Conn, r *http.Request) {
			// Both at once: what arrives after the next request was sent is the case above.
			var both bytes.Buffer
			framed(&both, r.Header.Get(echoHeader), "own")
			framed(&both, r.Header.Get(echoHeader), "again")
			_, _ = both.WriteTo(w) // The client sees what is missing.
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := serveRaw(t, answer)
			p := newEchoPool(t)
			for _, id := range []string{"a", "b"} {
				body, err := get(t, p, addr, id)
				assert.NilError(t, err)
				assert.Equal(t, body, "own")
			}
			assert.Equal(t, accepted.Load(), int64(2))
		})
	}
}

// TestUnframedAnswers checks that an answer without length is whole if its
// connection ended in order, and an error if it was reset.
func TestUnframedAnswers(t *testing.T) {
	addr, _ := serveRaw(t, func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf", echoHeader, r.Header.Get(echoHeader))
		if r.Header.Get("X-Reset") != "" {
			_ = w.(*net.TCPConn).SetLinger(0)
			w.Close()
		}
	})
	p := newEchoPool(t)
	body, err := get(t, p, addr, "a", "X-End")
	assert.NilError(t, err)
	assert.Equal(t, body, "half")
	_, err = get(t, p, addr, "b", "X-Reset", "X-End")
	var failure *requester.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Outcome(), classifier.Unknown)
}
