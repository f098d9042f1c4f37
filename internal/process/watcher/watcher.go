// Package watcher tells whether a node's own upstream takes work.
//
// # Usage
//
//	w := watcher.New(watcher.Config{Upstream: addr, Dialer: &net.Dialer{}, OnChange: announce})
//	w.Start()
//	w.Answered(draining) // for each answer of the upstream on the path of a request
//	err := w.Stop()
//
// What the path of requests sees goes first. While the upstream answers
// there, nothing else is asked. Otherwise a connection is opened from time to
// time: an upstream that refuses several in a row is gone until it accepts one.
//
// An upstream says that it drains by the header Banyanscale-Draining on any
// answer. It takes no new work from then on, until a connection was refused
// and accepted again, or until it has kept silent about draining for
// drainTimeout.
//
// A health endpoint lags and misleads. HealthReader reads it as a hint, which
// moves nothing that requests have seen:
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
	// checkInterval is the time between two checks of a silent upstream.
	checkInterval = 250 * time.Millisecond
	// dialTimeout bounds one check.
	dialTimeout = 200 * time.Millisecond
	// refusalsUntilGone is how many checks in a row an upstream must refuse.
	refusalsUntilGone = 3
	// drainTimeout is how long an upstream counts as draining after it last said so.
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
	// OnChange is told of each change. It must not block. The upstream counts
	// as available at the start.
	OnChange func(available bool)
}

// Watcher follows the state of one upstream.
type Watcher struct {
	cfg Config

	mu         sync.Mutex
	answeredAt time.Time
	drainingAt time.Time // Zero while the upstream does not drain.
	refusals   int
	available  bool

	tomb tomb.Tomb
}

// New returns a watcher that has not started.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, available: true}
}

// Answered tells that the upstream answered a request, and whether the answer
// said that it drains.
func (w *Watcher) Answered(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.answeredAt = now
	w.refusals = 0
	if draining {
		w.drainingAt = now
	}
	w.update(now)
}

// Start begins to check the upstream.
func (w *Watcher) Start() { w.tomb.Go(w.run) }

// Stop ends the checks.
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

// check opens a connection if the upstream has not answered lately.
func (w *Watcher) check() {
	w.mu.Lock()
	silent := time.Since(w.answeredAt) >= checkInterval
	w.mu.Unlock()
	if !silent {
		return
	}
	accepted := w.dial()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record(accepted)
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

func (w *Watcher) record(accepted bool) {
	if accepted {
		w.refusals = 0
		return
	}
	w.refusals++
	w.drainingAt = time.Time{} // It ended: when it accepts again, it is a new process.
}

// update tells a change of the conclusion. The mutex is held, so that changes
// are told in order.
func (w *Watcher) update(now time.Time) {
	draining := !w.drainingAt.IsZero() && now.Sub(w.drainingAt) < drainTimeout
	ended := w.refusals > 0 && (!w.available || w.refusals >= refusalsUntilGone)
	available := !draining && !ended
	if available != w.available {
		w.available = available
		w.cfg.OnChange(available)
	}
}
