package launcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/accountant"
	"github.com/banyanscale/banyanscale/internal/process/announcer"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/process/exporter"
	"github.com/banyanscale/banyanscale/internal/process/gauger"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/pacer"
	"github.com/banyanscale/banyanscale/internal/process/prober"
	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/process/watcher"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// lameDuck is how long a leaving node goes on taking work while the
	// others learn that it leaves.
	lameDuck = 3 * time.Second
	// unreadyTime is how long a node that stops within a grace serves on as
	// before, until the platform has seen twice that it is not ready.
	unreadyTime = 2200 * time.Millisecond
	// leaveNotice is how long it then goes on taking work from others while they
	// learn that it leaves.
	leaveNotice = 400 * time.Millisecond
	// handOverTimeout bounds how long the keys are handed over on a planned stop.
	handOverTimeout = 10 * time.Second
	// goodbyeTime is the end of the grace of a planned stop in which a node
	// tells the others that it left, and closes.
	goodbyeTime = 700 * time.Millisecond
	// shutdownMargin is how long after the longest possible deadline a caller
	// that does not read its answer is waited for.
	shutdownMargin = 5 * time.Second
)

// Node is the process beside one upstream.
type Node struct {
	fleet

	settings  *configurer.Node
	log       zerolog.Logger
	metrics   *exporter.Exporter
	snapshots *publisher.Publisher
	pool      *sampler.Pool
	admitter  *admitter.Admitter
	server    *server.Server
	forwarder *forwarder.Forwarder
	explainer *explainer.Explainer
	keyer     *keyer.Keyer
	watcher   *watcher.Watcher
	enroller  *enroller.Enroller // Nil if the upstream sends no heartbeats.
	gauger    *gauger.Gauger     // Nil like enroller.
	link      *pacer.Pacer
	dialect   Dialect
	coldFor   atomic.Int64 // Nanoseconds for which the upstream is slow, as it said at its start.
	health    *watcher.HealthReader
	meter     *accountant.Meter
	reporter  *accountant.Reporter
	prober    *prober.Prober
	announcer *announcer.Announcer
	slots     atomic.Int64 // Of the upstream, as it said; 0 if it did not.
	askedAt   atomic.Int64 // When somebody last asked for the own load, in nanoseconds since the epoch.
	noOverlay atomic.Bool  // It was logged that no overlay names the site.
	leaving   atomic.Bool
	tomb      tomb.Tomb
}

// NewNode assembles a node from its settings. It binds the peer address.
func NewNode(settings *configurer.Node, logs io.Writer) (*Node, error) {
	return NewNodeWith(settings, logs, Dialect{})
}

// NewNodeWith does what NewNode does, for a platform with a dialect of its own.
func NewNodeWith(settings *configurer.Node, logs io.Writer, dialect Dialect) (*Node, error) {
	base := logger.New(logs).Level(settings.LogLevel())
	n := &Node{
		settings:  settings,
		dialect:   dialect,
		log:       logger.Part(base, "node"),
		metrics:   exporter.New("node"),
		snapshots: publisher.New(),
		pool:      sampler.New(sampler.Config{}),
		explainer: explainer.New(rememberedRequests),
	}
	if err := n.assembleControl(base); err != nil {
		return nil, fmt.Errorf("assemble control: %w", err)
	}
	if err := n.assemblePath(base); err != nil {
		return nil, fmt.Errorf("assemble the path of requests: %w", err)
	}
	return n, nil
}

// Run takes requests until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	peer, err := listen(ctx, n.settings.PeerAddress(), n.peerHandler())
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	requests, err := listen(ctx, n.settings.HTTPAddress(), http.HandlerFunc(n.serveRequest))
	if err != nil {
		return fmt.Errorf("http address: %w", err)
	}
	fronts, err := n.openFronts(ctx)
	if err != nil {
		return err
	}
	n.start()
	n.tomb.Go(peer.serve)
	n.tomb.Go(requests.serve)
	for _, f := range fronts {
		n.tomb.Go(f.listener.serve)
	}
	if n.enroller == nil {
		n.watcher.Start()
		n.health.Start()
	} else {
		n.gauger.Start()
		n.tomb.Go(n.identifyUpstream)
	}
	n.reporter.Start()
	n.tomb.Go(func() error { return n.prober.Run(n.tomb.Dying()) })
	n.log.Info().Stringer("http", n.settings.HTTPAddress()).Stringer("peer", n.settings.PeerAddress()).Msg("Started.")
	select {
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	return n.stop(requests, peer, fronts)
}

