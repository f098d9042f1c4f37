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
	"github.com/banyanscale/banyanscale/internal/process/exporter"
	"github.com/banyanscale/banyanscale/internal/process/logger"
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
	// handOverTimeout bounds how long the keys are handed over on a planned stop.
	handOverTimeout = 10 * time.Second
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
	meter     *accountant.Meter
	reporter  *accountant.Reporter
	prober    *prober.Prober
	announcer *announcer.Announcer
	leaving   atomic.Bool
	tomb      tomb.Tomb
}

// NewNode assembles a node from its settings. It binds the peer address.
func NewNode(settings *configurer.Node, logs io.Writer) (*Node, error) {
	base := logger.New(logs).Level(settings.LogLevel())
	n := &Node{
		settings:  settings,
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
	n.start()
	n.tomb.Go(peer.serve)
	n.tomb.Go(requests.serve)
	n.watcher.Start()
	n.reporter.Start()
	n.tomb.Go(func() error { return n.prober.Run(n.tomb.Dying()) })
	n.log.Info().Stringer("http", n.settings.HTTPAddress()).Stringer("peer", n.settings.PeerAddress()).Msg("Started.")
	select {
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	return n.stop(requests, peer)
}

// stop ends the node. It cuts off no request in flight.
func (n *Node) stop(requests, peer *listener) error {
	n.log.Info().Msg("Leaving.")
	n.leaving.Store(true)
	n.announcer.Leave()
	time.Sleep(lameDuck)
	n.server.Leave()
	if err := n.server.Drain(context.Background()); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	n.finishRequests(requests)
	n.handOverKeys()
	n.gossiper.Leave()
	n.tomb.Kill(nil)
	if err := firstError(n.reporter.Stop, n.watcher.Stop, n.distributor.Stop, n.gossiper.Stop, peer.close, n.courier.Stop, n.tomb.Wait, n.metrics.Close); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	n.log.Info().Msg("Stopped.")
	return nil
}

// finishRequests waits for the callers' requests. All end by their deadlines,
// but a caller may never read its answer.
func (n *Node) finishRequests(requests *listener) {
	ctx, cancel := context.WithTimeout(context.Background(), n.longestTimeout()+shutdownMargin)
	defer cancel()
	if err := requests.server.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("A caller did not read its answer to the end.")
	}
}

// handOverKeys gives the idempotency keys to their next homes. Keys that could
// not be handed over are answered with "unknown" there.
func (n *Node) handOverKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	instances := n.snapshots.Snapshot().View().Service(n.settings.Service())
	if err := n.keyer.HandOver(ctx, instances, n.keyRetention()); err != nil {
		n.log.Warn().Err(err).Msg("Idempotency keys could not be handed over.")
	}
}

// serveRequest tells requests of other nodes from those of callers.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get(classifier.HeaderHop) != "" {
		n.server.ServeHTTP(w, r)
		return
	}
	n.forwarder.ServeHTTP(w, r)
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
