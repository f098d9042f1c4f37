package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/accounting/accountant"
	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/connection/pacer"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/gauger"
	"github.com/banyanscale/banyanscale/internal/measurement/prober"
	"github.com/banyanscale/banyanscale/internal/measurement/watcher"
	"github.com/banyanscale/banyanscale/internal/process/announcer"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/process/timekeeper"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
)

const (
	// maxExplainedRequests bounds the requests that the explain command can look up.
	maxExplainedRequests = 8192
	// maxConnectionsPerNode bounds the connections to one other node.
	maxConnectionsPerNode = 1024
	// maxKeys bounds the stored idempotency keys.
	maxKeys = 200_000
	// maxKeyBytes bounds the bytes of the keys themselves.
	maxKeyBytes = 12 << 20
	// maxKeptResponseBytes bounds the bytes of the responses stored with them.
	maxKeptResponseBytes = 48 << 20
	// connectionHeadroomDivisor is the inverse of the share of an upstream's connections
	// that this node leaves free for other clients.
	connectionHeadroomDivisor = 10
	// maxHealthConnections bounds the connections that read the health endpoint.
	maxHealthConnections = 2
	// maxUnsentAttempts bounds the attempts of one request that fail before they reach an
	// upstream, with on-demand probes.
	maxUnsentAttempts = 3
	// probesPerSecond and probeBytesPerSecond bound the probes that a node sends on demand
	// at each choice, and those that it responds to.
	probesPerSecond     = 1000
	probeBytesPerSecond = 100 * probesPerSecond
)

// assembleControlPlane creates the parts that follow the fleet and its configuration.
func (n *Node) assembleControlPlane(base zerolog.Logger) error {
	member, err := newFleetMember(fleetMemberConfig{
		instance:         n.instanceSpec(),
		seeds:            n.settings.Seeds(),
		catchUpBytes:     retainer.BytesFor(n.settings.MemoryMB()),
		onView:           n.setView,
		onEvacuation:     n.setEvacuation,
		controlAddresses: n.controlAddresses,
		compile:          n.compile,
		publish:          n.publish,
		runsTrial:        n.runsTrial,
	}, base, n.metrics.Scope())
	if err != nil {
		return fmt.Errorf("join the fleet: %w", err)
	}
	n.fleetMember = member
	n.announcer = announcer.New(announcer.Config{Announce: n.gossiper.Announce, ColdStart: n.coldStart})
	return nil
}

// assembleDataPlane creates the parts on the path of a request.
func (n *Node) assembleDataPlane(base zerolog.Logger) error {
	s := n.settings
	spec := compiler.DefaultServiceSpec(s.Service())
	n.meter = accountant.NewMeter(n.gossiper.Self(), time.Now())
	n.assembleGauger(base)
	n.assembleAdmitter(base, spec)
	n.onEvacuationEnded = n.DoubtUpstream
	n.assembleLoadReporting(base)
	n.assembleEnroller(base)
	n.assembleDepartures(base, n.courier)
	n.assembleWatchers()
	n.assembleServer(base, n.upstreamRequester(orDefault(s.Connections(), spec.Connections)))
	n.deduplicator = deduplicator.New(deduplicator.Config{
		Instance:         s.Instance(),
		StartIncarnation: n.gossiper.Self().Incarnation(),
		Client:           deduplicator.NewClient(n.client),
		MaxKeys:          maxKeys,
		MaxBytes:         maxKeptResponseBytes,
		MaxKeyBytes:      maxKeyBytes,
	})
	instancePicker, err := n.newPicker()
	if err != nil {
		return fmt.Errorf("create the picker: %w", err)
	}
	n.assembleQuota(base, n.courier, timekeeper.Now)
	n.assembleForwarder(base, instancePicker, newRequester(maxConnectionsPerNode))
	return nil
}

// newPicker returns the picker of the policy in the settings.
func (n *Node) newPicker() (*picker.Picker, error) {
	return picker.New(picker.Config{
		Pool:          n.samplePool,
		Self:          n.settings.Instance(),
		Region:        n.settings.Region(),
		FailureDomain: n.settings.FailureDomain(),
		Policy:        string(n.settings.Policy()),
		Refresher:     n.prober,
	})
}

