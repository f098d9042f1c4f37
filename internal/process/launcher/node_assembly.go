package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/accountant"
	"github.com/banyanscale/banyanscale/internal/process/announcer"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/process/gauger"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/pacer"
	"github.com/banyanscale/banyanscale/internal/process/prober"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/watcher"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// rememberedRequests is how many requests the explain command can look up.
	rememberedRequests = 8192
	// maxConnectionsPerNode bounds the connections to one other node.
	maxConnectionsPerNode = 1024
	// maxKeys bounds the remembered idempotency keys.
	maxKeys = 200_000
	// maxKeyBytes bounds the bytes of the answers that are kept for them.
	maxKeyBytes = 48 << 20
	// connectionShare is the inverse of the share of an upstream's connections
	// that stays free for others than this node.
	connectionShare = 10
	// healthConnections bounds the connections for reads of the health endpoint.
	healthConnections = 2
	// maxPlacements bounds the attempts of one request that find no room.
	maxPlacements = 3
	// probesPerSecond and probeBytesPerSecond bound the probes of a node that
	// asks at the moment of each choice, and those that it answers.
	probesPerSecond     = 1000
	probeBytesPerSecond = 100 * probesPerSecond
)

// assembleControl makes the parts that learn about the fleet and its
// configuration.
func (n *Node) assembleControl(base zerolog.Logger) error {
	f, err := newFleet(fleetConfig{
		instance: n.instance(),
		seeds:    n.settings.Seeds(),
		onView:   n.setView,
		control:  n.controlAddresses,
		compile:  n.compile,
		publish:  n.publish,
	}, base, n.metrics.Scope())
	if err != nil {
		return fmt.Errorf("join the fleet: %w", err)
	}
	n.fleet = f
	n.announcer = announcer.New(announcer.Config{Announce: n.gossiper.Announce, ColdStart: n.coldStart})
	return nil
}

// assemblePath makes the parts on the path of a request.
func (n *Node) assemblePath(base zerolog.Logger) error {
	s := n.settings
	spec := compiler.DefaultServiceSpec(s.Service())
	n.meter = accountant.NewMeter(n.gossiper.Self(), time.Now())
	n.assembleGauger(base)
	n.assembleAdmitter(spec)
	n.assembleReports(base)
	n.assembleEnroller(base)
	n.assembleWatchers()
	n.server = server.New(server.Config{
		Instance:        s.Instance(),
		Service:         s.Service(),
		Upstream:        s.UpstreamAddress(),
		Requester:       watchedRequester{n.upstreamRequester(orDefault(s.Connections(), spec.Connections)), n.watcher, n.gauger},
		UpstreamTracker: n.upstreams(),
		Admitter:        upstreamAdmitter{n.admitter, n.noteRefusal},
		Link:            n.link,
		Snapshots:       n.snapshots,
		Scope:           n.metrics.Scope().SubScope("server"),
		Log:             logger.Part(base, "server"),
	})
	n.keyer = keyer.New(keyer.Config{
		Instance:         s.Instance(),
		StartIncarnation: n.gossiper.Self().Incarnation(),
		Client:           keyer.NewClient(n.client),
		MaxKeys:          maxKeys,
		MaxBytes:         maxKeyBytes,
	})
	choice, err := picker.New(picker.Config{
		Pool:          n.pool,
		Self:          s.Instance(),
		Region:        s.Region(),
		FailureDomain: s.FailureDomain(),
		Policy:        string(s.Policy()),
		Refresher:     n.prober,
	})
	if err != nil {
		return fmt.Errorf("make the picker: %w", err)
	}
	n.forwarder = forwarder.New(forwarder.Config{
		Instance:          s.Instance(),
		Snapshots:         n.snapshots,
		Picker:            choicePicker{choice, n.observeOwn, s.FailureDomain()},
		Observer:          loadObserver{n.pool, n.gossiper.ReportUnreachable},
		Requester:         newRequester(maxConnectionsPerNode),
		Local:             n.server,
		Keys:              n.keyer,
		MaxUnsentAttempts: n.placements(),
		Explainer:         n.explainer,
		Scope:             n.metrics.Scope().SubScope("forwarder"),
		Log:               logger.Part(base, "forwarder"),
	})
	return nil
}

// assembleAdmitter makes the parts that bound the work of the upstream and the
// large answers on the link.
func (n *Node) assembleAdmitter(spec compiler.ServiceSpec) {
	s := n.settings
	n.link = pacer.New(s.LinkBytesPerSecond())
	n.admitter = admitter.New(admitter.Config{
		Slots:       orDefault(s.Slots(), spec.Slots),
		Connections: orDefault(s.Connections(), spec.Connections),
		QueueLength: spec.QueueLength,
		ColdStart:   spec.ColdStart,
		FixedLimit:  s.UpstreamHeartbeats(),
		Slowdown:    n.spell,
		LinkWait:    n.link.EstimatedWait,
		Observer:    n.meter,
	})
}

// placements returns how many attempts of one request may find that an
// instance has no room, beside those that reach an upstream.
func (n *Node) placements() int {
	if n.settings.Policy() == configurer.PolicyLeastExpectedFinish {
		return maxPlacements
	}
	return 0
}

