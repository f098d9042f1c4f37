package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/accounting/accountant"
	"github.com/banyanscale/banyanscale/internal/connection/limiter"
	"github.com/banyanscale/banyanscale/internal/connection/pacer"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/departurekeeper"
	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/quotakeeper"
	"github.com/banyanscale/banyanscale/internal/measurement/gauger"
	"github.com/banyanscale/banyanscale/internal/measurement/prober"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/measurement/watcher"
	"github.com/banyanscale/banyanscale/internal/process/announcer"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/coldlimiter"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/noticer"
	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/internal/telemetry/exporter"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// lameDuckPeriod is how long a leaving node without a stop grace keeps accepting
	// requests while the announcement that it is leaving spreads.
	lameDuckPeriod = 3 * time.Second
	// unreadyPeriod is how long a node with a stop grace keeps serving as before, until
	// the platform has seen twice that it is not ready.
	unreadyPeriod = 2200 * time.Millisecond
	// leavePropagationPeriod is how long a node with a stop grace then keeps accepting
	// requests of other nodes while the announcement that it is leaving spreads.
	leavePropagationPeriod = 400 * time.Millisecond
	// keyHandOverTimeout bounds the handover of idempotency keys at a planned stop.
	keyHandOverTimeout = 10 * time.Second
	// drainReserve is the end of the stop grace by which the wait for requests to the own
	// upstream ends, so that the listeners for callers can be closed before closeReserve.
	drainReserve = 800 * time.Millisecond
	// closeReserve is the end of the stop grace, reserved for refusing callers' requests that
	// have no response yet, for the idempotency keys, for announcing that the node left and for
	// closing.
	closeReserve = 700 * time.Millisecond
	// handOverReserve is the end of the stop grace by which the keys are handed over.
	handOverReserve = 350 * time.Millisecond
	// refusalTimeout bounds the wait for the refusals of interrupted requests to be written.
	refusalTimeout = 150 * time.Millisecond
	// exitReserve is the end of the stop grace by which everything is closed.
	exitReserve = 200 * time.Millisecond
	// callerReadMargin is how long after the longest possible deadline a stopping node
	// waits for callers that do not read their responses.
	callerReadMargin = 5 * time.Second
)

// Node is the sidecar process of one upstream.
type Node struct {
	fleetMember

	settings             *configurer.Node
	log                  zerolog.Logger
	metrics              *exporter.Exporter
	snapshots            *publisher.Publisher
	samplePool           *sampler.Pool
	admitter             *admitter.Admitter
	rateLimiter          *ratelimiter.Limiter
	coldLimiter          *coldlimiter.Limiter
	noticeBoard          *noticer.Board
	server               *server.Server
	forwarder            *forwarder.Forwarder
	explainer            *explainer.Explainer
	deduplicator         *deduplicator.Deduplicator
	quotaKeeper          *quotakeeper.Keeper
	watcher              *watcher.Watcher
	enroller             *enroller.Enroller      // Nil if the upstream sends no heartbeats.
	departures           *departurekeeper.Keeper // Nil if the upstream sends no heartbeats.
	gauger               *gauger.Gauger          // Nil if the upstream sends no heartbeats.
	linkPacer            *pacer.Pacer
	upstreamDialer       requester.Dialer // Checks whether the upstream has ended.
	dialect              Dialect
	upstreamColdStart    atomic.Int64 // Remaining cold start at the upstream's last change, in nanoseconds.
	healthReader         *watcher.HealthReader
	meter                *accountant.Meter
	reporter             *accountant.Reporter
	prober               *prober.Prober
	announcer            *announcer.Announcer
	upstreamSlots        atomic.Int64 // Slots by the heartbeats; 0 if none named any.
	loadRequestedAt      atomic.Int64 // Last request for the own load, in nanoseconds since the Unix epoch.
	compiler             *compiler.Compiler
	missingOverlayLogged atomic.Bool // Whether the missing overlay of the site was logged.
	evacuation           evacuationState
	// onEvacuationEnded is called when the evacuation of the own failure domain has ended; the
	// upstream may be cold then. It may be nil.
	onEvacuationEnded func()
	leaving           atomic.Bool
	tomb              tomb.Tomb
}

