package launcher

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/fleet/distributor"
	"github.com/banyanscale/banyanscale/internal/fleet/gossiper"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// fleetMemberConfig holds what differs between nodes and control instances.
type fleetMemberConfig struct {
	// instance is the instance as it is announced to the fleet.
	instance registrar.Spec
	// seeds are the peer addresses through which the process joins.
	seeds []netip.AddrPort
	// startAllowance is the number of bytes that the process may send for membership at
	// its start, in addition to the usual limit; 0 for the default.
	startAllowance int
	// catchUpBytes bounds what the process keeps and sends for others that are behind.
	catchUpBytes int
	// onView is called with each new view of the fleet.
	onView func(*registrar.View)
	// onEvacuation is called with newer evacuated failure domains of other processes. It is
	// nil in a process without an upstream.
	onEvacuation func(*controlwire.Evacuation)
	// controlAddresses, compile and publish are passed to the distributor. They are nil
	// in a process that puts no version in force.
	controlAddresses func() []netip.AddrPort
	compile          func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error)
	publish          func(*compiler.Configuration) bool
	// runsTrial is passed to the quarantine.
	runsTrial func(t quarantiner.Trial) bool
}

// fleetMember holds the parts that exchange membership and versions of the configuration
// with the other processes of the fleet.
type fleetMember struct {
	*fleetQuarantine

	client      *http.Client // For calls between processes.
	courier     *courier.Courier
	gossiper    *gossiper.Gossiper
	distributor *distributor.Distributor
}

// newFleetMember creates the parts and binds the UDP socket of the peer address.
func newFleetMember(cfg fleetMemberConfig, base zerolog.Logger, scope tally.Scope) (fleetMember, error) {
	m := fleetMember{client: newPeerClient()}
	var err error
	m.courier, err = courier.New(courier.Config{
		Address: cfg.instance.Peer,
		Logger:  base,
		Scope:   scope.SubScope("courier"),
	})
	if err != nil {
		return fleetMember{}, fmt.Errorf("bind the peer address: %w", err)
	}
	var view atomic.Pointer[registrar.View]
	view.Store(registrar.NewView(nil))
	m.fleetQuarantine = newFleetQuarantine(quarantineConfig{
		instance:  cfg.instance.ID,
		service:   cfg.instance.Service,
		transport: m.courier,
		view:      view.Load,
		runsTrial: cfg.runsTrial,
		scope:     scope,
		log:       base,
	})
	var g *gossiper.Gossiper
	m.distributor = distributor.New(distributor.Config{
		ControlAddresses: cfg.controlAddresses,
		Client:           distributor.NewClient(m.client, func(e *controlwire.Evacuation) { g.ObserveEvacuation(e) }),
		Compile:          cfg.compile,
		Digest:           compiler.Digest,
		Diff:             compiler.Diff,
		Apply:            compiler.ApplyJoined,
		Publish:          cfg.publish,
		Announce:         func(v *controlwire.VersionDigest) { g.SetVersion(v) },
		CatchUpBytes:     cfg.catchUpBytes,
		Logger:           base,
		Scope:            scope.SubScope("distributor"),
		Random:           newRandom(),
	})
	g = gossiper.New(gossiper.Config{
		Instance:       cfg.instance,
		Seeds:          cfg.seeds,
		StartAllowance: cfg.startAllowance,
		Transport:      m.courier,
		Client:         gossiper.NewClient(m.client),
		OnView: func(v *registrar.View) {
			view.Store(v)
			cfg.onView(v)
		},
		OnVersion:    m.distributor.ObserveVersion,
		OnEvacuation: cfg.onEvacuation,
		Logger:       base,
		Scope:        scope.SubScope("gossiper"),
		Random:       newRandom(),
	})
	m.gossiper = g
	return m, nil
}

// start joins the fleet.
func (m *fleetMember) start() {
	m.courier.Start()
	m.gossiper.Start()
	m.distributor.Start()
	m.disseminator.Start()
}
