package disturber_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/disturber"
)

// echo starts a server that sends each line back.
func echo(t *testing.T) string {
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

// start runs a proxy that stays calm unless it is told otherwise.
func start(t *testing.T) (*disturber.Disturber, net.Conn) {
	t.Helper()
	d := disturber.New(disturber.Spec{Target: echo(t), Calm: 100})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx, l) }()
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
	return d, conn
}

func TestResetEndsOldConnections(t *testing.T) {
	d, conn := start(t)
	d.Set(disturber.Reset)
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
}

// TestNothingFollowsWhatWasSwallowed checks that a connection that lost bytes
// ends rather than going on without them.
func TestNothingFollowsWhatWasSwallowed(t *testing.T) {
	d, conn := start(t)
	d.Set(disturber.Silence)
	fmt.Fprintln(conn, "lost")
	n, err := conn.Read(make([]byte, 1))
	assert.Equal(t, n, 0)
	assert.Assert(t, err != nil)
}
