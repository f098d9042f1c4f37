package prober

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// probeTimeRetention is how long the time of the newest probe is kept.
const probeTimeRetention = 10 * time.Second

// serviceState is the state of the prober for one service.
type serviceState struct {
	budget      budget
	nextProbeAt time.Time            // Earliest time of the next probe.
	lastProbed  map[string]time.Time // Instance id to the time of the newest probe.
}

func newServiceState() *serviceState { return &serviceState{lastProbed: make(map[string]time.Time)} }

// dropExpired drops the probe times of instances that were not probed recently, because
// they left or their samples are fresh.
func (s *serviceState) dropExpired(now time.Time) {
	for id, at := range s.lastProbed {
		if now.Sub(at) > probeTimeRetention {
			delete(s.lastProbed, id)
		}
	}
}

// stalest returns the routable instance other than self that was sampled or probed the
// longest time ago, or nil if all samples are fresh and of the current incarnations. A
// sample older than half of maxAge counts as stale here, so that it is renewed before
// it is too old to be used.
func (s *serviceState) stalest(pool Pool, self string, instances []*registrar.Instance, maxAge time.Duration, now time.Time) *registrar.Instance {
	var stalest *registrar.Instance
	var longest time.Duration
	for _, in := range instances {
		if in.ID() == self || !in.State().Routable() {
			continue
		}
		r := pool.Read(in.ID(), maxAge/2, now)
		if r.Fresh() && r.Incarnation() == in.Incarnation() {
			continue
		}
		age := now.Sub(s.lastProbed[in.ID()])
		if r.Sampled() {
			age = min(age, r.Age())
		}
		if age > longest {
			stalest = in
			longest = age
		}
	}
	return stalest
}
