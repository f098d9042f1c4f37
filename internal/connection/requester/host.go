package requester

import (
	"sync"
	"time"
)

// host holds the connections to one address.
type host struct {
	max         int
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   []*connection // The one used last is at the end.
	open   int
	closed bool
}

// take returns an idle connection that is still quiet, or nil after it has
// reserved a place for a new one. It returns errConnectionLimit if there is none.
func (h *host) take() (*connection, error) {
	for {
		c, err := h.pop()
		if c == nil || err != nil {
			return nil, err
		}
		if time.Since(c.idleSince) < h.idleTimeout && c.quiet() {
			return c, nil
		}
		c.close()
	}
}

func (h *host) pop() (*connection, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, errClosed
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if h.max > 0 && h.open >= h.max {
		return nil, errConnectionLimit
	}
	h.open++
	return nil, nil
}

// put keeps c for the next exchange.
func (h *host) put(c *connection) {
	c.idleSince = time.Now()
	h.mu.Lock()
	closed := h.closed
	if !closed {
		h.idle = append(h.idle, c)
	}
	h.mu.Unlock()
	if closed {
		c.close()
	}
}

// release frees the place of a closed connection.
func (h *host) release() {
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// expire closes the connections that were idle for the idle timeout.
func (h *host) expire(now time.Time) {
	h.mu.Lock()
	n := 0
	for n < len(h.idle) && now.Sub(h.idle[n].idleSince) >= h.idleTimeout {
		n++
	}
	old := append([]*connection(nil), h.idle[:n]...)
	h.idle = append(h.idle[:0], h.idle[n:]...)
	h.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// shut closes all idle connections and takes none back from now on.
func (h *host) shut() {
	h.mu.Lock()
	h.closed = true
	old := h.idle
	h.idle = nil
	h.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}