// NewNode assembles a node from its settings. It binds the UDP socket of the peer address.
func NewNode(settings *configurer.Node, logs io.Writer) (*Node, error) {
	return NewNodeWithDialect(settings, logs, Dialect{})
}

// NewNodeWithDialect is like NewNode, for a platform with its own dialect.
func NewNodeWithDialect(settings *configurer.Node, logs io.Writer, dialect Dialect) (*Node, error) {
	base := logger.New(logs).Level(settings.LogLevel())
	n := &Node{
		settings:   settings,
		dialect:    dialect,
		log:        logger.Part(base, "node"),
		metrics:    exporter.New("node"),
		snapshots:  publisher.New(),
		samplePool: sampler.New(sampler.Config{}),
		explainer:  explainer.New(maxExplainedRequests),
		compiler:   compiler.NewCompiler(settings.Site()),

		noticeBoard:    noticer.NewBoard(),
		upstreamDialer: &net.Dialer{},
	}
	if err := n.assembleControlPlane(base); err != nil {
		return nil, fmt.Errorf("assemble the control plane: %w", err)
	}
	if err := n.assembleDataPlane(base); err != nil {
		return nil, fmt.Errorf("assemble the data plane: %w", err)
	}
	return n, nil
}

// Run serves requests until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	platformSpecs := n.platformListenerSpecs()
	clients := newClientLimits(n.settings.MemoryMB(), n.settings.MaxDescriptors(), n.metrics.Scope(), n.clientKinds(platformSpecs)...)
	peerListener, err := listen(ctx, n.settings.PeerAddress(), clients.boundBodies(n.peerHandler()), clients.limiter(peerClients, limiter.DefaultLimits))
	if err != nil {
		return fmt.Errorf("bind the peer address: %w", err)
	}
	httpListener, err := listen(ctx, n.settings.HTTPAddress(), http.HandlerFunc(n.serveRequest), clients.limiter(requestClients, n.hopHeadLimits))
	if err != nil {
		return fmt.Errorf("bind the HTTP address: %w", err)
	}
	platformListeners, err := n.bindPlatformListeners(ctx, platformSpecs, clients)
	if err != nil {
		return err
	}
	n.start()
	n.recallDeparture()
	n.tomb.Go(peerListener.serve)
	n.tomb.Go(httpListener.serve)
	for _, l := range platformListeners {
		n.tomb.Go(l.listener.serve)
	}
	if n.enroller == nil {
		n.watcher.Start()
		n.healthReader.Start()
	} else {
		n.gauger.Start()
		n.tomb.Go(n.identifyUpstream)
		n.tomb.Go(n.readColdStart)
	}
	n.reporter.Start()
	n.quotaKeeper.Start()
	n.tomb.Go(func() error { return n.prober.Run(n.tomb.Dying()) })
	n.log.Info().Stringer("http", n.settings.HTTPAddress()).Stringer("peer", n.settings.PeerAddress()).Msg("Started.")
	select {
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	return n.stop(httpListener, peerListener, platformListeners)
}

