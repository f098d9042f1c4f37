package launcher

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/agreement/elector"
	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// electorate tells who votes. voter.Voter implements it.
type electorate interface {
	Electorate() voter.Electorate
	AcceptedEpoch() uint64
}

// controlQuotaConfig holds what the quotas of a control instance depend on.
type controlQuotaConfig struct {
	settings  *configurer.Control
	voters    electorate
	transport elector.Transport
	view      func() *registrar.View
	now       func() time.Duration
	scope     tally.Scope
	log       zerolog.Logger
}

// controlQuota holds the parts of a control instance that grant the quotas of organisations. They
// send nothing while the configuration has no organisation with a quota.
type controlQuota struct {
	limits  atomic.Pointer[quotaLimits]
	names   atomic.Pointer[map[grantor.OrganisationID]string]
	elector *elector.Elector
	server  *grantor.Server
}

// quotaLimits are the limits of one version of the configuration.
type quotaLimits map[grantor.OrganisationID]grantor.Limit

func newControlQuota(cfg controlQuotaConfig) *controlQuota {
	q := &controlQuota{}
	q.limits.Store(&quotaLimits{})
	q.names.Store(&map[grantor.OrganisationID]string{})
	q.elector = elector.New(elector.Config{
		Self:          cfg.settings.PeerAddress(),
		Needed:        func() bool { return len(*q.limits.Load()) > 0 },
		Electorate:    func() elector.Electorate { return newElectorate(cfg.voters.Electorate()) },
		AcceptedEpoch: cfg.voters.AcceptedEpoch,
		OnElected:     func(uint64) { q.server.Elected() },
		Transport:     cfg.transport,
		Now:           cfg.now,
		Random:        newRandom(),
		Scope:         cfg.scope.SubScope("elector"),
		Log:           cfg.log,
	})
	q.server = grantor.NewServer(grantor.ServerConfig{
		Grantor: grantor.Config{
			Window:  cfg.settings.QuotaWindow(),
			Overage: cfg.settings.QuotaOverage(),
			Slack:   cfg.settings.QuotaSlack(),
			Limit:   q.limit,
		},
		Elector:   q.elector,
		Nodes:     func() []netip.AddrPort { return nodeAddressesIn(cfg.view()) },
		Transport: cfg.transport,
		Now:       cfg.now,
		Scope:     cfg.scope.SubScope("grantor"),
		Log:       cfg.log,
	})
	return q
}

func (q *controlQuota) start() {
	q.elector.Start()
	q.server.Start()
}

func (q *controlQuota) stop() error { return firstError(q.elector.Stop, q.server.Stop) }

// offerVersion takes the quotas of a version that the voters accepted.
func (q *controlQuota) offerVersion(version *controlwire.Version, log zerolog.Logger) {
	organisations, err := compiler.CompileOrganisations(version.GetDocument())
	if err != nil {
		log.Error().Err(err).Uint64("version", version.GetDigest().GetNumber()).
			Msg("Failed to compile an accepted version for its quotas.")
		return
	}
	q.setLimits(organisations)
}

// setLimits sets the limits of the organisations of a newer configuration.
func (q *controlQuota) setLimits(organisations *compiler.Organisations) {
	limits, names := make(quotaLimits), make(map[grantor.OrganisationID]string)
	for o := range organisations.All() {
		if id := grantor.IDOf(o.Name()); o.Limited() {
			limits[id], names[id] = grantor.Limit{Rate: o.Rate(), Burst: o.Burst()}, o.Name()
		}
	}
	q.names.Store(&names)
	q.limits.Store(&limits)
}

func (q *controlQuota) limit(id grantor.OrganisationID) (grantor.Limit, bool) {
	l, ok := (*q.limits.Load())[id]
	return l, ok
}

// newElectorate returns the voters with their addresses. One whose address cannot be parsed has
// none, and counts as one that does not answer.
func newElectorate(e voter.Electorate) elector.Electorate {
	return elector.Electorate{Epoch: e.Epoch(), Voters: parseAddresses(e.Voters()), Previous: parseAddresses(e.Previous())}
}

func parseAddresses(texts []string) []netip.AddrPort {
	list := make([]netip.AddrPort, len(texts))
	for i, text := range texts {
		if address, err := netip.ParseAddrPort(text); err == nil {
			list[i] = address
		}
	}
	return list
}

// nodeAddressesIn returns the peer addresses of the nodes in a view that may be running.
func nodeAddressesIn(view *registrar.View) []netip.AddrPort {
	var list []netip.AddrPort
	for _, in := range view.Instances() {
		if in.Service() != "" && in.State() != registrar.StateLeft {
			list = append(list, in.Peer())
		}
	}
	return list
}
