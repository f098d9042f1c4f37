package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// state is what a connection does.
type state int32

const (
	// pending connections have sent no complete head of a request.
	pending state = iota
	// active connections have a request that has no complete response.
	active
	// idle connections have had a response, and have sent nothing since.
	idle
	// closing connections have had their last response, and wait for the client to read it.
	closing
	// displaced connections have lost their place to others.
	displaced
	states
)

const (
	// bodyPatience is how long the body of a request is awaited before its connection may lose
	// its place.
	bodyPatience = time.Second
	// displacedDivisor is the inverse of the part of the places that become free at once at most.
	displacedDivisor = 32
)

// processStart is the moment from which the states of connections are timed.
var processStart = time.Now()

// roster holds the connections of a listener.
type roster struct {
	max       int
	displaced tally.Counter

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

func newRoster(limit int, scope tally.Scope) *roster {
	return &roster{max: limit, displaced: scope.Counter("connections_displaced"), conns: make(map[*Conn]struct{})}
}

// admit adds a connection, and closes others if there are too many. It returns false if none of these
// may lose its place.
func (r *roster) admit(c *Conn) bool {
	for _, other := range r.makeRoom() {
		r.displaced.Inc(1)
		_ = other.TCPConn.Close() // Wakes the goroutine that reads, which does the rest.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) >= r.max {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// makeRoom takes the connections out that lose their places, and returns them.
func (r *roster) makeRoom() []*Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) < r.max {
		return nil
	}
	now := time.Since(processStart)
	var candidates []candidate
	for c := range r.conns {
		if k := c.candidate(now); k.rank != keeps {
			candidates = append(candidates, k)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since))
	})
	var out []*Conn
	for _, k := range firstOut(candidates, 1+r.max/displacedDivisor) {
		if k.conn.state.CompareAndSwap(int32(k.state), int32(displaced)) {
			delete(r.conns, k.conn)
			out = append(out, k.conn)
		}
	}
	return out
}

// firstOut returns the candidates that lose their places, at most limit of them: those of the first
// rank, and the older half of these.
func firstOut(sorted []candidate, limit int) []candidate {
	n := 0
	for n < len(sorted) && sorted[n].rank == sorted[0].rank {
		n++
	}
	return sorted[:min((n+1)/2, limit)]
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

// rank orders the connections that may lose their places, first ones first.
type rank int

const (
	isClosing rank = iota
	sentNoHead
	isIdle
	sendsNoBody
	// isIdleOfPeer is an idle connection that was taken over, by which a request may arrive at
	// any moment that is not sent again.
	isIdleOfPeer
	// keeps is the rank of a connection that keeps its place.
	keeps
)

// candidate is a connection that may lose its place.
type candidate struct {
	conn  *Conn
	state state
	rank  rank
	since int64
}

// candidate returns the connection as a candidate at the given time since processStart.
func (c *Conn) candidate(now time.Duration) candidate {
	k := candidate{conn: c, state: state(c.state.Load()), since: c.since.Load()}
	k.rank = rankOf(k.state, now-time.Duration(k.since), c.reading.Load(), c.hijacked.Load())
	return k
}

// rankOf decides which connections lose their places first. The time is that in the state.
func rankOf(s state, since time.Duration, reading, hijacked bool) rank {
	switch {
	case s == closing:
		return isClosing
	case s == pending:
		return sentNoHead
	case s == idle && hijacked:
		return isIdleOfPeer
	case s == idle:
		return isIdle
	case s == active && reading && since >= bodyPatience:
		return sendsNoBody
	default:
		return keeps
	}
}
