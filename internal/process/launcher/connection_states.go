package launcher

import (
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"
)

// connectionStates holds the states of the connections of a listener.
type connectionStates struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// record is the hook http.Server.ConnState.
func (s *connectionStates) record(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, conn)
		return
	}
	if s.states == nil {
		s.states = make(map[net.Conn]http.ConnState)
	}
	s.states[conn] = state
}

// MarshalZerologObject writes the number of connections by state: new ones have sent no whole
// head of a request, active ones have, and their response is not completely written.
func (s *connectionStates) MarshalZerologObject(e *zerolog.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts [http.StateClosed + 1]int
	for _, state := range s.states {
		counts[state]++
	}
	e.Int("new", counts[http.StateNew]).Int("active", counts[http.StateActive]).Int("idle", counts[http.StateIdle])
}
