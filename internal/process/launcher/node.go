package launcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/accountant"
	"github.com/banyanscale/banyanscale/internal/process/announcer"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/distributor"
	"github.com/banyanscale/banyanscale/internal/process/exporter"
	"github.com/banyanscale/banyanscale/internal/process/gossiper"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/prober"
	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/process/watcher"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// lameDuck is how long a leaving node goes on taking work while the
	// others learn that it leaves.
	lameDuck = 3 * time.Second
	// rememberedRequests is how many requests the explain command can look up.
	rememberedRequests = 8192
	// maxConnectionsPerNode bounds the connections to one other node.
	maxConnectionsPerNode = 1024
	// maxKeys bounds the remembered idempotency keys.
	maxKeys = 200_000
	// maxKeyBytes bounds the bytes of the answers that are kept for them.
	maxKeyBytes = 48 << 20
	// handOverTimeout bounds how long the keys are handed over on a planned stop.
	handOverTimeout = 10 * time.Second
	// connectionShare is the inverse of the share of an upstream's connections
	// that stays free for others than this node.
	connectionShare = 10
)

// Node is the process beside one upstream.
type Node struct {
	settings    *configurer.Node
	log         zerolog.Logger
	metrics     *exporter.Exporter
	snapshots   *publisher.Publisher
	courier     *courier.Courier
	gossiper    *gossiper.Gossiper
	distributor *distributor.Distributor
	pool        *sampler.Pool
	admitter    *admitter.Admitter
	server      *server.Server
	forwarder   *forwarder.Forwarder
	explainer   *explainer.Explainer
	keyer       *keyer.Keyer
	watcher     *watcher.Watcher
	meter       *accountant.Meter
	reporter    *accountant.Reporter
	prober      *prober.Prober
	announcer   *announcer.Announcer
	leaving     atomic.Bool
	tomb        tomb.Tomb
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
		return nil, err
	}
	if err := n.assemblePath(base); err != nil {
		return nil, err
	}
	return n, nil
}

// assembleControl makes the parts that learn about the fleet and its
// configuration.
func (n *Node) assembleControl(base zerolog.Logger) error {
	c, err := courier.New(courier.Config{
		Address: n.settings.PeerAddress(),
		Logger:  logger.Part(base, "courier"),
		Scope:   n.metrics.Scope().SubScope("courier"),
	})
	if err != nil {
		return fmt.Errorf("bind the peer address: %w", err)
	}
	n.courier = c
	client := newPeerClient()
	n.distributor = distributor.New(distributor.Config{
		Control:  n.controlAddresses,
		Client:   distributor.NewClient(client),
		Compile:  n.compile,
		Digest:   compiler.Digest,
		Diff:     compiler.Diff,
		Apply:    compiler.Apply,
		Publish:  n.publish,
		Announce: func(v *controlwire.VersionDigest) { n.gossiper.SetVersion(v) },
		Logger:   logger.Part(base, "distributor"),
		Scope:    n.metrics.Scope().SubScope("distributor"),
		Random:   newRandom(),
	})
	n.gossiper = gossiper.New(gossiper.Config{
		Instance:  n.instance(),
		Seeds:     n.settings.Seeds(),
		Transport: c,
		Client:    gossiper.NewClient(client),
		OnView:    n.setView,
		OnVersion: n.distributor.Learn,
		Logger:    logger.Part(base, "gossiper"),
		Scope:     n.metrics.Scope().SubScope("gossiper"),
		Random:    newRandom(),
	})
	n.announcer = announcer.New(announcer.Config{Announce: n.gossiper.Announce, ColdStart: n.coldStart})
	return nil
}

// assemblePath makes the parts on the path of a request.
func (n *Node) assemblePath(base zerolog.Logger) error {
	s := n.settings
	spec := compiler.DefaultServiceSpec(s.Service())
	n.meter = accountant.NewMeter(n.gossiper.Self(), time.Now())
	n.admitter = admitter.New(admitter.Config{
		Slots:       orDefault(s.Slots(), spec.Slots),
		Connections: orDefault(s.Connections(), spec.Connections),
		QueueLength: spec.QueueLength,
		ColdStart:   spec.ColdStart,
		Observer:    n.meter,
	})
	n.assembleReports(base)
	n.watcher = watcher.New(watcher.Config{
		Upstream: s.UpstreamAddress(),
		Dialer:   &net.Dialer{},
		OnChange: n.announcer.Available,
	})
	n.server = server.New(server.Config{
		Instance:  s.Instance(),
		Service:   s.Service(),
		Upstream:  s.UpstreamAddress(),
		Requester: watchedRequester{newRequester(orDefault(s.Connections(), spec.Connections)), n.watcher},
		Admitter:  upstreamAdmitter{n.admitter},
		Snapshots: n.snapshots,
		Scope:     n.metrics.Scope().SubScope("server"),
	})
	n.keyer = keyer.New(keyer.Config{
		Instance: s.Instance(),
		Started:  n.gossiper.Self().Incarnation(),
		Client:   keyer.NewClient(newPeerClient()),
		MaxKeys:  maxKeys,
		MaxBytes: maxKeyBytes,
	})
	choice, err := picker.New(picker.Config{
		Pool:          n.pool,
		Self:          s.Instance(),
		Region:        s.Region(),
		FailureDomain: s.FailureDomain(),
		Policy:        string(s.Policy()),
	})
	if err != nil {
		return fmt.Errorf("make the picker: %w", err)
	}
	n.forwarder = forwarder.New(forwarder.Config{
		Instance:  s.Instance(),
		Snapshots: n.snapshots,
		Picker:    choicePicker{choice, n.observeOwn},
		Observer:  loadObserver{n.pool, n.gossiper.ReportUnreachable},
		Requester: newRequester(maxConnectionsPerNode),
		Local:     n.server,
		Keys:      n.keyer,
		Explainer: n.explainer,
		Scope:     n.metrics.Scope().SubScope("forwarder"),
		Log:       logger.Part(base, "forwarder"),
	})
	return nil
}

