// Package registrar defines what a node knows about the fleet: the instances that
// announced themselves, their states, and an immutable view of them for the request path.
//
// # Usage
//
//	view := registrar.NewView(instances)
//	for _, in := range view.Service("vitrina") {
//		fmt.Println(in.ID(), in.State())
//	}
//
// A View never changes. A new one replaces it through an atomic pointer, so that readers
// take no lock.
package registrar

import "net/netip"

// State is the lifecycle state of an instance, announced by its own node or inferred by
// other processes.
type State uint8

const (
	// StateStarting means that the instance has no configuration yet and is sent no requests.
	StateStarting State = iota + 1
	// StateWarming means that the instance started recently and is sent a reduced share of requests.
	StateWarming
	// StateReady means that the instance is sent its full share of requests.
	StateReady
	// StateLeaving means that the instance drains and is sent no new requests.
	StateLeaving
	// StateLeft means that the instance shut down gracefully.
	StateLeft
	// StateSuspect means that another instance recently failed to reach it.
	StateSuspect
	// StateFailed means that it was suspect for the full suspicion timeout.
	StateFailed
	// StateEvacuated means that operators have evacuated the failure domain of the instance,
	// which is sent no new requests. Only views contain it; it is never announced.
	StateEvacuated
)

var stateNames = map[State]string{
	StateStarting: "starting",
	StateWarming:  "warming",
	StateReady:    "ready",
	StateLeaving:  "leaving",
	StateLeft:     "left",
	StateSuspect:  "suspect",
	StateFailed:   "failed",

	StateEvacuated: "evacuated",
}

// String returns the name of the state, or "unknown".
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// Routable reports whether new requests may be sent to an instance in this state. A
// suspect instance stays routable: the request path detects by itself if it is down.
func (s State) Routable() bool {
	return s == StateWarming || s == StateReady || s == StateSuspect
}

// Spec lists the fields of an Instance for NewInstance.
type Spec struct {
	// ID is the instance's name, unique in the fleet and stable across restarts.
	ID string
	// Incarnation increases with every start of the instance's node.
	Incarnation uint64
	// Sequence increases with every announcement within one incarnation.
	Sequence uint64
	// State is the announced or inferred state.
	State State
	// Service, Owner, Site, Region and FailureDomain are names: of the service that the
	// instance runs, of its owner, and of where it runs. A control instance runs no
	// service and has no owner.
	Service, Owner, Site, Region, FailureDomain string
	// HTTP is the address at which its node receives requests. Peer is the one at which
	// it receives gossip and probes over UDP, and calls from other processes over TCP.
	HTTP, Peer netip.AddrPort
	// Slots is how many requests its upstream executes at once.
	Slots int
	// Connections is how many connections its upstream accepts.
	Connections int
}

// Instance is one upstream with its node, or a control instance, as announced to the
// fleet. It is immutable.
type Instance struct{ spec Spec }

// NewInstance returns an instance with the fields of spec.
func NewInstance(spec Spec) *Instance { return &Instance{spec: spec} }

// Spec returns a copy of all fields, to derive a changed instance from.
func (in *Instance) Spec() Spec { return in.spec }

// ID returns the instance's name.
func (in *Instance) ID() string { return in.spec.ID }

// Incarnation returns the number of the node's start. Later starts have greater numbers.
func (in *Instance) Incarnation() uint64 { return in.spec.Incarnation }

// Sequence returns the number of the announcement within the incarnation.
func (in *Instance) Sequence() uint64 { return in.spec.Sequence }

// State returns the lifecycle state.
func (in *Instance) State() State { return in.spec.State }

// Service returns the name of the service that the upstream runs.
func (in *Instance) Service() string { return in.spec.Service }

// Owner returns the name of the upstream's owner.
func (in *Instance) Owner() string { return in.spec.Owner }

// Site returns the name of the site, which selects the configuration overlay.
func (in *Instance) Site() string { return in.spec.Site }

// Region returns the name of the region.
func (in *Instance) Region() string { return in.spec.Region }

// FailureDomain returns the name of the failure domain.
func (in *Instance) FailureDomain() string { return in.spec.FailureDomain }

// HTTP returns the address at which the node receives requests.
func (in *Instance) HTTP() netip.AddrPort { return in.spec.HTTP }

// Peer returns the address at which the node receives gossip and probes over UDP, and
// calls from other processes over TCP.
func (in *Instance) Peer() netip.AddrPort { return in.spec.Peer }

// Slots returns how many requests the upstream executes at once.
func (in *Instance) Slots() int { return in.spec.Slots }

// Connections returns how many connections the upstream accepts.
func (in *Instance) Connections() int { return in.spec.Connections }