// assembleGauger makes the part that follows the speed of the upstream, if
// that reports it.
func (n *Node) assembleGauger(base zerolog.Logger) {
	if !n.settings.UpstreamHeartbeats() {
		return
	}
	reader := n.dialectRequester(requester.New(requester.Config{
		Dialer:          &net.Dialer{},
		MaxConnsPerHost: healthConnections,
		EchoHeader:      n.dialect.EchoHeader,
	}))
	n.gauger = gauger.New(gauger.Config{
		Read:          func(ctx context.Context) (bool, gauger.Report, error) { return n.readHealth(ctx, reader) },
		Busy:          n.busy,
		OnHealth:      func(healthy bool) { n.admitter.ObserveHealth(healthy) },
		OnSpeedChange: func() { n.admitter.SlowdownChanged() },
		Log:           logger.Part(base, "gauger"),
		Scope:         n.metrics.Scope().SubScope("gauger"),
	})
}

// upstreamRequester returns what speaks to the own upstream.
func (n *Node) upstreamRequester(connections int) server.Requester {
	return n.dialectRequester(requester.New(requester.Config{
		Dialer:              &net.Dialer{},
		MaxConnsPerHost:     connectionsFor(connections),
		EchoHeader:          n.dialect.EchoHeader,
		AllowCloseDelimited: n.dialect.UnframedAnswers,
	}))
}

// dialectRequester returns what speaks to the own upstream by r.
func (n *Node) dialectRequester(r server.Requester) server.Requester {
	if n.dialect.Upstream == nil {
		return r
	}
	return n.dialect.Upstream(r)
}

// upstreams returns what knows the own upstream by its heartbeats, or nil.
func (n *Node) upstreams() server.UpstreamTracker {
	if n.enroller == nil {
		return nil
	}
	return n.enroller
}

// assembleEnroller makes the part that takes the heartbeats of the upstream, if
// it sends any.
func (n *Node) assembleEnroller(base zerolog.Logger) {
	if !n.settings.UpstreamHeartbeats() {
		return
	}
	n.announcer.Available(false)
	n.enroller = enroller.New(enroller.Config{
		Service: n.settings.Service(),
		Address: n.settings.UpstreamAddress(),
		OnChange: func(c enroller.Change) {
			if c.Replaced {
				n.gauger.Reset()
			}
			n.coldFor.Store(int64(c.ColdFor))
			if c.Slots > 0 {
				n.slots.Store(int64(c.Slots))
				n.resize()
			}
			n.announcer.Available(c.Available)
		},
		Log: logger.Part(base, "enroller"),
	})
}

// assembleWatchers makes the parts that follow the state of the own upstream.
func (n *Node) assembleWatchers() {
	n.watcher = watcher.New(watcher.Config{
		Upstream: n.settings.UpstreamAddress(),
		Dialer:   &net.Dialer{},
		OnChange: n.announcer.Available,
	})
	n.health = watcher.NewHealthReader(watcher.HealthConfig{
		Upstream:  n.settings.UpstreamAddress(),
		Path:      n.healthPath,
		Transport: watcher.NewHealthTransport(),
		Reserve:   func(bytes int) bool { return n.prober.Reserve(n.settings.Service(), bytes) },
		OnHealth:  n.admitter.ObserveHealth,
		Scope:     n.metrics.Scope().SubScope("watcher"),
	})
}

// assembleReports makes the parts that measure and report load.
func (n *Node) assembleReports(base zerolog.Logger) {
	n.reporter = accountant.NewReporter(accountant.ReporterConfig{
		Meter:   n.meter,
		Self:    n.gossiper.Self,
		InForce: n.distributor.InForce,
		Control: n.controlAddresses,
		Sender:  accountant.NewSender(n.client),
		Logger:  base,
		Scope:   n.metrics.Scope().SubScope("accountant"),
		Random:  newRandom(),
	})
	n.prober = prober.New(n.proberConfig(base))
	n.courier.Handle(courier.KindProbe, n.answerProbe)
	n.courier.Handle(courier.KindProbeResponse, func(from netip.AddrPort, payload []byte) {
		n.prober.HandleResponse(from, payload, time.Now())
	})
}

func (n *Node) proberConfig(base zerolog.Logger) prober.Config {
	cfg := prober.Config{
		Pool:      n.pool,
		Source:    n.snapshots,
		Transport: probeTransport{n.courier},
		Self:      n.settings.Instance(),
		OwnLoad:   n.admitter,
		Scope:     n.metrics.Scope().SubScope("prober"),
		Log:       logger.Part(base, "prober"),
	}
	if n.settings.Policy() == configurer.PolicyLeastExpectedFinish {
		cfg.OnDemand = true
		cfg.Messages, cfg.Bytes = probesPerSecond, probeBytesPerSecond
		cfg.ResponseMessages, cfg.ResponseBytes = probesPerSecond, probeBytesPerSecond
	}
	return cfg
}

func (n *Node) instance() registrar.Spec {
	s := n.settings
	spec := compiler.DefaultServiceSpec(s.Service())
	return registrar.Spec{
		ID:            s.Instance(),
		State:         registrar.StateStarting,
		Service:       s.Service(),
		Owner:         s.Owner(),
		Site:          s.Site(),
		Region:        s.Region(),
		FailureDomain: s.FailureDomain(),
		HTTP:          s.HTTPAddress(),
		Peer:          s.PeerAddress(),
		Slots:         orDefault(s.Slots(), spec.Slots),
		Connections:   orDefault(s.Connections(), spec.Connections),
	}
}

func newRequester(connections int) *requester.Pool {
	return requester.New(requester.Config{Dialer: &net.Dialer{}, MaxConnsPerHost: connectionsFor(connections)})
}

// connectionsFor returns how many of an upstream's connections this node takes.
func connectionsFor(connections int) int { return max(connections-connections/connectionShare, 1) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
