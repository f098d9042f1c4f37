package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/request/recognizer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// startupPeriod is how long after its start a node may lack the configuration or know
	// no instance of a service because it has yet to learn of them.
	startupPeriod = 5 * time.Second
	// maxStartupWait is the longest time that a request waits for that.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitDivisor divides the remaining timeout of a request to yield the longest
	// time that it waits, so that most of the timeout is left to serve it.
	startupWaitDivisor = 3
	// startupRetryAfter is the Retry-After of a request that has waited in vain.
	startupRetryAfter = 300 * time.Millisecond
)

// routeAfterStart is like matchRoute. On a node that has just started it first waits for
// the configuration, because a node usually receives it sooner than a caller would retry.
func (f *Forwarder) routeAfterStart(r *http.Request, attempt recognizer.Request) (route, *refuser.Refusal) {
	matched, refusal := f.matchRoute(r, attempt)
	if refusal == nil || refusal.Reason() != classifier.ReasonNoConfiguration || !f.startingUp() {
		return matched, refusal
	}
	configured := func(s *publisher.Snapshot) bool { return s.Configuration() != nil }
	if !f.awaitSnapshot(r.Context(), attempt.Remaining, configured) {
		return route{}, refusal.WithRetryAfter(startupRetryAfter)
	}
	matched, refusal = f.matchRoute(r, attempt)
	matched.timeout -= time.Since(attempt.ArrivedAt)
	return matched, refusal
}

// awaitInstance waits for an instance of the service if the node has just started and knows
// none outside evacuated failure domains. It reports whether there is one now.
func (c *call) awaitInstance() bool {
	f := c.forwarder
	if !allEvacuated(c.route.instances) || !f.startingUp() {
		return false
	}
	deadline, _ := c.ctx.Deadline()
	known := func(s *publisher.Snapshot) bool { return !allEvacuated(s.View().Service(c.route.spec.Name)) }
	if !f.awaitSnapshot(c.ctx, time.Until(deadline), known) {
		return false
	}
	c.route.instances = f.cfg.Snapshots.Snapshot().View().Service(c.route.spec.Name)
	return true
}

// awaitSnapshot waits until the snapshot meets a condition, for a share of the remaining
// timeout of a request. It reports whether it does.
func (f *Forwarder) awaitSnapshot(ctx context.Context, remaining time.Duration, condition func(*publisher.Snapshot) bool) bool {
	wait := maxStartupWait
	if remaining > 0 {
		wait = min(wait, remaining/startupWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return f.cfg.Snapshots.Await(ctx, condition)
}

// startingUp reports whether the node started recently.
func (f *Forwarder) startingUp() bool { return time.Since(f.startedAt) < startupPeriod }
