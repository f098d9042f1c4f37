package launcher

import (
	"fmt"
	"net/http"
	"net/netip"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/process/distributor"
	"github.com/banyanscale/banyanscale/internal/process/gossiper"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// fleetConfig lists what differs between the processes of a fleet.
type fleetConfig struct {
	// instance is what the process announces of itself.
	instance registrar.Spec
	// seeds are the peer addresses at which the process joins.
	seeds []netip.AddrPort
	// onView gets each new picture of the fleet.
	onView func(*registrar.View)
	// control, compile and publish are those of the distributor; nil in a
	// process that follows no version.
	control func() []netip.AddrPort
	compile func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error)
	publish func(*compiler.Configuration) bool
}

// fleet is the parts by which a process learns about the others and about
// versions of the configuration.
type fleet struct {
	client      *http.Client // For calls between processes.
	courier     *courier.Courier
	gossiper    *gossiper.Gossiper
	distributor *distributor.Distributor
}

// newFleet makes the parts and binds the peer address.
func newFleet(cfg fleetConfig, base zerolog.Logger, scope tally.Scope) (fleet, error) {
	f := fleet{client: newPeerClient()}
	var err error
	f.courier, err = courier.New(courier.Config{
		Address: cfg.instance.Peer,
		Logger:  base,
		Scope:   scope.SubScope("courier"),
	})
	if err != nil {
		return fleet{}, fmt.Errorf("bind the peer address: %w", err)
	}
	var g *gossiper.Gossiper
	f.distributor = distributor.New(distributor.Config{
		ControlAddresses: cfg.control,
		Client:           distributor.NewClient(f.client),
		Compile:          cfg.compile,
		Digest:           compiler.Digest,
		Diff:             compiler.Diff,
		Apply:            compiler.Apply,
		Publish:          cfg.publish,
		Announce:         func(v *controlwire.VersionDigest) { g.SetVersion(v) },
		Logger:           base,
		Scope:            scope.SubScope("distributor"),
		Random:           newRandom(),
	})
	g = gossiper.New(gossiper.Config{
		Instance:  cfg.instance,
		Seeds:     cfg.seeds,
		Transport: f.courier,
		Client:    gossiper.NewClient(f.client),
		OnView:    cfg.onView,
		OnVersion: f.distributor.ObserveVersion,
		Logger:    base,
		Scope:     scope.SubScope("gossiper"),
		Random:    newRandom(),
	})
	f.gossiper = g
	return f, nil
}

// start begins to take part in the fleet.
func (f *fleet) start() {
	f.courier.Start()
	f.gossiper.Start()
	f.distributor.Start()
}