// stop ends the node. It cuts off no request in flight, unless the platform's
// grace for a planned stop ends first.
func (n *Node) stop(requests, peer *listener, fronts []openFront) error {
	n.log.Info().Msg("Leaving.")
	ctx, cancel := n.stopContext()
	defer cancel()
	n.leaving.Store(true)
	if n.settings.StopGrace() > 0 {
		time.Sleep(unreadyTime) // The upstream is of use as long as the node can go on.
		n.announcer.Leave()
		time.Sleep(leaveNotice)
	} else {
		n.announcer.Leave()
		time.Sleep(lameDuck)
	}
	n.server.Leave()
	if err := n.server.Drain(ctx); err != nil && n.settings.StopGrace() == 0 {
		return fmt.Errorf("drain: %w", err)
	} else if err != nil {
		n.log.Warn().Err(err).Msg("Requests still run at the end of the grace.")
	}
	n.finishRequests(ctx, requests, fronts)
	n.handOverKeys(ctx)
	n.gossiper.Leave()
	n.tomb.Kill(nil)
	stops := []func() error{n.reporter.Stop, n.distributor.Stop, n.gossiper.Stop, peer.close, n.courier.Stop}
	for _, f := range fronts {
		stops = append(stops, f.listener.close)
	}
	if n.enroller == nil {
		stops = append(stops, n.watcher.Stop, n.health.Stop)
	} else {
		stops = append(stops, n.gauger.Stop)
	}
	if err := firstError(append(stops, n.tomb.Wait, n.metrics.Close)...); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	n.log.Info().Msg("Stopped.")
	return nil
}

// stopContext returns a context that ends while there still is time to say
// goodbye within the platform's grace. Without a grace it never ends.
func (n *Node) stopContext() (context.Context, context.CancelFunc) {
	if n.settings.StopGrace() == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), n.settings.StopGrace()-goodbyeTime)
}

// finishRequests waits for the callers' requests. All end by their deadlines,
// but a caller may never read its answer.
func (n *Node) finishRequests(ctx context.Context, requests *listener, fronts []openFront) {
	ctx, cancel := context.WithTimeout(ctx, n.longestTimeout()+shutdownMargin)
	defer cancel()
	listeners := []*listener{requests}
	for _, f := range fronts {
		if f.callers {
			listeners = append(listeners, f.listener)
		}
	}
	for _, l := range listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			n.log.Warn().Err(err).Msg("A caller did not read its answer to the end.")
		}
	}
}

// handOverKeys gives the idempotency keys to their next homes. Keys that could
// not be handed over are answered with "unknown" there.
func (n *Node) handOverKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	instances := n.snapshots.Snapshot().View().Service(n.settings.Service())
	if err := n.keyer.HandOver(ctx, instances, n.keyRetention()); err != nil {
		n.log.Warn().Err(err).Msg("Idempotency keys could not be handed over.")
	}
}

// serveRequest tells requests of other nodes from those of callers.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(classifier.HeaderHop) == "" {
		n.ServeCaller(w, r)
		return
	}
	n.closeIfLeaving(w)
	n.server.ServeHTTP(w, r)
}

// ServeCaller answers a request of a caller.
func (n *Node) ServeCaller(w http.ResponseWriter, r *http.Request) {
	n.closeIfLeaving(w)
	n.forwarder.ServeHTTP(w, r)
}

// closeIfLeaving ends the connection with the answer if the node leaves.
func (n *Node) closeIfLeaving(w http.ResponseWriter) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Ready reports whether callers are to send new work here.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.snapshots.Snapshot().Configuration() != nil
}

// Enroller returns what takes the heartbeats of the upstream, or nil if it is
// watched instead.
func (n *Node) Enroller() *enroller.Enroller { return n.enroller }

// Reload takes over settings that were changed while the node runs: the seeds.
// The others hold from the next start on.
func (n *Node) Reload(settings *configurer.Node) {
	n.gossiper.SetSeeds(settings.Seeds())
}

// peerHandler serves what other processes and operators ask.
func (n *Node) peerHandler() http.Handler {
	mux := goji.NewMux()
	handle(mux, n.distributor.Handler)
	handle(mux, n.gossiper.Handler)
	mux.Handle(pat.New(keyer.PathPrefix+"*"), n.keyer.Handler(n.keyRetention))
	mux.Handle(pat.Get("/metrics"), n.metrics.Handler())
	mux.HandleFunc(pat.Get("/explain/:id"), n.serveExplain)
	mux.HandleFunc(pat.Get("/status"), n.serveStatus)
	return mux
}