// stop performs a planned stop. It cuts off no request in flight, unless the stop grace
// ends first. Then callers whose requests have no response yet get a refusal.
func (n *Node) stop(httpListener, peerListener *listener, platformListeners []platformListener) error {
	n.log.Info().Msg("Leaving.")
	ctx, cancel := n.stopContext(closeReserve)
	defer cancel()
	drainCtx, cancelDrain := n.stopContext(drainReserve)
	defer cancelDrain()
	handOverCtx, cancelHandOver := n.stopContext(handOverReserve)
	defer cancelHandOver()
	closeCtx, cancelClose := n.stopContext(exitReserve)
	defer cancelClose()
	n.leaving.Store(true)
	if end, bounded := ctx.Deadline(); bounded {
		n.forwarder.EndAt(end)
	}
	if n.settings.StopGrace() > 0 {
		time.Sleep(unreadyPeriod) // Not announced yet: the upstream can still serve.
		n.announcer.Leave()
		time.Sleep(leavePropagationPeriod)
	} else {
		n.announcer.Leave()
		time.Sleep(lameDuckPeriod)
	}
	n.server.Leave()
	if end, bounded := ctx.Deadline(); bounded {
		n.forwarder.ServeUntil(end)
	}
	if err := n.server.Drain(drainCtx); err != nil && n.settings.StopGrace() == 0 {
		return fmt.Errorf("drain: %w", err)
	} else if err != nil {
		n.log.Warn().Err(err).Msg("Requests are still in flight at the end of the stop grace.")
		n.server.ReportOpen()
	}
	callers := callerListeners(httpListener, platformListeners)
	n.shutDownCallerListeners(ctx, callers)
	n.handOverKeys(handOverCtx)
	n.gossiper.Leave(closeCtx)
	n.closeCallerListeners(closeCtx, callers)
	n.tomb.Kill(nil)
	stopFuncs := []func() error{
		n.reporter.Stop, n.quotaKeeper.Stop, n.distributor.Stop, n.disseminator.Stop, n.gossiper.Stop,
		peerListener.closer(closeCtx), n.courier.Stop,
	}
	for _, l := range platformListeners {
		if !l.servesCallers {
			stopFuncs = append(stopFuncs, l.listener.closer(closeCtx))
		}
	}
	if n.enroller == nil {
		stopFuncs = append(stopFuncs, n.watcher.Stop, n.healthReader.Stop)
	} else {
		stopFuncs = append(stopFuncs, n.gauger.Stop, n.departures.Stop)
	}
	if err := firstError(append(stopFuncs, n.tomb.Wait, n.metrics.Close)...); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	n.log.Info().Msg("Stopped.")
	return nil
}

// stopContext returns a context that ends the given time before the stop grace does.
// Without a stop grace it never ends.
func (n *Node) stopContext(reserve time.Duration) (context.Context, context.CancelFunc) {
	if n.settings.StopGrace() == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), n.settings.StopGrace()-reserve)
}

// handOverKeys sends the idempotency keys to their next home instances. There, requests
// with a key that could not be handed over end with the outcome "unknown".
func (n *Node) handOverKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keyHandOverTimeout)
	defer cancel()
	instances := n.snapshots.Snapshot().View().Service(n.settings.Service())
	if err := n.deduplicator.HandOver(ctx, instances, n.keyRetention()); err != nil {
		n.log.Warn().Err(err).Msg("Failed to hand over idempotency keys.")
	}
}

// serveRequest passes requests of other nodes to the server and those of callers to the
// forwarder.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(classifier.HeaderHop) == "" {
		n.ServeCaller(w, r)
		return
	}
	n.closeIfLeaving(w)
	n.server.ServeHTTP(w, r)
}

// ServeCaller serves a request of a caller.
func (n *Node) ServeCaller(w http.ResponseWriter, r *http.Request) {
	n.closeIfLeaving(w)
	n.forwarder.ServeHTTP(w, r)
}

// closeIfLeaving closes the connection after the response if the node is leaving.
func (n *Node) closeIfLeaving(w http.ResponseWriter) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Ready reports whether callers should send new requests to the node.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.snapshots.Snapshot().Configuration() != nil
}

// Enroller returns the receiver of the upstream's heartbeats, or nil if the upstream sends
// none.
func (n *Node) Enroller() *enroller.Enroller { return n.enroller }

// Reload applies changed settings to the running node. Only the seeds take effect; the
// others need a restart.
func (n *Node) Reload(settings *configurer.Node) {
	n.gossiper.SetSeeds(settings.Seeds())
}

// peerHandler returns the handler for other processes and operators.
func (n *Node) peerHandler() http.Handler {
	mux := goji.NewMux()
	mountService(mux, n.distributor.Handler)
	mountService(mux, n.gossiper.Handler)
	mux.Handle(pat.New(deduplicator.PathPrefix+"*"), n.deduplicator.Handler(n.keyRetention))
	mux.Handle(pat.Get("/metrics"), n.metrics.Handler())
	mux.HandleFunc(pat.Get("/explain/:id"), n.serveExplain)
	mux.HandleFunc(pat.Get("/status"), n.serveStatus)
	n.mountQuarantine(mux)
	n.mountQuota(mux)
	return mux
}
