package prober

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// probedPeriod is for how long the time of a probe is remembered.
const probedPeriod = 10 * time.Second

// target is what the prober holds for one service.
type target struct {
	budget budget
	next   time.Time            // Before that no probe is due.
	probed map[string]time.Time // Instance id to the time of the newest probe.
}

func newTarget() *target { return &target{probed: make(map[string]time.Time)} }

// forget drops the instances that were not probed lately: they left, or their
// samples are fresh.
func (t *target) forget(now time.Time) {
	for id, at := range t.probed {
		if now.Sub(at) > probedPeriod {
			delete(t.probed, id)
		}
	}
}

// stalest returns the routable instance whose sample or newest probe is the longest
// ago, or nil if no sample is about to be too old.
func (t *target) stalest(pool Pool, self string, instances []*registrar.Instance, maxAge time.Duration, now time.Time) *registrar.Instance {
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
		age := now.Sub(t.probed[in.ID()])
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
