package responder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/responder"
)

// node takes connections over and counts the answers on their way.
type node struct {
	answer http.HandlerFunc
	active atomic.Int64
	taken  atomic.Int64
}

func (n *node) Begin() { n.active.Add(1) }
func (n *node) End()   { n.active.Add(-1) }

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p := responder.Take(w, r); p != nil {
		n.taken.Add(1)
		p.Serve(r, n)
		return
	}
	n.answer(w, r)
}

// single is a listener of one connection.
type single chan net.Conn

func (l single) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l single) Addr() net.Addr { return &net.TCPAddr{} }
func (l single) Close() error   { return nil }

// withConnection runs test on a connection that answers with h.
func withConnection(t *testing.T, h http.HandlerFunc, test func(t *testing.T, n *node, c net.Conn, r *bufio.Reader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := make(single, 1)
		l <- far
		n := &node{answer: h}
		srv := &http.Server{Handler: n, IdleTimeout: time.Minute}
		go srv.Serve(l) //nolint:errcheck // Ends with the listener.
		test(t, n, near, bufio.NewReader(near))
		near.Close()
		close(l)
		synctest.Wait()
		assert.Equal(t, n.active.Load(), int64(0))
		assert.Equal(t, n.taken.Load(), int64(1))
	})
}

// send writes a request beside the test, since a pipe holds nothing.
func send(c net.Conn, request string) { go io.WriteString(c, request) } //nolint:errcheck // The answer tells.

func receive(t *testing.T, r *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

const get = "GET /guide HTTP/1.1\r\nHost: a\r\n\r\n"

func TestAnswers(t *testing.T) {
	guide := strings.Repeat("x", 9000)
	write := func(length int, status int, pieces ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if length >= 0 {
				w.Header().Set("Content-Length", fmt.Sprint(length))
			}
			w.WriteHeader(status)
			for _, piece := range pieces {
				fmt.Fprint(w, piece)
			}
		}
	}
	tests := []struct {
		name, method string
		handler      http.HandlerFunc
		body         string
		length       int64
	}{
		{"known length", "GET", write(9000, 200, guide), guide, 9000},
		{"held", "GET", write(-1, 200, "oil", " paint"), "oil paint", 9},
		{"no body", "GET", write(-1, 200), "", 0},
		{"long without length", "GET", write(-1, 200, "oil", guide), "oil" + guide, -1},
		{"no content", "GET", write(-1, 204, "dropped"), "", 0},
		{"head", "HEAD", write(9000, 200, guide), "", 9000},
		{"trailer", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Sum")
			fmt.Fprint(w, "oil")
			w.Header().Set("Sum", "7")
		}, "oil", -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withConnection(t, tt.handler, func(t *testing.T, _ *node, c net.Conn, r *bufio.Reader) {
				for range 3 { // On the same connection.
					send(c, strings.Replace(get, "GET", tt.method, 1))
					resp, body := receive(t, r, tt.method)
					assert.Equal(t, body, tt.body)
					assert.Equal(t, resp.ContentLength, tt.length)
					assert.Equal(t, len(resp.Header["Sum"]), 0)
					assert.Equal(t, resp.Trailer.Get("Sum") == "7", tt.name == "trailer")
				}
			})
		})
	}
}

// TestUnwantedBody checks that the connection ends if a body was left.
func TestUnwantedBody(t *testing.T) {
	for _, read := range []bool{true, false} {
		t.Run(fmt.Sprintf("read %v", read), func(t *testing.T) {
			answer := func(_ http.ResponseWriter, r *http.Request) {
				if read {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}
			withConnection(t, answer, func(t *testing.T, _ *node, c net.Conn, r *bufio.Reader) {
				send(c, get)
				receive(t, r, "GET")
				send(c, "POST /pedidos HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
				resp, _ := receive(t, r, "POST")
				assert.Equal(t, resp.Close, !read)
			})
		})
	}
}

// TestCancellation checks that a handler learns that its caller went away.
func TestCancellation(t *testing.T) {
	var ended error
	answer := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
			ended = r.Context().Err()
		}
	}
	withConnection(t, answer, func(t *testing.T, _ *node, c net.Conn, r *bufio.Reader) {
		send(c, get)
		receive(t, r, "GET")
		send(c, strings.Replace(get, "/guide", "/slow", 1))
		time.Sleep(time.Second)
		assert.NilError(t, ended)
		assert.NilError(t, c.Close())
		synctest.Wait()
		assert.ErrorIs(t, ended, context.Canceled)
	})
}

// TestEarlyRequest sends the next request while one runs for long.
func TestEarlyRequest(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		fmt.Fprint(w, r.Method, r.URL.Path, r.Context().Err())
	}
	withConnection(t, answer, func(t *testing.T, _ *node, c net.Conn, r *bufio.Reader) {
		go func() {
			for _, path := range []string{"/1", "/2", "/3"} {
				_, _ = io.WriteString(c, strings.Replace(get, "/guide", path, 1))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for _, path := range []string{"/1", "/2", "/3"} {
			_, body := receive(t, r, "GET")
			assert.Equal(t, body, "GET"+path+"<nil>")
		}
	})
}

// TestAbort checks that an answer that breaks off does not look whole.
func TestAbort(t *testing.T) {
	for _, length := range []string{"9000", ""} {
		t.Run("length "+length, func(t *testing.T) {
			answer := func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				fmt.Fprint(w, strings.Repeat("x", 5000))
				panic(http.ErrAbortHandler)
			}
			withConnection(t, answer, func(t *testing.T, _ *node, c net.Conn, r *bufio.Reader) {
				send(c, get)
				resp, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			})
		})
	}
}
