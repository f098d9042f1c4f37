// Package departurekeeper keeps at the control instances that an upstream has said that it
// accepts no new requests, so that its node still knows after a restart.
//
// # Usage
//
// At a control instance:
//
//	a := departurekeeper.NewArchive(departurekeeper.ArchiveConfig{Journal: journal, Transport: courier, ...})
//	a.Start()
//
// At the node beside the upstream:
//
//	k := departurekeeper.New(departurekeeper.Config{Instance: "vitrina-1", OnDeparture: ..., OnSettled: ..., ...})
//	k.Start()
//	k.Note(departure)            // once it is known
//	err := k.Store(ctx, departure) // before it is acknowledged to the upstream
//
// # Protocol
//
// The node sends each control instance its name and the newest departure that it knows. The
// control instance makes a newer one durable, and answers with the newest that is durable. So the
// same message asks after a start and stores later. It is repeated until it is answered. A
// departure also goes to control instances that come later, and to all of them again from time to
// time while it is recent, since a disk may be lost.
package departurekeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// urgentInterval is the time between two messages to a control instance that does not
	// answer while an answer is waited for, and idleInterval that at other times.
	urgentInterval = 50 * time.Millisecond
	idleInterval   = 2 * time.Second
	// settleTimeout is the longest time that a node that started waits for answers.
	settleTimeout = 500 * time.Millisecond
	// refreshInterval is the time after which a departure is sent to a control instance again,
	// and refreshPeriod the time for which that goes on.
	refreshInterval = 5 * time.Second
	refreshPeriod   = 2 * time.Minute
	// minCopies is the least number of control instances that hold a departure before it is
	// acknowledged, if there are as many.
	minCopies = 2
)

// ErrNotStored reports that too few control instances have stored a departure.
var ErrNotStored = errors.New("too few control instances have stored the departure")

// Transport sends and receives datagrams. courier.Courier implements it.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Controls are the control instances that a node knows.
type Controls struct {
	// Running holds the peer addresses of those that the fleet says run.
	Running []netip.AddrPort
	// Configured holds those in the settings, which may have been replaced since. They are used as
	// well, since a node that has just started knows no others.
	Configured []netip.AddrPort
	// Known is the number of all, those that failed included.
	Known int
}

// all returns the addresses of all control instances that may answer.
func (c Controls) all() []netip.AddrPort {
	list := slices.Clone(c.Running)
	for _, address := range c.Configured {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// required returns how many control instances must have answered.
func (c Controls) required() int {
	return max(len(c.Running)/2+1, min(c.Known, minCopies))
}

// Config lists what a Keeper depends on.
type Config struct {
	// Instance is the name of the node's instance.
	Instance  string
	Controls  func() Controls
	Transport Transport
	// OnDeparture is called with each departure that a control instance holds and this process
	// did not know. It may call Note.
	OnDeparture func(Departure)
	// OnSettled is called once: when enough control instances have answered since the start
	// for the node to know what they hold, or after settleTimeout.
	OnSettled func()
	Random    *rand.Rand
	Scope     tally.Scope
	Log       zerolog.Logger
}

// Keeper tells control instances of the departure of a node's upstream, and learns from them what
// earlier processes of the node told.
type Keeper struct {
	cfg              Config
	nonce            uint64
	recalled, failed tally.Counter
	wake             chan struct{} // Holds a value if there is something to do.
	tomb             tomb.Tomb

	mu        sync.Mutex // Guards the fields below.
	startedAt time.Time
	settled   bool
	departure Departure
	notedAt   time.Time
	peers     map[netip.AddrPort]*peer
	waiting   int           // Number of calls of Store that wait.
	progress  chan struct{} // Closed and replaced with each answer.
}

// peer is what a keeper knows of a control instance.
type peer struct {
	sentAt     time.Time
	answeredAt time.Time // Zero if it has not answered this process.
	holds      Departure
}

// New returns a keeper that sends after Start.
func New(cfg Config) *Keeper {
	cfg.Log = logger.Part(cfg.Log, "departurekeeper")
	k := &Keeper{
		cfg:      cfg,
		nonce:    cfg.Random.Uint64(),
		recalled: cfg.Scope.Counter("recalled"),
		failed:   cfg.Scope.Counter("not_stored"),
		wake:     make(chan struct{}, 1),
		peers:    make(map[netip.AddrPort]*peer),
		progress: make(chan struct{}),
	}
	cfg.Transport.Handle(courier.KindDepartureAnswer, k.receive)
	return k
}

// Start starts sending.
func (k *Keeper) Start() {
	k.mu.Lock()
	k.startedAt = time.Now()
	k.mu.Unlock()
	k.tomb.Go(k.run)
}

// Stop ends sending.
func (k *Keeper) Stop() error {
	k.tomb.Kill(nil)
	if err := k.tomb.Wait(); err != nil {
		return fmt.Errorf("stop departure keeper: %w", err)
	}
	return nil
}

// Note lets a departure be stored, if it is newer than those known. It does not wait.
func (k *Keeper) Note(d Departure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.departure.covers(d) {
		return
	}
	k.departure, k.notedAt = d, time.Now()
	k.wakeUp()
}

// Store notes a departure and waits until enough control instances hold it.
func (k *Keeper) Store(ctx context.Context, d Departure) error {
	k.Note(d)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting++
	defer func() { k.waiting-- }()
	k.wakeUp()
	for !k.isStored(d) {
		progress := k.progress
		k.mu.Unlock()
		select {
		case <-progress:
		case <-ctx.Done():
		}
		k.mu.Lock()
		if ctx.Err() != nil && !k.isStored(d) {
			k.failed.Inc(1)
			k.cfg.Log.Warn().Str("upstream", d.Upstream).Time("born", d.StartedAt).Int("needed", k.cfg.Controls().required()).
				Msg("Too few control instances have stored that the upstream is leaving.")
			return errors.Wrapf(ErrNotStored, "upstream %s", d.Upstream)
		}
	}
	return nil
}

// isStored reports whether enough control instances hold a departure.
func (k *Keeper) isStored(d Departure) bool {
	return k.enough(func(p *peer) bool { return p.holds.covers(d) })
}

// enough reports whether as many control instances as necessary have answered and satisfy a
// condition.
func (k *Keeper) enough(condition func(*peer) bool) bool {
	controls := k.cfg.Controls()
	n := 0
	for _, address := range controls.all() {
		if p := k.peers[address]; p != nil && !p.answeredAt.IsZero() && condition(p) {
			n++
		}
	}
	return n >= controls.required()
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-k.tomb.Dying():
			return nil
		case <-k.wake:
		case <-timer.C:
		}
		timer.Reset(k.act(time.Now()))
	}
}

