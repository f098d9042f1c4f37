// Package gossiper keeps the membership of the fleet: each process announces
// its instance, probes others, and spreads what it learns, by UDP datagrams of
// at most 1,200 bytes and, for tables that differ, by calls over TCP at the
// same address.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{
//		Instance:  registrar.Spec{ID: "vitrina-1", State: registrar.StateWarming, Peer: addr, ...},
//		Seeds:     seeds,
//		Transport: courier,
//		Client:    gossiper.NewClient(http.DefaultClient),
//		OnView:    publisher.SetView,
//		OnVersion: distributor.ObserveVersion,
//		Logger:    log,
//		Scope:     scope,
//		Random:    rand.New(rand.NewPCG(seed, 0)),
//	})
//	mux.Handle(g.Handler())
//	g.Start()
//	g.Announce(registrar.StateReady)
//	...
//	g.Leave()
//	err := g.Stop()
//
// # Protocol
//
// In each probe period a node pings one member. If no ack comes, it asks
// others to ping that member; if none of them gets an ack, the member is
// suspect, and failed once the suspicion timeout passes without a refutation.
// Pings and acks carry the digest of the sender's table, its configuration
// version and the latest updates; while there are new updates, they are also
// pushed to a few random members. Tables whose digests differ are compared
// bucket by bucket, and only what differs is exchanged.
//
// An instance's own announcements are ordered by incarnation and sequence. Of
// two nodes that disagree whether a member lives, neither is believed: the
// member is pinged, and settles the question by announcing itself anew.
package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// DefaultBytesPerSecond is the hard limit of what membership sends.
	DefaultBytesPerSecond = 6000
	// tickInterval is how often timers are looked at.
	tickInterval = 100 * time.Millisecond
	// viewInterval is the shortest time between two views, and memberViewTime what
	// is added for each member: making a view takes longer where there are many.
	viewInterval   = 100 * time.Millisecond
	memberViewTime = 150 * time.Microsecond
	// leaveTimeout bounds how long Leave spreads the announcement.
	leaveTimeout = time.Second
)

// Transport sends and receives datagrams. A courier.Courier is one.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Config lists what a Gossiper depends on.
type Config struct {
	// Instance is what this process announces. If its incarnation is 0, the
	// start time in milliseconds is taken.
	Instance registrar.Spec
	// Seeds are peer addresses of processes to join through.
	Seeds []netip.AddrPort
	// Transport takes the datagrams.
	Transport Transport
	// Client calls other processes over TCP.
	Client Client
	// OnView takes each new picture of the fleet. It must not block.
	OnView func(*registrar.View)
	// OnVersion takes each version that another process holds and that is
	// newer than the one given to SetVersion. It must not block.
	OnVersion func(from netip.AddrPort, version *controlwire.VersionDigest)
	// BytesPerSecond bounds what is sent; 0 for DefaultBytesPerSecond.
	BytesPerSecond int
	Logger         zerolog.Logger
	Scope          tally.Scope
	Random         *rand.Rand
}

// Gossiper takes part in the membership of the fleet for one process.
type Gossiper struct {
	cfg     Config
	log     zerolog.Logger
	metrics metrics
	tomb    tomb.Tomb

	mu       sync.Mutex // Guards all below.
	self     *member
	table    *table
	queue    *queue
	budget   *budget
	health   health
	version  *controlwire.VersionDigest
	detector detector
	exchange exchangeState
	lastSeen time.Time // When any work was last done, to notice a freeze.
	lastView time.Time
	nextPush time.Time
	nextSeed int  // The place in the configured seeds, which are tried in turn.
	dirty    bool // True if the view is older than the table.
	pushes   int  // How often the version is still pushed to random members.
}

