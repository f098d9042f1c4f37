// Package gossiper maintains the membership of the fleet. Each process announces its
// instance, probes other members for failures, and disseminates updates, in UDP
// datagrams of at most 1,200 bytes. Tables that differ are reconciled by calls over TCP
// at the same address.
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
//	g.Leave(ctx)
//	err := g.Stop()
//
// # Protocol
//
// A node is any process that runs a Gossiper, a member is an instance in its table, and a
// peer is the other process in an exchange.
//
// In each probe period a node pings one member. If no ack arrives, it asks other members
// to ping that member; if none of them receives an ack, the member is suspect, and
// failed once the suspicion timeout passes without a refutation. Each datagram includes
// the digest of the sender's table, its configuration version and the latest updates;
// new updates are also pushed to a few random members. Tables whose digests differ are
// compared bucket by bucket, and only the differences are exchanged.
//
// An instance's announcements are ordered by incarnation and sequence. If two nodes
// disagree about whether a member is alive, neither conclusion prevails: the member is
// pinged and resolves the dispute by announcing itself again.
package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// DefaultBytesPerSecond is the default hard limit on the bytes sent for membership.
	DefaultBytesPerSecond = 6000
	// DefaultStartAllowance is the default number of bytes that a process may send once in
	// addition. If a whole fleet starts, each process needs the table of all members at
	// that moment.
	DefaultStartAllowance = 64 << 10
	// tickInterval is the time between checks of the timers.
	tickInterval = 100 * time.Millisecond
	// baseViewInterval is the shortest time between two views, and viewIntervalPerMember
	// is added for each member, because the cost of a view grows with their number.
	baseViewInterval      = 100 * time.Millisecond
	viewIntervalPerMember = 150 * time.Microsecond
	// leaveTimeout limits how long Leave waits for the announcement to be sent.
	leaveTimeout = time.Second
	// logLinesPerSecond limits the log lines about entries that are refused.
	logLinesPerSecond = 1
)

// Transport sends and receives datagrams. courier.Courier implements it.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Config holds the settings and dependencies of a Gossiper.
type Config struct {
	// Instance is the instance that this process announces. An incarnation of 0 stands for
	// the start time in milliseconds.
	Instance registrar.Spec
	// Seeds are the peer addresses of processes through which to join.
	Seeds []netip.AddrPort
	// Transport sends and receives the datagrams.
	Transport Transport
	// Client calls other processes over TCP.
	Client Client
	// OnView is called with each new view of the fleet. It must not block.
	OnView func(*registrar.View)
	// OnVersion is called when another process holds a newer configuration version than
	// the last one passed to SetVersion. It must not block.
	OnVersion func(from netip.AddrPort, version *controlwire.VersionDigest)
	// OnEvacuation is called when another process holds newer evacuated failure domains than
	// this one, before OnVersion for the same message. Calls may overlap. It must not block
	// and may be nil.
	OnEvacuation func(*controlwire.Evacuation)
	// BytesPerSecond limits the bytes sent; 0 means DefaultBytesPerSecond.
	BytesPerSecond int
	// StartAllowance is how many bytes may be sent once in addition; 0 means
	// DefaultStartAllowance.
	StartAllowance int
	Logger         zerolog.Logger
	Scope          tally.Scope
	Random         *rand.Rand
}

// Gossiper runs the membership protocol for one process.
type Gossiper struct {
	cfg     Config
	log     zerolog.Logger
	metrics metrics
	// logLimiter limits the lines about what other processes send.
	logLimiter *logger.Limiter
	tomb       tomb.Tomb

	mu                sync.Mutex // Guards the fields below.
	self              *member
	table             *table
	queue             *queue
	budget            *budget
	health            health
	version           *controlwire.VersionDigest
	evacuation        *controlwire.Evacuation // Nil until an order is known.
	detector          detector
	exchange          exchangeState
	lastActive        time.Time // When this node was last active, to detect a freeze.
	lastView          time.Time
	nextPush          time.Time
	nextSeed          int  // Position in the seeds, which are tried round-robin.
	viewStale         bool // True if the table changed since the last view.
	versionPushesLeft int  // Remaining pushes of the version and the evacuation to random members.
}

