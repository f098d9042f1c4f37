package launcher

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/fleet/disseminator"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// quarantineConfig holds what the quarantine of a process depends on.
type quarantineConfig struct {
	instance, service string
	transport         disseminator.Transport
	view              func() *registrar.View
	// runsTrial reports whether the instance runs a request on trial. It is nil in a process
	// without an upstream, which keeps evidence only for those that restart.
	runsTrial func(t quarantiner.Trial) bool
	scope     tally.Scope
	log       zerolog.Logger
}

// fleetQuarantine holds the parts that keep requests that crash upstreams from running.
type fleetQuarantine struct {
	quarantiner  *quarantiner.Quarantiner
	disseminator *disseminator.Disseminator
}

func newFleetQuarantine(cfg quarantineConfig) *fleetQuarantine {
	q := &fleetQuarantine{}
	q.quarantiner = quarantiner.New(quarantiner.Config{
		RunsTrial: cfg.runsTrial,
		OnChange:  func(e quarantiner.Evidence) { q.disseminator.Spread(e) },
		Scope:     cfg.scope.SubScope("quarantiner"),
		Log:       logger.Part(cfg.log, "quarantiner"),
	})
	q.disseminator = disseminator.New(disseminator.Config{
		Instance:  cfg.instance,
		Service:   cfg.service,
		Store:     q.quarantiner,
		Transport: cfg.transport,
		View:      cfg.view,
		Random:    newRandom(),
		Scope:     cfg.scope.SubScope("disseminator"),
		Log:       cfg.log,
	})
	return q
}
