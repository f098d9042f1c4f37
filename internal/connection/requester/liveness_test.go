package requester

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestStillIdleDetectsPeerActivity uses sockets, since pipes have no file descriptor
// to peek at.
func TestStillIdleDetectsPeerActivity(t *testing.T) {
	tests := []struct {
		name       string
		peerAction func(net.Conn) error
	}{
		{"after the peer closed", net.Conn.Close},
		{"after the peer sent data", func(c net.Conn) error {
			_, err := c.Write([]byte("x"))
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client, server := tcpPair(t)
			c := newConnection(client, &hostPool{})
			assert.Assert(t, c.stillIdle())
			assert.NilError(t, tt.peerAction(server))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if c.stillIdle() {
					return poll.Continue("connection still counts as idle")
				}
				return poll.Success()
			})
		})
	}
}

// tcpPair returns both ends of a TCP connection over loopback.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}
