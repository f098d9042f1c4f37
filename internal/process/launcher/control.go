package launcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"

	"github.com/rs/zerolog"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/accountant"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/controller"
	"github.com/banyanscale/banyanscale/internal/process/exporter"
	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// voterJournal is the name of the voter's journal in the data folder.
const voterJournal = "voter"

// documentChecker checks a document for every site before it is accepted.
type documentChecker struct{}

// Check implements controller.Checker.
func (documentChecker) Check(doc *controlwire.Document) error { return compiler.CheckAll(doc) }

// Control is a process that keeps configurations and the owners' ledger.
type Control struct {
	fleet

	settings   *configurer.Control
	extra      func(*Control, *goji.Mux)
	store      *journaler.Store
	log        zerolog.Logger
	metrics    *exporter.Exporter
	voter      *voter.Voter
	controller *controller.Controller
	ledger     *accountant.Ledger
	replicator *accountant.Replicator
	tomb       tomb.Tomb
}

// NewControl assembles a control instance from its settings. It opens the data
// folder and binds the peer address.
func NewControl(settings *configurer.Control, logs io.Writer) (*Control, error) {
	return NewControlWith(settings, logs, nil)
}

// NewControlWith does what NewControl does, for a platform with calls of its
// own: extra adds their handlers, unless it is nil.
func NewControlWith(settings *configurer.Control, logs io.Writer, extra func(*Control, *goji.Mux)) (*Control, error) {
	store, err := journaler.Open(journaler.OS{}, settings.DataFolder())
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	base := logger.New(logs).Level(settings.LogLevel())
	c := &Control{settings: settings, store: store, extra: extra, log: logger.Part(base, "control"), metrics: exporter.New("control")}
	if err := c.assemble(base); err != nil {
		_ = store.Close() // The first error is the one to tell.
		return nil, err
	}
	return c, nil
}

func (c *Control) assemble(base zerolog.Logger) error {
	f, err := newFleet(fleetConfig{
		instance: c.instance(),
		seeds:    append(c.settings.Seeds(), c.settings.Voters()...),
		onView:   func(*registrar.View) {},
	}, base, c.metrics.Scope())
	if err != nil {
		return fmt.Errorf("join the fleet: %w", err)
	}
	c.fleet = f
	if err := c.assembleVoter(base); err != nil {
		return fmt.Errorf("assemble the voter: %w", err)
	}
	return nil
}

func (c *Control) assembleVoter(base zerolog.Logger) error {
	journal, err := c.store.OpenJournal(voterJournal)
	if err != nil {
		return fmt.Errorf("open the journal: %w", err)
	}
	c.voter, err = voter.New(voter.Config{
		Address:   c.settings.PeerAddress().String(),
		Initial:   addressTexts(c.settings.Voters()),
		Tolerated: c.settings.ToleratedLosses(),
		Sources:   func() []string { return addressTexts(c.otherControls()) },
		Journal:   journal,
		Transport: voter.NewConnectTransport(c.client),
		Digest:    compiler.Digest,
		OnVersion: c.offer,
		Log:       logger.Part(base, "voter"),
		Scope:     c.metrics.Scope().SubScope("voter"),
	})
	if err != nil {
		return fmt.Errorf("make the voter: %w", err)
	}
	c.ledger, err = accountant.NewLedger(c.store, base, c.metrics.Scope().SubScope("accountant"))
	if err != nil {
		return fmt.Errorf("read the ledger: %w", err)
	}
	c.replicator = accountant.NewReplicator(c.ledger, accountant.NewReader(c.client), c.otherControls, base)
	c.controller = controller.New(c.voter, documentChecker{}, c.ledger)
	return nil
}

// Run serves until ctx ends, and unlocks the data folder.
func (c *Control) Run(ctx context.Context) error {
	peer, err := listen(ctx, c.settings.PeerAddress(), c.peerHandler())
	if err != nil {
		_ = c.store.Close() // The first error is the one to tell.
		return fmt.Errorf("peer address: %w", err)
	}
	c.start()
	c.tomb.Go(peer.serve)
	c.voter.Start()
	c.ledger.Start()
	c.replicator.Start()
	c.log.Info().Stringer("peer", c.settings.PeerAddress()).Msg("Started.")
	select {
	case <-ctx.Done():
	case <-c.tomb.Dying():
	}
	c.log.Info().Msg("Stopping.")
	c.gossiper.Leave()
	c.tomb.Kill(nil)
	err = firstError(peer.close, c.replicator.Stop, c.ledger.Stop, c.voter.Stop, c.distributor.Stop, c.gossiper.Stop, c.courier.Stop, c.tomb.Wait, c.store.Close, c.metrics.Close)
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// peerHandler serves what other processes and operators ask.
func (c *Control) peerHandler() http.Handler {
	mux := goji.NewMux()
	handle(mux, c.controller.Handler)
	handle(mux, c.voter.Handler)
	handle(mux, c.gossiper.Handler)
	mux.Handle(pat.Get("/metrics"), c.metrics.Handler())
	if c.extra != nil {
		c.extra(c, mux)
	}
	return mux
}

// Controller returns what answers operators.
func (c *Control) Controller() *controller.Controller { return c.controller }

// Reload takes over settings that were changed while the instance runs: the
// seeds. The others hold from the next start on.
func (c *Control) Reload(settings *configurer.Control) {
	c.gossiper.SetSeeds(append(settings.Seeds(), settings.Voters()...))
}

// otherControls returns where the other control instances are.
func (c *Control) otherControls() []netip.AddrPort {
	all := controlsIn(c.gossiper.View())
	return slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == c.settings.PeerAddress() })
}

// offer hands a version that the voters accepted to the fleet.
func (c *Control) offer(version *controlwire.Version) {
	if err := c.distributor.Offer(version); err != nil {
		c.log.Error().Err(err).Msg("An accepted version could not be offered.")
	}
}

func (c *Control) instance() registrar.Spec {
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

// controlsIn returns the peer addresses of the control instances in a view:
// those that serve no service.
func controlsIn(view *registrar.View) []netip.AddrPort {
	var list []netip.AddrPort
	for _, in := range view.Service("") {
		if in.State().Routable() {
			list = append(list, in.Peer())
		}
	}
	return list
}

func addressTexts(addresses []netip.AddrPort) []string {
	texts := make([]string, len(addresses))
	for i, a := range addresses {
		texts[i] = a.String()
	}
	return texts
}
