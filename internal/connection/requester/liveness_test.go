package requester

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestQuietSocket uses sockets, since pipes have no file descriptor.
func TestQuietSocket(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(net.Conn) error
	}{
		{"after the peer closed", net.Conn.Close},
		{"after the peer sent something", func(c net.Conn) error {
			_, err := c.Write([]byte("x"))
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := socketPair(t)
			c := newConnection(near, &host{})
			assert.Assert(t, c.quiet())
			assert.NilError(t, tt.disturb(far))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if c.quiet() {
					return poll.Continue("connection looks idle")
				}
				return poll.Success()
			})
		})
	}
}

func socketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	far, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}
