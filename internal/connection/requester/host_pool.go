package requester

import (
	"slices"
	"sync"
	"time"
)

// hostPool holds the connections to one address.
type hostPool struct {
	maxOpen     int
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   []*connection // The most recently used one is last.
	open   int           // Connections in use, idle or being opened.
	closed bool
}

// acquire returns a usable idle connection, and closes unusable ones that it finds. If
// there is none, it reserves a slot and returns nil, and the caller opens a connection.
// It returns errConnectionLimit if all slots are taken.
func (h *hostPool) acquire() (*connection, error) {
	for {
		c, err := h.popIdleOrReserve()
		if c == nil || err != nil {
			return nil, err
		}
		if !c.expired(time.Now()) && c.stillIdle() {
			return c, nil
		}
		c.close()
	}
}

// popIdleOrReserve removes and returns the most recently used idle connection. If
// there is none, it reserves a slot for a new one and returns nil.
func (h *hostPool) popIdleOrReserve() (*connection, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, errPoolClosed
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if h.maxOpen > 0 && h.open >= h.maxOpen {
		return nil, errConnectionLimit
	}
	h.open++
	return nil, nil
}

// putIdle keeps c for the next exchange, or closes it if h is closed.
func (h *hostPool) putIdle(c *connection) {
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

// releaseSlot frees the slot of a connection that was closed or could not be opened.
func (h *hostPool) releaseSlot() {
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// closeExpired closes the connections that have reached their idle timeouts.
func (h *hostPool) closeExpired(now time.Time) {
	var expired []*connection
	h.mu.Lock()
	h.idle = slices.DeleteFunc(h.idle, func(c *connection) bool {
		if c.expired(now) {
			expired = append(expired, c)
			return true
		}
		return false
	})
	h.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// close closes all idle connections. Connections returned later are closed as well.
func (h *hostPool) close() {
	h.mu.Lock()
	h.closed = true
	idle := h.idle
	h.idle = nil
	h.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
