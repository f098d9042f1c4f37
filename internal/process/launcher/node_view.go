package launcher

import (
	"net/netip"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// respondToProbe sends the load of the own upstream to another node. A response that
// cannot be sent counts as lost.
func (n *Node) respondToProbe(from netip.AddrPort, payload []byte) {
	n.loadRequestedAt.Store(time.Now().UnixNano())
	if response := n.prober.HandleProbe(from, payload); response != nil {
		_ = n.courier.Send(courier.KindProbeResponse, from, response)
	}
}

// coldStart returns how long the instance warms up: the time from the upstream's
// heartbeats if it sends any, otherwise the time from the configuration.
func (n *Node) coldStart() time.Duration {
	if n.enroller != nil {
		return time.Duration(n.upstreamColdStart.Load())
	}
	if s := n.service(); s != nil {
		return s.Spec().ColdStart
	}
	return 0
}

// compile compiles the configuration for the node's site. A site without an overlay uses
// the base file alone. That may be a typo in the settings, so it is logged once.
func (n *Node) compile(doc *controlwire.Document, number uint64) (*compiler.Configuration, error) {
	if !n.missingOverlayLogged.Load() && !compiler.HasOverlay(doc, n.settings.Site()) {
		n.missingOverlayLogged.Store(true)
		n.log.Warn().Str("site", n.settings.Site()).Uint64("version", number).Msg("No overlay exists for this site; the base file applies.")
	}
	return n.compiler.Compile(doc, number)
}

// controlAddresses returns the peer addresses of the control instances: those announced
// to the fleet and those in the settings.
func (n *Node) controlAddresses() []netip.AddrPort {
	return append(controlAddressesIn(n.snapshots.Snapshot().View()), n.settings.ControlAddresses()...)
}

// keyRetention returns how long idempotency keys are stored.
func (n *Node) keyRetention() time.Duration {
	if s := n.service(); s != nil {
		return s.Spec().KeyRetention
	}
	return compiler.DefaultServiceSpec(n.settings.Service()).KeyRetention
}

// longestTimeout returns the longest timeout that any service allows a request.
func (n *Node) longestTimeout() time.Duration {
	longest := time.Duration(0)
	if cfg := n.snapshots.Snapshot().Configuration(); cfg != nil {
		for _, s := range cfg.Services() {
			longest = max(longest, s.Spec().MaxTimeout)
		}
	}
	return longest
}

// recordCapacityRefusal counts a refusal for lack of a free slot in the usage meter, if
// another instance of the service had one according to a recent sample.
func (n *Node) recordCapacityRefusal() {
	service := n.service()
	if service == nil {
		return
	}
	now := time.Now()
	for _, in := range n.snapshots.Snapshot().View().Service(n.settings.Service()) {
		if in.ID() == n.settings.Instance() || !in.State().Routable() {
			continue
		}
		reading := n.samplePool.Read(in.ID(), service.Spec().SampleMaxAge, now)
		if reading.Sampled() && reading.Age() <= service.Spec().SampleMaxAge && reading.Occupancy() < reading.Load().Limit() {
			n.meter.CountRefusedWhileIdle()
			return
		}
	}
}

// observeOwnLoad records a load sample of the own upstream, if the choice is among the
// instances of its service.
func (n *Node) observeOwnLoad(service string, now time.Time) {
	if service != n.settings.Service() {
		return
	}
	n.loadRequestedAt.Store(now.UnixNano())
	if self := n.snapshots.Snapshot().View().Instance(n.settings.Instance()); self != nil {
		n.samplePool.Observe(self.ID(), self.Incarnation(), n.admitter.Load(), now)
	}
}

// publish puts a configuration in force, and reports whether it did.
func (n *Node) publish(cfg *compiler.Configuration) bool {
	if !n.snapshots.SetConfiguration(cfg) {
		return false
	}
	if cfg.Service(n.settings.Service()) != nil {
		n.announcer.SetConfigured()
		n.updateUpstreamSize()
	}
	return true
}

// updateUpstreamSize applies the slots and connections of the upstream. The settings take
// precedence over the slots of the heartbeats, and these over the configuration.
func (n *Node) updateUpstreamSize() {
	s := n.service()
	if s == nil {
		return
	}
	spec := s.Spec()
	slots := orDefault(n.settings.Slots(), orDefault(int(n.upstreamSlots.Load()), spec.Slots))
	connections := orDefault(n.settings.Connections(), spec.Connections)
	n.coldLimiter.Configure(spec.ColdRate, spec.ColdStart)
	n.admitter.Update(slots, connections, spec.QueueLength, concurrencyRamp(spec))
	n.admitter.SetOverload(spec.Overload)
	n.gossiper.SetCapacity(slots, connections)
}

// service returns the configuration of the node's own service, or nil.
func (n *Node) service() *compiler.Service {
	cfg := n.snapshots.Snapshot().Configuration()
	if cfg == nil {
		return nil
	}
	return cfg.Service(n.settings.Service())
}

// healthPath returns the path of the upstream's health endpoint, or "" if it has none.
func (n *Node) healthPath() string {
	if s := n.service(); s != nil {
		return s.Spec().HealthPath
	}
	return ""
}

// updateMaxSavedRetries sets this node's share of the retries that all nodes together may
// save up. Half of them are left over for nodes with another view of the fleet.
func (n *Node) updateMaxSavedRetries(view *registrar.View) {
	if n.settings.RetryAllowance() == 0 {
		return
	}
	const headroomDivisor = 2
	n.forwarder.SetMaxSavedRetries(n.settings.RetryAllowance() / headroomDivisor / max(view.Len(), 1))
}

// publishView passes a view of the fleet to the parts that use it.
func (n *Node) publishView(view *registrar.View) {
	n.deduplicator.Observe(view.Service(n.settings.Service()), n.keyRetention())
	n.snapshots.SetView(view)
	n.updateMaxSavedRetries(view)
	known := func(id string) bool { return view.Instance(id) != nil }
	n.samplePool.Retain(known)
	n.noticeBoard.Retain(known)
}
