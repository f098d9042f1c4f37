package launcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gatedListener accepts connections only once its gate is open.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// sendOnNewConnection opens a connection and sends a request. It returns a function that
// reads the response.
func sendOnNewConnection(t *testing.T, address string) func() (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: vitrina.oax\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	return func() (string, error) {
		defer conn.Close()
		response, err := io.ReadAll(conn)
		return string(response), err
	}
}

// TestStopAnswersConnectionsInBacklog guards against a planned stop that resets connections whose requests have been sent but whose connections have not been accepted.
func TestStopAnswersConnectionsInBacklog(t *testing.T) {
	l, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}), testLimiter())
	assert.NilError(t, err)
	address := l.socket.Addr().String()
	gate := make(chan struct{})
	l.socket = gatedListener{l.socket, gate}
	served := make(chan error, 1)
	go func() { served <- l.serve() }()
	var responses []func() (string, error)
	for range 20 {
		responses = append(responses, sendOnNewConnection(t, address))
	}
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, l.closer(context.Background())()) })
	close(gate)
	for _, read := range responses {
		response, err := read()
		assert.Check(t, err)
		assert.Check(t, len(response) > 0, "no response")
	}
	wg.Wait()
	assert.NilError(t, <-served)
}
