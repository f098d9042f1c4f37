package launcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/accounting/accountant"
	"github.com/banyanscale/banyanscale/internal/agreement/controller"
	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/connection/limiter"
	"github.com/banyanscale/banyanscale/internal/fleet/departurekeeper"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/timekeeper"
	"github.com/banyanscale/banyanscale/internal/telemetry/exporter"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Names of journals in the data folder.
const (
	voterJournal     = "voter"
	departureJournal = "departures"
)

// controlStartAllowance is the number of bytes that a control instance may send for
// membership at its start. It is above that of a node, since all nodes join through the
// control instances.
const controlStartAllowance = 512 << 10

// handOverTimeout bounds the time for which a stop waits until another instance votes in place of
// this one.
const handOverTimeout = 3 * time.Second

// documentChecker compiles a document for every site before it is accepted.
type documentChecker struct{}

// Check implements controller.Checker.
func (documentChecker) Check(doc *controlwire.Document) error { return compiler.CheckAll(doc) }

// Control is a control instance. It stores the configurations and the owners' ledger.
type Control struct {
	fleetMember

	settings    *configurer.Control
	addHandlers func(*Control, *goji.Mux)
	store       *journaler.Store
	log         zerolog.Logger
	metrics     *exporter.Exporter
	voter       *voter.Voter
	controller  *controller.Controller
	ledger      *accountant.Ledger
	replicator  *accountant.Replicator
	quota       *controlQuota
	seenDomains *seenDomains
	departures  *departurekeeper.Archive
	tomb        tomb.Tomb
}

// NewControl assembles a control instance from its settings. It locks the data folder and
// binds the UDP socket of the peer address.
func NewControl(settings *configurer.Control, logs io.Writer) (*Control, error) {
	return NewControlWithHandlers(settings, logs, nil)
}

// NewControlWithHandlers is like NewControl, for a platform with calls of its own.
// addHandlers adds their handlers to the peer address; it may be nil.
func NewControlWithHandlers(settings *configurer.Control, logs io.Writer, addHandlers func(*Control, *goji.Mux)) (*Control, error) {
	store, err := journaler.Open(journaler.OS{}, settings.DataFolder())
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	base := logger.New(logs).Level(settings.LogLevel())
	c := &Control{settings: settings, store: store, addHandlers: addHandlers, log: logger.Part(base, "control"), metrics: exporter.New("control")}
	if err := c.assemble(base); err != nil {
		_ = store.Close() // Only the first error is reported.
		return nil, err
	}
	return c, nil
}

func (c *Control) assemble(base zerolog.Logger) error {
	c.seenDomains = newSeenDomains(c.store, c.log)
	member, err := newFleetMember(fleetMemberConfig{
		startAllowance: controlStartAllowance,
		catchUpBytes:   c.catchUpBytes(),
		instance:       c.instanceSpec(),
		seeds:          append(c.settings.Seeds(), c.settings.Voters()...),
		onView:         c.seenDomains.Observe,
	}, base, c.metrics.Scope())
	if err != nil {
		return fmt.Errorf("join the fleet: %w", err)
	}
	c.fleetMember = member
	if err := c.assembleVoter(base); err != nil {
		return fmt.Errorf("assemble the voter and the ledger: %w", err)
	}
	if err := c.assembleDepartures(base); err != nil {
		return fmt.Errorf("read the departures of upstreams: %w", err)
	}
	return nil
}

// assembleDepartures creates the part that stores that upstreams are leaving.
func (c *Control) assembleDepartures(base zerolog.Logger) error {
	journal, err := c.store.OpenJournal(departureJournal)
	if err != nil {
		return fmt.Errorf("open the journal: %w", err)
	}
	c.departures = departurekeeper.NewArchive(departurekeeper.ArchiveConfig{
		Journal: journal, Transport: c.courier, Scope: c.metrics.Scope().SubScope("departurekeeper"), Log: base,
	})
	return nil
}

func (c *Control) assembleVoter(base zerolog.Logger) error {
	journal, err := c.store.OpenJournal(voterJournal)
	if err != nil {
		return fmt.Errorf("open the voter's journal: %w", err)
	}
	c.voter, err = voter.New(voter.Config{
		Address:         c.settings.PeerAddress().String(),
		InitialVoters:   addressStrings(initialVoters(c.store, c.settings.Voters(), c.log)),
		ToleratedLosses: c.settings.ToleratedLosses(),
		StateSources:    func() []string { return addressStrings(c.otherControlAddresses()) },
		Journal:         journal,
		CatchUpBytes:    c.catchUpBytes(),
		Transport:       voter.NewConnectTransport(c.client),
		Digest:          compiler.Digest,
		OnVersion:       c.offerVersion,
		OnEvacuation:    c.gossiper.SetEvacuation,
		Log:             logger.Part(base, "voter"),
		Scope:           c.metrics.Scope().SubScope("voter"),
	})
	if err != nil {
		return fmt.Errorf("create the voter: %w", err)
	}
	c.ledger, err = accountant.NewLedger(c.store, base, c.metrics.Scope().SubScope("accountant"))
	if err != nil {
		return fmt.Errorf("read the ledger: %w", err)
	}
	c.replicator = accountant.NewReplicator(c.ledger, accountant.NewReader(c.client), c.otherControlAddresses, base)
	c.quota = newControlQuota(controlQuotaConfig{
		settings: c.settings, voters: c.voter, transport: c.courier, view: c.gossiper.View,
		now: timekeeper.Now, scope: c.metrics.Scope(), log: base,
	})
	c.controller = controller.New(c.voter, documentChecker{}, c.ledger, newKnownFleet(c.gossiper.View, c.seenDomains), c.catchUpBytes())
	return nil
}

