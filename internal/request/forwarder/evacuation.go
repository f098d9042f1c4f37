package forwarder

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// followEvacuation updates the instances of a call that had started when the evacuated failure
// domains changed.
func (c *call) followEvacuation() {
	view := c.forwarder.cfg.Snapshots.Snapshot().View()
	if view.Evacuation() == c.route.evacuation {
		return
	}
	c.route.evacuation = view.Evacuation()
	c.route.instances = view.Service(c.route.spec.Name)
}

// handleEvacuated excludes the failure domain of an attempt that was refused because the
// domain is evacuated, which this node does not know yet. The next attempt is then free: there are at
// most as many such attempts as failure domains. It reports whether the attempt was so refused.
func (c *call) handleEvacuated(a *attempt, state *retrier.State) bool {
	if a.refusal == nil || a.refusal.Reason() != classifier.ReasonEvacuated {
		return false
	}
	domain := a.choice.Instance.FailureDomain()
	for _, in := range c.route.instances {
		if in.FailureDomain() == domain && !slices.Contains(c.excluded, in.ID()) {
			c.excluded = append(c.excluded, in.ID())
		}
	}
	if c.ctx.Err() == nil {
		state.UnsentAttemptsLeft = max(state.UnsentAttemptsLeft, 1)
	}
	return true
}

// allEvacuated reports whether all instances are in evacuated failure domains, or there are none.
func allEvacuated(instances []*registrar.Instance) bool {
	return !slices.ContainsFunc(instances, func(in *registrar.Instance) bool { return in.State() != registrar.StateEvacuated })
}

// unavailableReason returns why none of the instances is routable, or none is known.
func unavailableReason(instances []*registrar.Instance) classifier.Reason {
	for _, in := range instances {
		if in.State() == registrar.StateEvacuated {
			return classifier.ReasonEvacuated
		}
	}
	return classifier.ReasonNoInstance
}
