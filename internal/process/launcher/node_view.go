package launcher

import (
	"net/netip"
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// answerProbe tells another node the load of this one's upstream. An answer
// that cannot be sent is like one that is lost.
func (n *Node) answerProbe(from netip.AddrPort, payload []byte) {
	n.askedAt.Store(time.Now().UnixNano())
	if answer := n.prober.HandleProbe(from, payload); answer != nil {
		_ = n.courier.Send(courier.KindProbeResponse, from, answer)
	}
}

// coldStart returns how long the instance warms: what the upstream said of
// itself, or else what the configuration says.
func (n *Node) coldStart() time.Duration {
	if n.enroller != nil {
		return time.Duration(n.coldFor.Load())
	}
	if s := n.service(); s != nil {
		return s.Spec().ColdStart
	}
	return 0
}

// compile makes the configuration for the node's site. A site without an
// overlay follows the base file alone, which may be a slip in the settings: that
// is told once.
func (n *Node) compile(doc *controlwire.Document, number uint64) (*compiler.Configuration, error) {
	if !n.noOverlay.Load() && !slices.Contains(compiler.Sites(doc), n.settings.Site()) {
		n.noOverlay.Store(true)
		n.log.Warn().Str("site", n.settings.Site()).Uint64("version", number).Msg("No overlay names this site; the base file holds.")
	}
	return compiler.Compile(doc, n.settings.Site(), number)
}

// controlAddresses returns where control instances are, as set and as announced.
func (n *Node) controlAddresses() []netip.AddrPort {
	return append(controlsIn(n.snapshots.Snapshot().View()), n.settings.ControlAddresses()...)
}

// keyRetention returns how long idempotency keys are remembered.
func (n *Node) keyRetention() time.Duration {
	if s := n.service(); s != nil {
		return s.Spec().KeyRetention
	}
	return compiler.DefaultServiceSpec(n.settings.Service()).KeyRetention
}

// longestTimeout returns the longest deadline that a request may have.
func (n *Node) longestTimeout() time.Duration {
	longest := time.Duration(0)
	if cfg := n.snapshots.Snapshot().Configuration(); cfg != nil {
		for _, s := range cfg.Services() {
			longest = max(longest, s.Spec().MaxTimeout)
		}
	}
	return longest
}

// noteRefusal meters a refusal for want of a slot, if another instance of the
// service had a free one.
func (n *Node) noteRefusal() {
	service := n.service()
	if service == nil {
		return
	}
	now := time.Now()
	for _, in := range n.snapshots.Snapshot().View().Service(n.settings.Service()) {
		if in.ID() == n.settings.Instance() || !in.State().Routable() {
			continue
		}
		reading := n.pool.Read(in.ID(), service.Spec().SampleMaxAge, now)
		if reading.Sampled() && reading.Age() <= service.Spec().SampleMaxAge && reading.Occupancy() < reading.Load().Limit() {
			n.meter.CountRefusedWhileIdle()
			return
		}
	}
}

// observeOwn takes a sample of the own upstream for a choice among its service.
func (n *Node) observeOwn(service string, now time.Time) {
	if service != n.settings.Service() {
		return
	}
	n.askedAt.Store(now.UnixNano())
	if self := n.snapshots.Snapshot().View().Instance(n.settings.Instance()); self != nil {
		n.pool.Observe(self.ID(), self.Incarnation(), n.admitter.Load(), now)
	}
}

// publish puts a configuration in force.
func (n *Node) publish(cfg *compiler.Configuration) bool {
	if !n.snapshots.SetConfiguration(cfg) {
		return false
	}
	if cfg.Service(n.settings.Service()) != nil {
		n.announcer.Configured()
		n.resize()
	}
	return true
}

// resize takes over the size of the upstream: what the settings say, or else
// the upstream itself, or else the configuration.
func (n *Node) resize() {
	s := n.service()
	if s == nil {
		return
	}
	spec := s.Spec()
	slots := orDefault(n.settings.Slots(), orDefault(int(n.slots.Load()), spec.Slots))
	connections := orDefault(n.settings.Connections(), spec.Connections)
	n.admitter.Update(slots, connections, spec.QueueLength, spec.ColdStart)
	n.gossiper.Resize(slots, connections)
}

// service returns the configuration of the node's own service, or nil.
func (n *Node) service() *compiler.Service {
	cfg := n.snapshots.Snapshot().Configuration()
	if cfg == nil {
		return nil
	}
	return cfg.Service(n.settings.Service())
}

// healthPath returns the path of the upstream's health endpoint, if it is to be read.
func (n *Node) healthPath() string {
	if s := n.service(); s != nil {
		return s.Spec().HealthPath
	}
	return ""
}

// shareRetries takes this node's share of the retries that all nodes together
// may save up. Half of them are left for nodes that see the fleet differently.
func (n *Node) shareRetries(view *registrar.View) {
	if n.settings.RetryAllowance() == 0 {
		return
	}
	const left = 2
	n.forwarder.SetMaxSavedRetries(n.settings.RetryAllowance() / left / max(view.Len(), 1))
}

// setView puts a new picture of the fleet in force.
func (n *Node) setView(view *registrar.View) {
	n.keyer.Observe(view.Service(n.settings.Service()), n.keyRetention())
	n.snapshots.SetView(view)
	n.shareRetries(view)
	n.pool.Retain(func(id string) bool { return view.Instance(id) != nil })
}