// New returns a gossiper that takes datagrams at once, and sends some once
// Start is called.
func New(cfg Config) *Gossiper {
	now := time.Now()
	if cfg.Instance.Incarnation == 0 {
		cfg.Instance.Incarnation = uint64(now.UnixMilli())
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	cfg.Instance.Sequence = 1
	g := &Gossiper{
		cfg:      cfg,
		log:      logger.Part(cfg.Logger, "gossiper"),
		metrics:  newMetrics(cfg.Scope),
		self:     &member{spec: cfg.Instance, changed: now, heard: now},
		table:    newTable(cfg.Random),
		queue:    newQueue(),
		budget:   newBudget(cfg.BytesPerSecond),
		detector: newDetector(),
		lastSeen: now,
		dirty:    true,
	}
	if len(cfg.Seeds) > 0 {
		g.nextSeed = cfg.Random.IntN(len(cfg.Seeds))
	}
	g.exchange = exchangeState{joining: true, started: now}
	g.table.put(g.self)
	g.queue.push(encodeFull(g.self))
	cfg.Transport.Handle(courier.KindGossip, g.receive)
	return g
}

// Start begins to probe and to spread updates.
func (g *Gossiper) Start() { g.tomb.Go(g.run) }

// Stop ends all work. It announces nothing: see Leave.
func (g *Gossiper) Stop() error {
	g.tomb.Kill(nil)
	if err := g.tomb.Wait(); err != nil {
		return fmt.Errorf("stop gossiper: %w", err)
	}
	return nil
}

// Announce tells the fleet a new state of this instance.
func (g *Gossiper) Announce(state registrar.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.spec.State != state {
		g.announce(func(s *registrar.Spec) { s.State = state })
	}
}

// SetSeeds replaces the peer addresses at which members are looked for.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Seeds = seeds
}

// Resize tells the fleet how many slots and connections the upstream has.
func (g *Gossiper) Resize(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.spec.Slots != slots || g.self.spec.Connections != connections {
		g.announce(func(s *registrar.Spec) { s.Slots, s.Connections = slots, connections })
	}
}

// Leave announces that this instance ended in order, and returns once that
// was sent on, or after a second.
func (g *Gossiper) Leave() {
	g.Announce(registrar.StateLeft)
	deadline := time.NewTimer(leaveTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for g.announcing() {
		select {
		case <-deadline.C:
			return
		case <-ticker.C:
		}
	}
}

func (g *Gossiper) announcing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.rumors[g.self.spec.ID] != nil && g.table.live > 0
}

// Self returns this instance as it is announced now. The incarnation may
// exceed the configured one if the fleet knew a greater one.
func (g *Gossiper) Self() *registrar.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.instance()
}

// SetVersion makes this process a holder of a configuration version, and
// tells random members at once. An older version than the last is ignored.
func (g *Gossiper) SetVersion(version *controlwire.VersionDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version.GetNumber() <= g.version.GetNumber() {
		return
	}
	g.version = version
	g.pushes = versionPushes
	g.push(time.Now())
}

// ReportUnreachable tells that the path of a request could not reach an
// instance, which is then probed at once instead of in its turn.
func (g *Gossiper) ReportUnreachable(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.noticeFreeze(now)
	m := g.table.members[id]
	if m == nil || m == g.self || !m.live() || g.detector.probing(id) {
		return
	}
	if g.detector.allowReport(now) {
		g.probe(m, now)
	}
}

// View returns the present picture of the fleet.
func (g *Gossiper) View() *registrar.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.view()
}

// announce changes the own announcement and spreads it.
func (g *Gossiper) announce(change func(*registrar.Spec)) {
	g.table.change(g.self, func() {
		g.self.spec.Sequence++
		change(&g.self.spec)
		g.self.changed = time.Now()
	})
	g.queue.push(encodeFull(g.self))
	g.dirty = true
}

func (g *Gossiper) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	g.publish(time.Now())
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
			g.tick(time.Now())
		}
	}
}

func (g *Gossiper) tick(now time.Time) {
	g.mu.Lock()
	g.noticeFreeze(now)
	g.detect(now)
	g.spread(now)
	g.scheduleExchange(now)
	g.mu.Unlock()
	g.publish(now)
}

// viewDelay returns the shortest time between two views.
func (g *Gossiper) viewDelay() time.Duration {
	return viewInterval + time.Duration(g.table.live)*memberViewTime
}

// publish hands out a new view if the table changed.
func (g *Gossiper) publish(now time.Time) {
	g.mu.Lock()
	if !g.dirty || now.Sub(g.lastView) < g.viewDelay() {
		g.mu.Unlock()
		return
	}
	g.dirty = false
	g.lastView = now
	view := g.table.view()
	live := g.table.live
	g.mu.Unlock()
	g.metrics.members.Update(float64(live))
	if g.cfg.OnView != nil {
		g.cfg.OnView(view)
	}
}
