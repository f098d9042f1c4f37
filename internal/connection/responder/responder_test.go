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

// testServer takes over connections and counts the requests in progress.
type testServer struct {
	handle   http.HandlerFunc
	active   atomic.Int64 // Requests in progress.
	hijacked atomic.Int64 // Connections taken over.
}

func (s *testServer) BeginRequest() { s.active.Add(1) }
func (s *testServer) EndRequest()   { s.active.Add(-1) }

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rs := responder.Hijack(w, r); rs != nil {
		s.hijacked.Add(1)
		rs.Serve(r, s)
		return
	}
	s.handle(w, r)
}

// chanListener is a net.Listener that returns the connections sent to the channel.
type chanListener chan net.Conn

func (l chanListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l chanListener) Addr() net.Addr { return &net.TCPAddr{} }
func (l chanListener) Close() error   { return nil }

// withConnection runs test with the client side of a connection that h serves. The
// connection must be taken over, and all requests must have ended when test returns.
func withConnection(t *testing.T, h http.HandlerFunc, test func(t *testing.T, s *testServer, c net.Conn, r *bufio.Reader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		l := make(chanListener, 1)
		l <- server
		s := &testServer{handle: h}
		srv := &http.Server{Handler: s, IdleTimeout: time.Minute}
		go srv.Serve(l) //nolint:errcheck // Ends with the listener.
		test(t, s, client, bufio.NewReader(client))
		client.Close()
		close(l)
		synctest.Wait()
		assert.Equal(t, s.active.Load(), int64(0))
		assert.Equal(t, s.hijacked.Load(), int64(1))
	})
}

// sendRequest writes a request in the background, since a pipe has no buffer.
func sendRequest(c net.Conn, request string) { go io.WriteString(c, request) } //nolint:errcheck // A failure shows in the response.

// receiveResponse reads a response to its end and returns it with its body.
func receiveResponse(t *testing.T, r *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

const simpleRequest = "GET /guide HTTP/1.1\r\nHost: a\r\n\r\n"

func TestResponseFraming(t *testing.T) {
	longBody := strings.Repeat("x", 9000)
	respond := func(length int, status int, pieces ...string) http.HandlerFunc {
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
		{"known length", "GET", respond(9000, 200, longBody), longBody, 9000},
		{"short without length", "GET", respond(-1, 200, "oil", " paint"), "oil paint", 9},
		{"no body", "GET", respond(-1, 200), "", 0},
		{"long without length", "GET", respond(-1, 200, "oil", longBody), "oil" + longBody, -1},
		{"no content", "GET", respond(-1, 204, "dropped"), "", 0},
		{"head", "HEAD", respond(9000, 200, longBody), "", 9000},
		{"trailer", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Sum")
			fmt.Fprint(w, "oil")
			w.Header().Set("Sum", "7")
		}, "oil", -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withConnection(t, tt.handler, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
				for range 3 { // On the same connection.
					sendRequest(c, strings.Replace(simpleRequest, "GET", tt.method, 1))
					resp, body := receiveResponse(t, r, tt.method)
					assert.Equal(t, body, tt.body)
					assert.Equal(t, resp.ContentLength, tt.length)
					assert.Equal(t, len(resp.Header["Sum"]), 0)
					assert.Equal(t, resp.Trailer.Get("Sum") == "7", tt.name == "trailer")
				}
			})
		})
	}
}

// TestUnreadRequestBodyClosesConnection checks that the response announces the close of
// the connection if the handler leaves the request body unread.
func TestUnreadRequestBodyClosesConnection(t *testing.T) {
	for _, read := range []bool{true, false} {
		t.Run(fmt.Sprintf("handler reads body %v", read), func(t *testing.T) {
			handler := func(_ http.ResponseWriter, r *http.Request) {
				if read {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}
			withConnection(t, handler, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
				sendRequest(c, simpleRequest)
				receiveResponse(t, r, "GET")
				sendRequest(c, "POST /pedidos HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
				resp, _ := receiveResponse(t, r, "POST")
				assert.Equal(t, resp.Close, !read)
			})
		})
	}
}

// TestDisconnectCancelsHandler checks that the context of a running handler is canceled
// when the client disconnects.
func TestDisconnectCancelsHandler(t *testing.T) {
	var ctxErr error
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
			ctxErr = r.Context().Err()
		}
	}
	withConnection(t, handler, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
		sendRequest(c, simpleRequest)
		receiveResponse(t, r, "GET")
		sendRequest(c, strings.Replace(simpleRequest, "/guide", "/slow", 1))
		time.Sleep(time.Second)
		assert.NilError(t, ctxErr)
		assert.NilError(t, c.Close())
		synctest.Wait()
		assert.ErrorIs(t, ctxErr, context.Canceled)
	})
}