// assembleReports makes the parts that measure and report load.
func (n *Node) assembleReports(base zerolog.Logger) {
	n.reporter = accountant.NewReporter(accountant.ReporterConfig{
		Meter:   n.meter,
		Self:    n.gossiper.Self,
		InForce: n.distributor.InForce,
		Control: n.controlAddresses,
		Sender:  accountant.NewSender(newPeerClient()),
		Logger:  logger.Part(base, "accountant"),
		Scope:   n.metrics.Scope().SubScope("accountant"),
		Random:  newRandom(),
	})
	n.prober = prober.New(prober.Config{
		Pool:        n.pool,
		Source:      n.snapshots,
		Transport:   probeTransport{n.courier},
		Self:        n.settings.Instance(),
		Incarnation: n.gossiper.Self().Incarnation(),
		Own:         n.admitter,
		Scope:       n.metrics.Scope().SubScope("prober"),
		Log:         logger.Part(base, "prober"),
	})
	n.courier.Handle(courier.KindProbe, n.answerProbe)
	n.courier.Handle(courier.KindProbeAnswer, func(from netip.AddrPort, payload []byte) {
		n.prober.HandleAnswer(from, payload, time.Now())
	})
}

// answerProbe tells another node the load of this one's upstream. An answer
// that cannot be sent is like one that is lost.
func (n *Node) answerProbe(from netip.AddrPort, payload []byte) {
	if answer := n.prober.HandleProbe(from, payload); answer != nil {
		_ = n.courier.Send(courier.KindProbeAnswer, from, answer)
	}
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
	n.courier.Start()
	n.gossiper.Start()
	n.distributor.Start()
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
	if err := requests.server.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("finish callers' requests: %w", err)
	}
	n.handOverKeys()
	n.gossiper.Leave()
	n.tomb.Kill(nil)
	if err := firstError(n.reporter.Stop, n.watcher.Stop, n.distributor.Stop, n.gossiper.Stop, peer.close, n.courier.Stop, n.tomb.Wait, n.metrics.Close); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	n.log.Info().Msg("Stopped.")
	return nil
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

// keyRetention returns how long idempotency keys are remembered.
func (n *Node) keyRetention() time.Duration {
	if s := n.service(); s != nil {
		return s.Spec().KeyRetention
	}
	return compiler.DefaultServiceSpec(n.settings.Service()).KeyRetention
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

// service returns the configuration of the node's own service, or nil.
func (n *Node) service() *compiler.Service {
	cfg := n.snapshots.Snapshot().Configuration()
	if cfg == nil {
		return nil
	}
	return cfg.Service(n.settings.Service())
}

func (n *Node) coldStart() time.Duration {
	if s := n.service(); s != nil {
		return s.Spec().ColdStart
	}
	return 0
}

func (n *Node) compile(doc *controlwire.Document, number uint64) (*compiler.Configuration, error) {
	return compiler.Compile(doc, n.settings.Site(), number)
}

// publish puts a configuration in force.
func (n *Node) publish(cfg *compiler.Configuration) bool {
	if !n.snapshots.SetConfiguration(cfg) {
		return false
	}
	if s := cfg.Service(n.settings.Service()); s != nil {
		n.announcer.Configured()
		spec := s.Spec()
		slots, connections := orDefault(n.settings.Slots(), spec.Slots), orDefault(n.settings.Connections(), spec.Connections)
		n.admitter.Update(slots, connections, spec.QueueLength, spec.ColdStart)
		n.gossiper.Resize(slots, connections)
	}
	return true
}

// observeOwn takes a sample of the own upstream for a choice among its service.
func (n *Node) observeOwn(service string, now time.Time) {
	if service != n.settings.Service() {
		return
	}
	if self := n.snapshots.Snapshot().View().Instance(n.settings.Instance()); self != nil {
		n.pool.Observe(self.ID(), self.Incarnation(), n.admitter.Load(), now)
	}
}

// setView puts a new picture of the fleet in force.
func (n *Node) setView(view *registrar.View) {
	n.keyer.Observe(view.Service(n.settings.Service()), n.keyRetention())
	n.snapshots.SetView(view)
	n.pool.Retain(func(id string) bool { return view.Instance(id) != nil })
}

// controlAddresses returns where control instances are, as set and as announced.
func (n *Node) controlAddresses() []netip.AddrPort {
	return append(controlsIn(n.snapshots.Snapshot().View()), n.settings.ControlAddresses()...)
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
	return requester.New(requester.Config{
		Dialer:     &net.Dialer{},
		MaxPerHost: max(connections-connections/connectionShare, 1),
	})
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

// handle adds a service whose method returns its path and handler.
func handle(mux *goji.Mux, service func() (string, http.Handler)) {
	path, h := service()
	mux.Handle(pat.New(path+"*"), h)
}

// firstError calls all functions and returns the first error.
func firstError(functions ...func() error) error {
	var first error
	for _, f := range functions {
		if err := f(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
