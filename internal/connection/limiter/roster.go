package limiter

import "sync"

// state is what a connection does.
type state int32

const (
	// pending connections have sent no complete head of a request.
	pending state = iota
	// active connections have a request that has no complete response.
	active
	// idle connections have had a response, and have sent nothing since.
	idle
	states
)

// roster holds the connections of a listener.
type roster struct {
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

func newRoster() *roster { return &roster{conns: make(map[*Conn]struct{})} }

func (r *roster) add(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *roster) remove(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// count returns the number of connections by state, without those that were taken over.
func (r *roster) count() [states]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts [states]int
	for c := range r.conns {
		if !c.hijacked.Load() {
			counts[c.state.Load()]++
		}
	}
	return counts
}
