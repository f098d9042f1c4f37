package injector_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/testbed/injector"
)

// startEchoServer starts a server that echoes each line, and returns its address.
func startEchoServer(t *testing.T) string {
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
				for s := bufio.NewScanner(conn); s.Scan(); {
					fmt.Fprintln(conn, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// startProxy runs a proxy that only the test takes out of mode Pass, and returns
// it with a connection through it.
func startProxy(t *testing.T) (*injector.Injector, net.Conn) {
	t.Helper()
	i := injector.New(injector.Spec{Target: startEchoServer(t), PassPercent: 100})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintln(conn, "hello")
	line, err := bufio.NewReader(conn).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "hello\n")
	return i, conn
}

func TestResetEndsOpenConnections(t *testing.T) {
	i, conn := startProxy(t)
	i.SetMode(injector.Reset)
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
}

// TestConnectionEndsAfterDroppedBytes checks that a connection whose bytes were
// dropped ends, rather than forwarding later bytes without them.
func TestConnectionEndsAfterDroppedBytes(t *testing.T) {
	i, conn := startProxy(t)
	i.SetMode(injector.Blackhole)
	fmt.Fprintln(conn, "lost")
	n, err := conn.Read(make([]byte, 1))
	assert.Equal(t, n, 0)
	assert.Assert(t, err != nil)
}
