package launcher

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// domainLearningPeriod is how long after its start a control instance accepts orders for any
// failure domain, since it may not know all members of the fleet yet.
const domainLearningPeriod = 30 * time.Second

// knownFleet implements controller.Fleet with the members that gossip lists.
type knownFleet struct {
	view      func() *registrar.View
	seen      *seenDomains
	startedAt time.Time
}

func newKnownFleet(view func() *registrar.View, seen *seenDomains) knownFleet {
	return knownFleet{view: view, seen: seen, startedAt: time.Now()}
}

// Unknown implements controller.Fleet. It reports false if this instance cannot tell: it started
// recently, or it knows no node.
func (f knownFleet) Unknown(domain string, doc *controlwire.Document) bool {
	if time.Since(f.startedAt) < domainLearningPeriod || f.seen.Has(domain) {
		return false
	}
	knowsNode := false
	for _, in := range f.view().Instances() {
		if in.FailureDomain() == domain {
			return false
		}
		knowsNode = knowsNode || in.Service() != ""
	}
	return knowsNode && !compiler.NamesFailureDomain(doc, domain)
}

// Capacity implements controller.Fleet.
func (f knownFleet) Capacity(evacuated []string) []*controlwire.ServiceCapacity {
	var list []*controlwire.ServiceCapacity
	byService := make(map[string]*controlwire.ServiceCapacity)
	for _, in := range f.view().Instances() {
		if in.Service() == "" || !in.State().Routable() {
			continue
		}
		c := byService[in.Service()]
		if c == nil {
			c = &controlwire.ServiceCapacity{Service: in.Service()}
			byService[in.Service()] = c
			list = append(list, c)
		}
		c.Instances++
		c.Slots += uint32(in.Slots())
		if !slices.Contains(evacuated, in.FailureDomain()) {
			c.RemainingInstances++
			c.RemainingSlots += uint32(in.Slots())
		}
	}
	slices.SortFunc(list, func(a, b *controlwire.ServiceCapacity) int { return strings.Compare(a.GetService(), b.GetService()) })
	return list
}