// New returns a gossiper that handles datagrams immediately and starts probing and
// pushing when Start is called.
func New(cfg Config) *Gossiper {
	now := time.Now()
	if cfg.Instance.Incarnation == 0 {
		cfg.Instance.Incarnation = uint64(now.UnixMilli())
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.StartAllowance == 0 {
		cfg.StartAllowance = DefaultStartAllowance
	}
	cfg.Instance.Sequence = 1
	g := &Gossiper{
		cfg:        cfg,
		log:        logger.Part(cfg.Logger, "gossiper"),
		metrics:    newMetrics(cfg.Scope),
		logLimiter: logger.NewLimiter(logLinesPerSecond),
		self:       &member{spec: cfg.Instance, changed: now, lastAck: now},
		table:      newTable(cfg.Random),
		queue:      newQueue(),
		budget:     newBudget(cfg.BytesPerSecond, cfg.StartAllowance),
		detector:   newDetector(),
		lastActive: now,
		viewStale:  true,
	}
	if len(cfg.Seeds) > 0 {
		g.nextSeed = cfg.Random.IntN(len(cfg.Seeds))
	}
	g.exchange = exchangeState{joining: true, started: now}
	g.table.put(g.self)
	g.queue.push(encodeRecord(g.self))
	cfg.Transport.Handle(courier.KindGossip, g.receive)
	return g
}

// Start starts probing members and disseminating updates.
func (g *Gossiper) Start() { g.tomb.Go(g.run) }

// Stop stops the gossiper without an announcement; see Leave.
func (g *Gossiper) Stop() error {
	g.tomb.Kill(nil)
	if err := g.tomb.Wait(); err != nil {
		return fmt.Errorf("stop gossiper: %w", err)
	}
	return nil
}

// Announce announces a new state of this instance to the fleet.
func (g *Gossiper) Announce(state registrar.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.spec.State != state {
		g.updateSelf(func(s *registrar.Spec) { s.State = state })
	}
}

// SetSeeds replaces the peer addresses of processes through which to join.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Seeds = seeds
}

// SetCapacity announces how many slots and connections the upstream has.
func (g *Gossiper) SetCapacity(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.spec.Slots != slots || g.self.spec.Connections != connections {
		g.updateSelf(func(s *registrar.Spec) { s.Slots, s.Connections = slots, connections })
	}
}

// Leave announces that this instance left. It returns once the announcement was
// transmitted to other members, after leaveTimeout, or when ctx ends.
func (g *Gossiper) Leave(ctx context.Context) {
	g.Announce(registrar.StateLeft)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for g.announcementPending() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announcementPending reports whether the announcement of this instance is still queued
// and there are other members to send it to.
func (g *Gossiper) announcementPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.updates[g.self.spec.ID] != nil && g.table.liveCount > 0
}

// Self returns this instance as it is currently announced. Its incarnation exceeds the
// configured one if the fleet knew a higher one.
func (g *Gossiper) Self() *registrar.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.instance()
}

// SetVersion records the configuration version that this process holds and pushes it to
// random members immediately. A version that is not newer than the last is ignored.
func (g *Gossiper) SetVersion(version *controlwire.VersionDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version.GetNumber() <= g.version.GetNumber() {
		return
	}
	g.version = version
	g.versionPushesLeft = versionPushes
	g.push(time.Now())
}

// ReportUnreachable reports that a request could not reach an instance, which is then
// probed immediately instead of in its turn.
func (g *Gossiper) ReportUnreachable(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectFreeze(now)
	m := g.table.members[id]
	if m == nil || m == g.self || !m.live() || g.detector.probing(id) {
		return
	}
	if g.detector.allowExtraProbe(now) {
		g.probe(m, now)
	}
}

// View returns the current view of the fleet.
func (g *Gossiper) View() *registrar.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.view()
}

// updateSelf changes this instance's announcement and queues it for dissemination.
func (g *Gossiper) updateSelf(change func(*registrar.Spec)) {
	g.table.change(g.self, func() {
		g.self.spec.Sequence++
		change(&g.self.spec)
		g.self.changed = time.Now()
	})
	g.queue.push(encodeRecord(g.self))
	g.viewStale = true
}

func (g *Gossiper) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	g.publishView(time.Now())
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
	g.detectFreeze(now)
	g.runDetection(now)
	g.schedulePush(now)
	g.scheduleExchange(now)
	g.mu.Unlock()
	g.publishView(now)
}

// minViewInterval returns the shortest time between two views at the current fleet size.
func (g *Gossiper) minViewInterval() time.Duration {
	return baseViewInterval + time.Duration(g.table.liveCount)*viewIntervalPerMember
}

// publishView passes a new view to OnView if the table changed.
func (g *Gossiper) publishView(now time.Time) {
	g.mu.Lock()
	if !g.viewStale || now.Sub(g.lastView) < g.minViewInterval() {
		g.mu.Unlock()
		return
	}
	g.viewStale = false
	g.lastView = now
	view := g.table.view()
	live := g.table.liveCount
	g.mu.Unlock()
	g.metrics.liveMembers.Update(float64(live))
	if g.cfg.OnView != nil {
		g.cfg.OnView(view)
	}
}
