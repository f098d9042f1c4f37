package forwarder

import (
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
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

// unavailableReason returns why none of the instances is routable, or none is known.
func unavailableReason(instances []*registrar.Instance) classifier.Reason {
	for _, in := range instances {
		if in.State() == registrar.StateEvacuated {
			return classifier.ReasonEvacuated
		}
	}
	return classifier.ReasonNoInstance
}
