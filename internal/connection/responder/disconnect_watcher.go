package responder

import (
	"sync"
	"time"
)

// pastDeadline is a read deadline that interrupts a blocked read immediately.
var pastDeadline = time.Unix(1, 0)

// disconnectWatcher reads from the connection while a handler runs for longer than
// watchDelay, and cancels the context of the connection when the peer closes it.
type disconnectWatcher struct {
	responder *Responder
	timer     *time.Timer
	// done receives a value when watch returns.
	done chan struct{}

	mu       sync.Mutex
	active   bool // A handler is running.
	armed    bool // The timer was started for it.
	stopping bool // endRequest is interrupting watch.
}

func newDisconnectWatcher(r *Responder) *disconnectWatcher {
	w := &disconnectWatcher{responder: r, done: make(chan struct{}, 1)}
	w.timer = time.AfterFunc(watchDelay, w.watch)
	w.timer.Stop()
	return w
}

// beginRequest records that a handler starts.
func (w *disconnectWatcher) beginRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = true
}

// arm starts the timer. It is called once the request is fully received, so that
// nothing else reads from the connection.
func (w *disconnectWatcher) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active && !w.armed {
		w.armed = true
		w.timer.Reset(watchDelay)
	}
}

// endRequest stops the timer, or interrupts watch and waits until it returns. After
// that the watcher no longer reads from the connection.
func (w *disconnectWatcher) endRequest() {
	w.mu.Lock()
	w.active = false
	if !w.armed || w.timer.Stop() {
		w.armed = false
		w.mu.Unlock()
		return
	}
	w.armed = false
	w.stopping = true
	// This fails only if the connection is closed, which ends the read as well.
	_ = w.responder.conn.SetReadDeadline(pastDeadline)
	w.mu.Unlock()
	<-w.done
	w.mu.Lock()
	w.stopping = false
	w.mu.Unlock()
}

// watch waits until the peer closes the connection, and then cancels the context. If the
// first byte of the next request arrives instead, watch stores it in readAhead and
// returns; it does not detect a disconnect after that.
func (w *disconnectWatcher) watch() {
	defer func() { w.done <- struct{}{} }()
	r := w.responder
	w.mu.Lock()
	if w.stopping {
		w.mu.Unlock()
		return
	}
	err := r.conn.SetReadDeadline(time.Time{})
	w.mu.Unlock()
	var b [1]byte
	n := 0
	if err == nil {
		n, err = r.conn.Read(b[:])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > 0 {
		r.readAhead = append(r.readAhead, b[0])
		return
	}
	if err != nil && !w.stopping {
		r.cancel()
	}
}
