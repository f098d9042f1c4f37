package launcher

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// domainLearningPeriod is how long after its start a control instance accepts orders for any
// failure domain, since it may not know all members of the fleet yet.
const domainLearningPeriod = 30 * time.Second

// fleetDomains implements controller.DomainChecker with the members of the fleet, those that
// have failed included.
type fleetDomains struct {
	view      func() *registrar.View
	startedAt time.Time
}

func newFleetDomains(view func() *registrar.View) fleetDomains {
	return fleetDomains{view: view, startedAt: time.Now()}
}

// Unknown implements controller.DomainChecker. It reports false if this instance cannot tell:
// it started recently, or it knows no node.
func (d fleetDomains) Unknown(domain string, doc *controlwire.Document) bool {
	if time.Since(d.startedAt) < domainLearningPeriod {
		return false
	}
	knowsNode := false
	for _, in := range d.view().Instances() {
		if in.FailureDomain() == domain {
			return false
		}
		knowsNode = knowsNode || in.Service() != ""
	}
	return knowsNode && !compiler.NamesFailureDomain(doc, domain)
}