// assembleForwarder creates the forwarder, which sends requests to other nodes by the given
// requester.
func (n *Node) assembleForwarder(base zerolog.Logger, instancePicker *picker.Picker, nodes forwarder.Requester) {
	s := n.settings
	n.forwarder = forwarder.New(forwarder.Config{
		Instance:          s.Instance(),
		Snapshots:         n.snapshots,
		Picker:            pickerAdapter{instancePicker, n.observeOwnLoad, s.FailureDomain()},
		Observer:          loadObserver{n.samplePool, n.gossiper.ReportUnreachable},
		Requester:         nodes,
		Local:             n.server,
		Keys:              n.deduplicator,
		Notices:           n.noticeBoard,
		Quarantine:        n.quarantiner,
		Quota:             n.quotaKeeper,
		Link:              n.linkPacer,
		Headers:           n.dialect.Headers,
		MaxUnsentAttempts: n.unsentAttemptLimit(),
		Explainer:         n.explainer,
		Scope:             n.metrics.Scope().SubScope("forwarder"),
		Log:               logger.Part(base, "forwarder"),
	})
}

// assembleServer creates the server, which sends requests to the upstream by the given
// requester.
func (n *Node) assembleServer(base zerolog.Logger, upstream server.Requester) {
	s := n.settings
	n.server = server.New(server.Config{
		Instance: s.Instance(),
		Service:  s.Service(),
		Upstream: s.UpstreamAddress(),
		Requester: observingRequester{
			Requester:   upstream,
			watcher:     n.watcher,
			gauger:      n.gauger,
			enroller:    n.enroller,
			rateLimiter: n.rateLimiter,
			coldLimiter: n.coldLimiter,
		},
		UpstreamTracker: n.upstreamTracker(),
		Notices:         upstreamNotices{n.enroller, n.rateLimiter, logger.Part(base, "server")},
		Admitter:        admitterAdapter{n.admitter, n.recordCapacityRefusal},
		Link:            n.linkPacer,
		CrashWatcher:    n.newCrashWatcher(base),
		Quarantine:      n.quarantiner,
		Snapshots:       n.snapshots,
		Evacuated:       n.upstreamEvacuated,
		Scope:           n.metrics.Scope().SubScope("server"),
		Log:             logger.Part(base, "server"),
	})
}

// assembleAdmitter creates the parts that limit the concurrent requests to the upstream,
// their rate, and large responses on the link.
func (n *Node) assembleAdmitter(base zerolog.Logger, spec compiler.ServiceSpec) {
	s := n.settings
	n.rateLimiter = ratelimiter.New(ratelimiter.Config{
		Scope: n.metrics.Scope().SubScope("server"),
		Log:   logger.Part(base, "ratelimiter"),
	})
	n.coldLimiter = n.newColdLimiter(base)
	n.linkPacer = pacer.New(s.LinkBytesPerSecond())
	n.admitter = admitter.New(admitter.Config{
		Slots:               orDefault(s.Slots(), spec.Slots),
		Connections:         orDefault(s.Connections(), spec.Connections),
		QueueLength:         spec.QueueLength,
		ColdStart:           spec.ColdStart,
		Overload:            spec.Overload,
		LimitIgnoresLatency: s.UpstreamHeartbeats(),
		Slowdown:            n.slowdown,
		LinkWait:            n.linkPacer.EstimatedWait,
		RateLimiter:         n.rateLimiter,
		ColdLimiter:         n.coldLimiter,
		Observer:            n.meter,
	})
}

// unsentAttemptLimit returns how many attempts of one request may fail before they reach
// an upstream, in addition to the attempts that the service allows.
func (n *Node) unsentAttemptLimit() int {
	if n.settings.Policy() == configurer.PolicyLeastExpectedFinish {
		return maxUnsentAttempts
	}
	return 0
}

// assembleGauger creates the gauger, which measures the slowness of the upstream, if the
// upstream reports its load. An upstream that sends heartbeats does so.
func (n *Node) assembleGauger(base zerolog.Logger) {
	if !n.settings.UpstreamHeartbeats() {
		return
	}
	reader := n.dialectRequester(requester.New(requester.Config{
		Dialer:          &net.Dialer{},
		MaxConnsPerHost: maxHealthConnections,
		EchoHeader:      n.dialect.EchoHeader,
	}))
	n.gauger = gauger.New(gauger.Config{
		Read:          func(ctx context.Context) (bool, gauger.Report, error) { return n.readHealth(ctx, reader) },
		Busy:          n.upstreamInUse,
		OnHealth:      func(healthy bool) { n.admitter.ObserveHealth(healthy) },
		OnSpeedChange: func() { n.admitter.SlowdownChanged() },
		Log:           logger.Part(base, "gauger"),
		Scope:         n.metrics.Scope().SubScope("gauger"),
	})
}

