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
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// uploadBytes is the size of a request body that is still being sent when its response comes.
	uploadBytes = 1 << 20
	// earlyTries is how often such a request is sent: the end of the connection crosses the writes.
	earlyTries = 100
	// pieceBytes is the size of the pieces in which a caller sends a body.
	pieceBytes = 1 << 10
)

// startEarlyServer reads the head of each request and a part of its body, calls respond and closes the connection.
func startEarlyServer(t *testing.T, respond func(conn *net.TCPConn, r *http.Request)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.CopyN(io.Discard, req.Body, 32<<10)
					respond(conn.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// upload sends a long request body, of a caller's stream or of memory, and returns the body of the response.
func upload(t *testing.T, p *requester.Pool, addr netip.AddrPort, body io.Reader) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/", body)
	assert.NilError(t, err)
	req.ContentLength = uploadBytes
	req.Header.Set(echoHeader, "a")
	resp, err := p.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// piecemealBody is a request body that comes in small pieces, so that a write is often in progress.
type piecemealBody struct{ left int }

func (b *piecemealBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Microsecond)
	n := min(b.left, len(p), pieceBytes)
	b.left -= n
	return n, nil
}

// longBodies returns the kinds of long request bodies.
func longBodies() map[string]func() io.Reader {
	content := []byte(strings.Repeat("x", uploadBytes))
	return map[string]func() io.Reader{
		"piecemeal": func() io.Reader { return &piecemealBody{left: uploadBytes} },
		"at once":   func() io.Reader { return io.NopCloser(bytes.NewReader(content)) },
		"in memory": func() io.Reader { return requester.NewBytesBody(content) },
	}
}

// TestEarlyResponseThatIsResetIsIncomplete guards against a part of a response without a length that passes as the
// whole: the request is still being sent, and the sender learns of the reset in place of the reader.
func TestEarlyResponseThatIsResetIsIncomplete(t *testing.T) {
	addr := startEarlyServer(t, func(conn *net.TCPConn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", echoHeader, r.Header.Get(echoHeader))
		time.Sleep(time.Millisecond) // So that the part arrives before the reset drops it.
		_ = conn.SetLinger(0)
	})
	for name, body := range longBodies() {
		t.Run(name, func(t *testing.T) {
			p := newEchoPool(t)
			for range earlyTries {
				_, err := upload(t, p, addr, body())
				var failure *requester.Error
				assert.Assert(t, errors.As(err, &failure), "a part passed as the response")
				assert.Equal(t, failure.Outcome(), classifier.Unknown)
			}
		})
	}
}

// TestEarlyResponseThatEndsInOrderIsComplete checks that a response without a length is taken if its server ends it in
// order, whether it reads on or not.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	addr := startEarlyServer(t, func(conn *net.TCPConn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nwhole", echoHeader, r.Header.Get(echoHeader))
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
	})
	for name, body := range longBodies() {
		t.Run(name, func(t *testing.T) {
			p := newEchoPool(t)
			for range 5 {
				response, err := upload(t, p, addr, body())
				assert.NilError(t, err)
				assert.Equal(t, response, "whole")
			}
		})
	}
}

// endingConn is a connection whose writes fail from the second one on. The server then ends it in order, as the system
// reports it to a reader once the error was reported to a writer.
type endingConn struct {
	net.Conn
	server net.Conn
	err    error
	writes int
}

func (c *endingConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(p)
	}
	c.server.Close()
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.err)}
}

func (c *endingConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

// TestResponseThatEndsWithAFailedWriteIsIncomplete checks each error by which the end of a connection differs from an
// orderly one, the time limit of the connection itself included.
func TestResponseThatEndsWithAFailedWriteIsIncomplete(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		t.Run(cause.Error(), func(t *testing.T) {
			client, server := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
				}
			}()
			p := requester.New(requester.Config{
				Dialer: &endingConn{Conn: client, server: server, err: cause}, AllowCloseDelimited: true, StallTimeout: time.Minute,
			})
			defer func() { assert.NilError(t, p.Close()) }()
			body, err := upload(t, p, addr, &piecemealBody{left: uploadBytes})
			var failure *requester.Error
			assert.Assert(t, errors.As(err, &failure), "%q passed as the response", body)
		})
	}
}

// silentConn is a connection on which a part of a response arrives, and which then times out.
type silentConn struct {
	net.Conn
	reads int
}

func (c *silentConn) Read(p []byte) (int, error) {
	switch c.reads++; c.reads {
	case 1:
		return copy(p, "HTTP/1.1 200 OK\r\n\r\npart"), nil
	case 2:
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	default:
		return 0, io.EOF
	}
}

func (c *silentConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

// TestResponseOnAConnectionThatTimesOutIsIncomplete guards against a connection that times out while a pause within the
// response is awaited: the next read returns its end.
func TestResponseOnAConnectionThatTimesOutIsIncomplete(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	p := requester.New(requester.Config{Dialer: &silentConn{Conn: client}, AllowCloseDelimited: true})
	defer func() { assert.NilError(t, p.Close()) }()
	ctx := requester.WithStallHandler(t.Context(), func(bool) bool { return false })
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	assert.NilError(t, err)
	resp, err := p.DoLimited(ctx, addr, req, requester.Limits{StallTimeout: time.Minute})
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var failure *requester.Error
	assert.Assert(t, errors.As(err, &failure), "%q passed as the response", body)
}
