package launcher

import (
	"bytes"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestConnectionStatesAreCounted(t *testing.T) {
	var s connectionStates
	var conns []net.Conn
	for _, state := range []http.ConnState{http.StateNew, http.StateNew, http.StateActive, http.StateIdle, http.StateHijacked, http.StateClosed} {
		conn, peer := net.Pipe()
		peer.Close()
		conns = append(conns, conn)
		s.record(conn, http.StateNew)
		s.record(conn, state)
	}
	s.record(conns[0], http.StateActive)
	var log bytes.Buffer
	l := zerolog.New(&log)
	l.Log().EmbedObject(&s).Send()
	assert.Equal(t, log.String(), "{\"new\":1,\"active\":2,\"idle\":1}\n")
}