// Run serves until ctx ends, then stops the parts and unlocks the data folder.
func (c *Control) Run(ctx context.Context) error {
	clients := newClientLimits(c.settings.MemoryMB(), c.settings.MaxDescriptors(), c.metrics.Scope(), peerClients)
	peerListener, err := listen(ctx, c.settings.PeerAddress(), clients.boundBodies(c.peerHandler()), clients.limiter(peerClients, limiter.DefaultLimits))
	if err != nil {
		_ = c.store.Close() // Only the first error is reported.
		return fmt.Errorf("bind the peer address: %w", err)
	}
	c.start()
	c.tomb.Go(peerListener.serve)
	c.tomb.Go(func() error { return c.seenDomains.run(c.tomb.Dying()) })
	c.voter.Start()
	c.ledger.Start()
	c.replicator.Start()
	c.quota.start()
	c.departures.Start()
	c.log.Info().Stringer("peer", c.settings.PeerAddress()).Msg("Started.")
	select {
	case <-ctx.Done():
	case <-c.tomb.Dying():
	}
	c.log.Info().Msg("Stopping.")
	c.handOverVote()
	c.gossiper.Leave(context.Background())
	c.tomb.Kill(nil)
	err = firstError(peerListener.closer(context.Background()), c.quota.stop, c.departures.Stop, c.replicator.Stop, c.ledger.Stop, c.voter.Stop,
		c.distributor.Stop, c.disseminator.Stop, c.gossiper.Stop, c.courier.Stop, c.tomb.Wait, c.store.Close, c.metrics.Close)
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// handOverVote lets another instance vote in place of this one, if there is one.
func (c *Control) handOverVote() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := c.voter.Leave(ctx); err != nil {
		c.log.Info().Err(err).Msg("The group of voters may miss this instance.")
	}
}

// peerHandler returns the handler for other processes and operators.
func (c *Control) peerHandler() http.Handler {
	mux := goji.NewMux()
	mountService(mux, c.controller.Handler)
	mountService(mux, c.voter.Handler)
	mountService(mux, c.gossiper.Handler)
	mux.Handle(pat.Get("/metrics"), c.metrics.Handler())
	c.mountQuarantine(mux)
	c.quota.mount(mux)
	if c.addHandlers != nil {
		c.addHandlers(c, mux)
	}
	return mux
}

// Controller returns the controller, which serves the operators' calls.
func (c *Control) Controller() *controller.Controller { return c.controller }

// Reload applies changed settings to the running instance. Only the seeds take effect;
// the others need a restart.
func (c *Control) Reload(settings *configurer.Control) {
	c.gossiper.SetSeeds(append(settings.Seeds(), settings.Voters()...))
}

// otherControlAddresses returns the peer addresses of the other control instances.
func (c *Control) otherControlAddresses() []netip.AddrPort {
	all := controlAddressesIn(c.gossiper.View())
	return slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == c.settings.PeerAddress() })
}

// offerVersion offers a version that the voters accepted to the fleet, and takes its quotas.
func (c *Control) offerVersion(version *controlwire.Version) {
	c.quota.offerVersion(version, c.log)
	if err := c.distributor.Offer(version); err != nil {
		c.log.Error().Err(err).Msg("Failed to offer an accepted version to the fleet.")
	}
}

// catchUpBytes returns the bound of each part that keeps or sends something for processes that are
// behind.
func (c *Control) catchUpBytes() int { return retainer.BytesFor(c.settings.MemoryMB()) }

// instanceSpec returns the instance as it is announced to the fleet.
func (c *Control) instanceSpec() registrar.Spec {
	s := c.settings
	return registrar.Spec{
		ID:            s.Instance(),
		State:         registrar.StateReady,
		Site:          s.Site(),
		Region:        s.Region(),
		FailureDomain: s.FailureDomain(),
		HTTP:          s.PeerAddress(),
		Peer:          s.PeerAddress(),
	}
}

// controlAddressesIn returns the peer addresses of the routable control instances in a
// view. Control instances are those without a service.
func controlAddressesIn(view *registrar.View) []netip.AddrPort {
	var list []netip.AddrPort
	for _, in := range view.Service("") {
		if in.State().Routable() {
			list = append(list, in.Peer())
		}
	}
	return list
}

func addressStrings(addresses []netip.AddrPort) []string {
	list := make([]string, len(addresses))
	for i, a := range addresses {
		list[i] = a.String()
	}
	return list
}