// TestRequestDuringHandlerIsNotLost checks that requests that arrive while the handler of
// an earlier one still runs are not lost.
func TestRequestDuringHandlerIsNotLost(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		fmt.Fprint(w, r.Method, r.URL.Path, r.Context().Err())
	}
	withConnection(t, handler, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
		go func() {
			for _, path := range []string{"/1", "/2", "/3"} {
				_, _ = io.WriteString(c, strings.Replace(simpleRequest, "/guide", path, 1))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for _, path := range []string{"/1", "/2", "/3"} {
			_, body := receiveResponse(t, r, "GET")
			assert.Equal(t, body, "GET"+path+"<nil>")
		}
	})
}

// TestAbortedResponseIsIncomplete checks that the client detects that a response is
// incomplete if the handler aborts it.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	for _, length := range []string{"9000", ""} {
		t.Run("length "+length, func(t *testing.T) {
			handler := func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				fmt.Fprint(w, strings.Repeat("x", 5000))
				panic(http.ErrAbortHandler)
			}
			withConnection(t, handler, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
				sendRequest(c, simpleRequest)
				resp, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			})
		})
	}
}

// TestBodyIsAskedForWhenRead checks that a client that awaits a 100 response gets it once the handler reads the body, and otherwise only the response, at once.
func TestBodyIsAskedForWhenRead(t *testing.T) {
	const body = "twelve litres"
	for _, read := range []bool{true, false} {
		t.Run(fmt.Sprintf("handler reads body %v", read), func(t *testing.T) {
			handler := func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Second)
				if read {
					_, _ = io.Copy(w, r.Body)
				}
			}
			withConnection(t, handler, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
				sendRequest(c, simpleRequest)
				receiveResponse(t, r, "GET")
				began := time.Now()
				sendRequest(c, fmt.Sprintf("POST /pedidos HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body)))
				resp, _ := receiveResponse(t, r, "POST")
				if read {
					assert.Equal(t, resp.StatusCode, http.StatusContinue)
					sendRequest(c, body)
					var got string
					resp, got = receiveResponse(t, r, "POST")
					assert.Equal(t, got, body)
				}
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, resp.Close, !read)
				if !read {
					_, err := r.ReadByte()
					assert.ErrorIs(t, err, io.EOF)
					assert.Equal(t, time.Since(began), time.Second)
				}
			})
		})
	}
}

// recordingConn is a connection that records whether it serves a request.
type recordingConn struct {
	net.Conn
	states []string
}

func (c *recordingConn) SetActive() { c.states = append(c.states, "active") }
func (c *recordingConn) SetIdle()   { c.states = append(c.states, "idle") }

// TestConnectionLearnsWhetherItServesARequest guards against connections of other nodes that count as in use while they are idle.
func TestConnectionLearnsWhetherItServesARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		recorded := &recordingConn{Conn: server}
		l := make(chanListener, 1)
		l <- recorded
		s := &testServer{handle: func(http.ResponseWriter, *http.Request) {}}
		srv := &http.Server{Handler: s, IdleTimeout: time.Minute}
		go srv.Serve(l) //nolint:errcheck // Ends with the listener.
		r := bufio.NewReader(client)
		for range 2 {
			sendRequest(client, simpleRequest)
			receiveResponse(t, r, "GET")
		}
		synctest.Wait()
		client.Close()
		close(l)
		synctest.Wait()
		assert.DeepEqual(t, recorded.states, []string{"idle", "active", "idle"})
	})
}