// upstreamRequester returns the requester for the node's own upstream.
func (n *Node) upstreamRequester(connections int) server.Requester {
	return n.dialectRequester(requester.New(requester.Config{
		Dialer:              &net.Dialer{},
		MaxConnsPerHost:     usableConnections(connections),
		EchoHeader:          n.dialect.EchoHeader,
		AllowCloseDelimited: n.dialect.UnframedResponses,
	}))
}

// dialectRequester returns r, wrapped by the platform's dialect if that has a wrapper.
func (n *Node) dialectRequester(r server.Requester) server.Requester {
	if n.dialect.WrapUpstream == nil {
		return r
	}
	return n.dialect.WrapUpstream(r)
}

// upstreamTracker returns the enroller as an interface, or a nil interface if there is no
// enroller.
func (n *Node) upstreamTracker() server.UpstreamTracker {
	if n.enroller == nil {
		return nil
	}
	return n.enroller
}

// assembleEnroller creates the receiver of the upstream's heartbeats, if it sends any.
// The instance is then unavailable until the upstream is known.
func (n *Node) assembleEnroller(base zerolog.Logger) {
	if !n.settings.UpstreamHeartbeats() {
		return
	}
	n.announcer.SetAvailable(false)
	n.enroller = enroller.New(enroller.Config{
		Service: n.settings.Service(),
		Address: n.settings.UpstreamAddress(),
		OnChange: func(c enroller.Change) {
			if c.Replaced {
				n.gauger.Reset()
				n.rateLimiter.Reset()
				n.coldLimiter.Replace()
			}
			n.upstreamColdStart.Store(int64(c.ColdRemaining))
			if c.Slots > 0 {
				n.upstreamSlots.Store(int64(c.Slots))
				n.updateUpstreamSize()
			}
			n.announcer.SetAvailable(c.Available)
		},
		OnHeartbeat: func(h enroller.Heartbeat) { n.coldLimiter.ObserveHeartbeat(h.ColdRemaining) },
		OnDeparture: n.noteDeparture,
		Scope:       n.metrics.Scope().SubScope("enroller"),
		Log:         logger.Part(base, "enroller"),
	})
}

// assembleWatchers creates the parts that check the upstream if it sends no heartbeats.
func (n *Node) assembleWatchers() {
	n.watcher = watcher.New(watcher.Config{
		Upstream: n.settings.UpstreamAddress(),
		Dialer:   &net.Dialer{},
		OnChange: n.observeAvailability,
	})
	n.healthReader = watcher.NewHealthReader(watcher.HealthConfig{
		Upstream:  n.settings.UpstreamAddress(),
		Path:      n.healthPath,
		Transport: watcher.NewHealthTransport(),
		Reserve:   n.reserveHealthRead,
		OnHealth:  n.admitter.ObserveHealth,
		Scope:     n.metrics.Scope().SubScope("watcher"),
	})
}

// assembleLoadReporting creates the parts that report usage to control instances and
// exchange load probes with other nodes.
func (n *Node) assembleLoadReporting(base zerolog.Logger) {
	n.reporter = accountant.NewReporter(accountant.ReporterConfig{
		Meter:            n.meter,
		Self:             n.gossiper.Self,
		InForce:          n.distributor.InForce,
		ControlAddresses: n.controlAddresses,
		Sender:           accountant.NewSender(n.client),
		Logger:           base,
		Scope:            n.metrics.Scope().SubScope("accountant"),
		Random:           newRandom(),
	})
	n.prober = prober.New(n.proberConfig(base))
	n.courier.Handle(courier.KindProbe, n.respondToProbe)
	n.courier.Handle(courier.KindProbeResponse, func(from netip.AddrPort, payload []byte) {
		n.prober.HandleResponse(from, payload, time.Now())
	})
}

func (n *Node) proberConfig(base zerolog.Logger) prober.Config {
	cfg := prober.Config{
		Pool:      n.samplePool,
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

// instanceSpec returns the instance as it is first announced to the fleet.
func (n *Node) instanceSpec() registrar.Spec {
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
	return requester.New(requester.Config{Dialer: &net.Dialer{}, MaxConnsPerHost: usableConnections(connections)})
}

// usableConnections returns how many of an upstream's connections this node may open.
func usableConnections(connections int) int {
	return max(connections-connections/connectionHeadroomDivisor, 1)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