// act sends what is due and returns the time until it must be called again.
func (k *Keeper) act(now time.Time) time.Duration {
	k.settle(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	interval := idleInterval
	if !k.settled || k.waiting > 0 {
		interval = urgentInterval
	}
	payload := message{nonce: k.nonce, instance: k.cfg.Instance, departure: k.departure}.encode()
	for _, address := range k.cfg.Controls().all() {
		p := k.peers[address]
		if p == nil {
			p = &peer{}
			k.peers[address] = p
		}
		if !k.isDue(p, interval, now) {
			continue
		}
		p.sentAt = now
		if err := k.cfg.Transport.Send(courier.KindDeparture, address, payload); err != nil {
			k.cfg.Log.Debug().Err(err).Stringer("to", address).Msg("Departure not sent.")
		}
	}
	return interval
}

// isDue reports whether a message to a control instance is due.
func (k *Keeper) isDue(p *peer, interval time.Duration, now time.Time) bool {
	switch {
	case p.answeredAt.IsZero() || !p.holds.covers(k.departure):
		return now.Sub(p.sentAt) >= interval || p.sentAt.Before(k.notedAt)
	case k.departure.known() && now.Sub(k.notedAt) < refreshPeriod:
		return now.Sub(p.sentAt) >= refreshInterval
	}
	return false
}

// settle calls OnSettled when it is time.
func (k *Keeper) settle(now time.Time) {
	k.mu.Lock()
	answered := k.enough(func(*peer) bool { return true })
	due := !k.settled && (answered || now.Sub(k.startedAt) >= settleTimeout)
	k.settled = k.settled || due
	k.mu.Unlock()
	if !due {
		return
	}
	if !answered {
		k.cfg.Log.Warn().Msg("Too few control instances have answered; whether the upstream is leaving is not known.")
	}
	k.cfg.OnSettled()
}

// receive handles the answer of a control instance.
func (k *Keeper) receive(from netip.AddrPort, payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil || m.nonce != k.nonce || m.instance != k.cfg.Instance {
		return
	}
	if k.isNew(m.departure) {
		k.recalled.Inc(1)
		k.cfg.Log.Info().Str("upstream", m.departure.Upstream).Time("born", m.departure.StartedAt).Stringer("from", from).
			Msg("A control instance knows that the upstream is leaving.")
		k.cfg.OnDeparture(m.departure) // Before the answer counts, which may settle the start.
		k.Note(m.departure)
	}
	k.take(from, m.departure)
	k.wakeUp()
}

// isNew reports whether this process does not know a departure.
func (k *Keeper) isNew(d Departure) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.departure.covers(d)
}

// take records the answer of a control instance.
func (k *Keeper) take(from netip.AddrPort, d Departure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peers[from]
	if p == nil {
		return
	}
	p.answeredAt, p.holds = time.Now(), d
	close(k.progress)
	k.progress = make(chan struct{})
}
