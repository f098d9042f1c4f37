// Package registrar holds what a node knows about the fleet: the instances
// that announced themselves, their states, and an immutable view of them for
// the path of a request.
//
// # Usage
//
//	view := registrar.NewView(instances)
//	for _, in := range view.Service("vitrina") {
//		fmt.Println(in.ID(), in.State())
//	}
//
// A View never changes. A new one replaces it as a whole behind an atomic
// pointer, so that readers take no lock.
package registrar

import "net/netip"

// State is an instance's stage of life, as its own node announced it or as
// others concluded.
type State uint8

const (
	// StateStarting means that the instance has no configuration yet and takes no work.
	StateStarting State = iota + 1
	// StateWarming means that the instance started and takes a reduced share of work.
	StateWarming
	// StateReady means that the instance takes its full share of work.
	StateReady
	// StateLeaving means that the instance finishes what it has and takes no new work.
	StateLeaving
	// StateLeft means that the instance ended in order.
	StateLeft
	// StateSuspect means that another instance could not reach it lately.
	StateSuspect
	// StateFailed means that it was suspected for the whole suspicion timeout.
	StateFailed
)

var stateNames = map[State]string{
	StateStarting: "starting",
	StateWarming:  "warming",
	StateReady:    "ready",
	StateLeaving:  "leaving",
	StateLeft:     "left",
	StateSuspect:  "suspect",
	StateFailed:   "failed",
}

// String returns the state's name, in kebab case.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// Routable reports whether new work may be sent to an instance in this state.
// A suspect still takes work: the path of a request finds out by itself.
func (s State) Routable() bool {
	return s == StateWarming || s == StateReady || s == StateSuspect
}

// Spec lists the fields of an Instance for NewInstance.
type Spec struct {
	// ID is the instance's name, unique in the fleet and stable over restarts.
	ID string
	// Incarnation grows with every start of the instance's node.
	Incarnation uint64
	// Sequence grows with every announcement within one incarnation.
	Sequence uint64
	// State is the announced or concluded state.
	State State
	// Service, Owner, Site, Region and FailureDomain say what it serves and where.
	Service, Owner, Site, Region, FailureDomain string
	// HTTP is where its node takes requests; Peer is where it takes gossip and
	// probes by UDP and calls between processes by TCP.
	HTTP, Peer netip.AddrPort
	// Slots is how many requests its upstream works on at once.
	Slots int
	// Connections is how many connections its upstream accepts.
	Connections int
}

// Instance is one upstream with its node, as announced to the fleet. It is
// immutable.
type Instance struct{ spec Spec }

// NewInstance returns the instance that spec describes.
func NewInstance(spec Spec) *Instance { return &Instance{spec: spec} }

// Spec returns a copy of all fields, to derive a changed instance from.
func (in *Instance) Spec() Spec { return in.spec }

// ID returns the instance's name.
func (in *Instance) ID() string { return in.spec.ID }

// Incarnation returns the number of this start of the instance.
func (in *Instance) Incarnation() uint64 { return in.spec.Incarnation }

// Sequence returns the number of the announcement within the incarnation.
func (in *Instance) Sequence() uint64 { return in.spec.Sequence }

// State returns the stage of life.
func (in *Instance) State() State { return in.spec.State }

// Service returns the name of the service that the upstream answers for.
func (in *Instance) Service() string { return in.spec.Service }

// Owner returns the name of the upstream's owner.
func (in *Instance) Owner() string { return in.spec.Owner }

// Site returns the name of the site, which selects the overlay.
func (in *Instance) Site() string { return in.spec.Site }

// Region returns the name of the region.
func (in *Instance) Region() string { return in.spec.Region }

// FailureDomain returns the name of the failure domain.
func (in *Instance) FailureDomain() string { return in.spec.FailureDomain }

// HTTP returns the address at which the node takes requests.
func (in *Instance) HTTP() netip.AddrPort { return in.spec.HTTP }

// Peer returns the address at which the node takes gossip and probes by UDP,
// and calls between processes by TCP.
func (in *Instance) Peer() netip.AddrPort { return in.spec.Peer }

// Slots returns how many requests the upstream works on at once.
func (in *Instance) Slots() int { return in.spec.Slots }

// Connections returns how many connections the upstream accepts.
func (in *Instance) Connections() int { return in.spec.Connections }
