// Package watcher detects whether a node's own upstream accepts requests.
//
// # Usage
//
//	w := watcher.New(watcher.Config{Upstream: addr, Dialer: &net.Dialer{}, OnChange: announce})
//	w.Start()
//	w.ObserveResponse(draining) // for each response of the upstream to a request
//	err := w.Stop()
//
// Responses to requests take precedence: while they arrive, the watcher opens no connections
// of its own. Otherwise it dials the upstream periodically. After several failed dials in a
// row, the upstream is unavailable until it accepts one.
//
// An upstream announces that it is draining by the header Banyanscale-Draining on any
// response. It is then unavailable until a dial failed and a later one is accepted, or until
// no response had the header for drainTimeout.
//
// A health endpoint may lag or be wrong, so HealthReader provides its result only as a hint,
// which results of requests override:
//
//	h := watcher.NewHealthReader(watcher.HealthConfig{Path: path, Reserve: budget, OnHealth: admitter.ObserveHealth, ...})
//	h.Start()
package watcher

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// checkInterval is the time between two dials of an upstream without responses.
	checkInterval = 250 * time.Millisecond
	// dialTimeout bounds one dial.
	dialTimeout = 200 * time.Millisecond
	// failedDialThreshold is how many dials in a row must fail before the upstream counts
	// as unavailable.
	failedDialThreshold = 3
	// drainTimeout is how long an upstream counts as draining after the last response with
	// the header.
	drainTimeout = 30 * time.Second
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config lists what a Watcher depends on.
type Config struct {
	// Upstream is the address of the upstream.
	Upstream netip.AddrPort
	// Dialer opens the connections of checks.
	Dialer Dialer
	// OnChange is called for each change of availability. It must not block. The upstream
	// is available at the start.
	OnChange func(available bool)
}

// Watcher tracks the availability of one upstream.
type Watcher struct {
	cfg Config

	mu              sync.Mutex
	respondedAt     time.Time
	drainReportedAt time.Time // Zero if no response reported draining since the last failed dial.
	failedDials     int
	available       bool

	tomb tomb.Tomb
}

// New returns a watcher that has not started.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, available: true}
}

// ObserveResponse records that the upstream responded to a request, and whether the response
// reported that it is draining.
func (w *Watcher) ObserveResponse(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.respondedAt = now
	w.failedDials = 0
	if draining {
		w.drainReportedAt = now
	}
	w.update(now)
}

// Draining reports whether the upstream has said recently that it drains.
func (w *Watcher) Draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining(time.Now())
}

// Start starts the checks.
func (w *Watcher) Start() { w.tomb.Go(w.run) }

// Stop cancels a dial in progress and ends the checks.
func (w *Watcher) Stop() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Watcher) run() error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.tomb.Dying():
			return nil
		case <-tick.C:
			w.check()
		}
	}
}

// check dials the upstream if it has not responded within checkInterval.
func (w *Watcher) check() {
	w.mu.Lock()
	silent := time.Since(w.respondedAt) >= checkInterval
	w.mu.Unlock()
	if !silent {
		return
	}
	accepted := w.dial()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordDial(accepted)
	w.update(time.Now())
}

func (w *Watcher) dial() bool {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), dialTimeout)
	defer cancel()
	conn, err := w.cfg.Dialer.DialContext(ctx, "tcp", w.cfg.Upstream.String())
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (w *Watcher) recordDial(accepted bool) {
	if accepted {
		w.failedDials = 0
		return
	}
	w.failedDials++
	w.drainReportedAt = time.Time{} // The process ended; the next one to accept is not draining.
}

// update reports a change of availability. The mutex must be held, so that changes are
// reported in order.
func (w *Watcher) update(now time.Time) {
	unreachable := w.failedDials > 0 && (!w.available || w.failedDials >= failedDialThreshold)
	available := !w.draining(now) && !unreachable
	if available != w.available {
		w.available = available
		w.cfg.OnChange(available)
	}
}

// draining reports whether the upstream drains. The mutex must be held.
func (w *Watcher) draining(now time.Time) bool {
	return !w.drainReportedAt.IsZero() && now.Sub(w.drainReportedAt) < drainTimeout
}
