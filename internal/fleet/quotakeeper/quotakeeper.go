// Package quotakeeper spends the quotas of organisations at an entry node: tokens that the
// grantor gives, and a lease while it cannot be asked.
//
// # Usage
//
//	k := quotakeeper.New(quotakeeper.Config{Controls: addresses, Transport: courier, Now: timekeeper.Now, ...})
//	k.Start()
//	ticket, retryAfter := k.Take(ctx, organisation)
//	if !ticket.Taken() {
//		// Refuse the request.
//	}
//	k.Return(organisation, ticket) // if the request has not run
//	err := k.Stop()
//
// One ask is under way at a time, for all organisations together. See package grantor for the
// messages and docs/design/quotas.md for the reasons.
package quotakeeper

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

	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// maxWait is the longest time that a request waits for an answer, and minGrace the least
	// time after which an ask without one lets requests be taken from the lease.
	maxWait  = 100 * time.Millisecond
	minGrace = 40 * time.Millisecond
	// minResend is the least time after which an ask is sent again, and abandonAfter that
	// after which it is given up. Its answer is ignored then.
	minResend    = 30 * time.Millisecond
	abandonAfter = 150 * time.Millisecond
	// maxRedirects is the number of redirects that one ask follows.
	maxRedirects = 5
	// defaultInterval is the shortest time between two asks until an answer names one, and
	// maxUrgentInterval that between two asks for which requests wait.
	defaultInterval   = 20 * time.Millisecond
	maxUrgentInterval = 60 * time.Millisecond
	// longInterval is the time until the next ask from which on requests are taken from the
	// lease rather than wait.
	longInterval = 30 * time.Millisecond
	// reviewInterval is the time between two estimates of demand.
	reviewInterval = 250 * time.Millisecond
	// minBackOff and maxBackOff bound the time for which nothing is asked for an organisation
	// without room, and retryAfterWithoutRoom is the time until a retry is useful if the grantor
	// has not named one.
	minBackOff            = 20 * time.Millisecond
	maxBackOff            = 100 * time.Millisecond
	retryAfterWithoutRoom = time.Second
	// idleAfter is the time after which an organisation without requests is forgotten.
	idleAfter = 10 * time.Second
	// logLinesPerSecond limits the log lines about each kind of event.
	logLinesPerSecond = 5
)

// Transport sends and receives datagrams. courier.Courier implements it.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Config lists what a Keeper depends on.
type Config struct {
	// Controls returns the peer addresses of the control instances.
	Controls  func() []netip.AddrPort
	Transport Transport
	// Now returns a time that goes on while the machine is suspended.
	Now    func() time.Duration
	Random *rand.Rand
	Scope  tally.Scope
	Log    zerolog.Logger
}

// Keeper spends quotas at one node.
type Keeper struct {
	cfg     Config
	start   uint64 // Tells processes of the node apart.
	metrics metrics
	logs    *logger.Limiter
	wake    chan struct{} // Holds a value if there is something to do.
	tomb    tomb.Tomb

	mu       sync.Mutex // Guards the fields below.
	accounts map[grantor.OrganisationID]*account
	// due holds the accounts with something to say in the next ask.
	due      map[*account]bool
	grantor  netip.AddrPort // Invalid if it is not known.
	tenure   uint64
	complete bool // Whether all leases were reported in the tenure.
	report   bool // Whether a report is due.
	urgent   bool // Whether requests wait for the next ask.
	leases   int  // Number of accounts with a lease.
	ask      pendingAsk
	contact  contact
	reviewAt time.Duration
	// budgetUsedUntil is the time until which the bytes sent so far use up bytesPerSecond.
	budgetUsedUntil time.Duration
	outage          bool // Whether an outage was logged.
	// named holds the metrics of single organisations, and others those of the rest.
	named  map[string]organisationMetrics
	others organisationMetrics
}

// contact is what the last answer said.
type contact struct {
	sentAt                    time.Duration // When its ask was sent.
	interval, validity, lease time.Duration
	roundTrip                 time.Duration
	known                     bool
}

// pendingAsk is the ask under way.
type pendingAsk struct {
	open      bool
	seq       uint32
	to        netip.AddrPort
	firstAt   time.Duration // When it was first sent.
	lastAt    time.Duration // When it was last sent.
	redirects int
	message   grantor.Ask
	accounts  []*account
	// unanswered is when the first ask since the last answer was sent; valid if failing.
	unanswered time.Duration
	failing    bool
}

// New returns a keeper that handles messages immediately and asks after Start.
func New(cfg Config) *Keeper {
	cfg.Log = logger.Part(cfg.Log, "quotakeeper")
	k := &Keeper{
		cfg:      cfg,
		start:    cfg.Random.Uint64(),
		metrics:  newMetrics(cfg.Scope),
		logs:     logger.NewLimiter(logLinesPerSecond),
		wake:     make(chan struct{}, 1),
		accounts: make(map[grantor.OrganisationID]*account),
		due:      make(map[*account]bool),
		contact:  contact{interval: defaultInterval},
		named:    make(map[string]organisationMetrics),
		others:   newOrganisationMetrics(cfg.Scope, otherOrganisations),
	}
	k.ask.lastAt = -time.Hour
	cfg.Transport.Handle(courier.KindQuotaAnswer, k.receive)
	return k
}

// Start starts asking.
func (k *Keeper) Start() { k.tomb.Go(k.run) }

// Stop ends asking. Requests that wait are refused.
func (k *Keeper) Stop() error {
	k.tomb.Kill(nil)
	if err := k.tomb.Wait(); err != nil {
		return fmt.Errorf("stop quota keeper: %w", err)
	}
	return nil
}

// Take takes a request from the quota of an organisation. It may wait for maxWait. If there is no
// room, the ticket is not taken, and there may be after the returned time.
func (k *Keeper) Take(ctx context.Context, o *compiler.Organisation) (Ticket, time.Duration) {
	k.mu.Lock()
	now := k.cfg.Now()
	a := k.account(o)
	a.observe(o, now)
	if ticket := k.spend(a, now); ticket.Taken() {
		k.prefetch(a, now)
		k.mu.Unlock()
		return ticket, 0
	}
	if now < a.refusedUntil || k.unanswered(now) || !a.own.allows(now) {
		wait := k.countRefusal(a, now)
		k.mu.Unlock()
		return Ticket{}, wait
	}
	w := &waiter{done: make(chan Ticket, 1)}
	a.waiters = append(a.waiters, w)
	k.urgent = true
	k.demand(a)
	k.mu.Unlock()
	return k.await(ctx, a, w)
}

// TakeNow takes a request if there is room without waiting.
func (k *Keeper) TakeNow(o *compiler.Organisation) Ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	a := k.account(o)
	a.observe(o, now)
	ticket := k.spend(a, now)
	k.prefetch(a, now)
	return ticket
}

// await waits until a waiting request is decided on.
func (k *Keeper) await(ctx context.Context, a *account, w *waiter) (Ticket, time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case ticket := <-w.done:
		return k.decided(a, ticket)
	case <-timer.C:
	case <-ctx.Done():
	case <-k.tomb.Dying():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case ticket := <-w.done: // Decided meanwhile.
		if ticket.Taken() {
			return ticket, 0
		}
		return Ticket{}, k.countRefusal(a, k.cfg.Now())
	default:
	}
	a.removeWaiter(w)
	now := k.cfg.Now()
	if ticket := k.spend(a, now); ticket.Taken() {
		return ticket, 0
	}
	return Ticket{}, k.countRefusal(a, now)
}

// decided returns the result of Take for a waiting request that was decided on.
func (k *Keeper) decided(a *account, ticket Ticket) (Ticket, time.Duration) {
	if ticket.Taken() {
		return ticket, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return Ticket{}, k.countRefusal(a, k.cfg.Now())
}

// Valid reports whether a request for which a ticket was taken may still be sent.
func (k *Keeper) Valid(ticket Ticket) bool { return k.cfg.Now() < ticket.usableUntil }

// Return gives back a request that has not run. A token that has ended meanwhile is lost, since
// its place in the window may have been granted again.
func (k *Keeper) Return(o *compiler.Organisation, ticket Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.account(o)
	if ticket.leased || k.cfg.Now() >= ticket.validUntil {
		return
	}
	a.tokens.add(1, ticket.validUntil)
	a.own.level++
	a.givenBack++
}

// account returns the account of an organisation, with its limit as this node knows it.
func (k *Keeper) account(o *compiler.Organisation) *account {
	id := grantor.IDOf(o.Name())
	a := k.accounts[id]
	if a == nil {
		a = &account{id: id, name: o.Name()}
		k.accounts[id] = a
	}
	return a
}

// spend takes a request from the tokens or, while none can be had, from the lease.
func (k *Keeper) spend(a *account, now time.Duration) Ticket {
	if a.tokens.expire(now) {
		k.due[a] = true
	}
	if !a.own.allows(now) {
		return Ticket{}
	}
	if until, ok := a.tokens.take(); ok {
		return a.ticket(Ticket{validUntil: until}, now)
	}
	if (k.unanswered(now) || k.nextIsFar(now)) && k.leaseValid(now) && a.takeLeased(k.contact.sentAt, now) {
		k.due[a] = true
		k.metrics.leased.Inc(1)
		// Return ignores a leased ticket, so that validUntil only has to be other than 0.
		return a.ticket(Ticket{validUntil: now + 1, leased: true}, now)
	}
	return Ticket{}
}

// countRefusal counts a refusal and returns the time until there may be room.
func (k *Keeper) countRefusal(a *account, now time.Duration) time.Duration {
	a.refused++
	k.metrics.refused.Inc(1)
	wait := retryAfterWithoutRoom
	if now < a.roomAt {
		wait = a.roomAt - now
	}
	k.logs.Limit(k.cfg.Log.Info()).Str("organisation", a.name).Float64("limit", a.limit).Float64("lease", a.rate).
		Float64("lease-age-ms", milliseconds(now-k.contact.sentAt)).Bool("answered", !k.unanswered(now)).
		Msg("Request refused, the organisation's quota is used up.")
	return wait
}

// unanswered reports whether an ask has gone without an answer for some time.
func (k *Keeper) unanswered(now time.Duration) bool {
	return k.ask.failing && now-k.ask.unanswered >= max(minGrace, 2*k.contact.roundTrip)
}

// nextIsFar reports whether the next ask may only be sent after some time.
func (k *Keeper) nextIsFar(now time.Duration) bool {
	return !k.ask.open && k.ask.lastAt+k.contact.interval-now > longInterval
}

// leaseValid reports whether the leases have not ended.
func (k *Keeper) leaseValid(now time.Duration) bool {
	return k.contact.known && now < k.contact.sentAt+k.contact.lease
}

// demand puts an account into the next ask.
func (k *Keeper) demand(a *account) {
	k.due[a] = true
	k.wakeUp()
}

// prefetch asks for more tokens before they are used up.
func (k *Keeper) prefetch(a *account, now time.Duration) {
	if now >= a.refusedUntil && a.missing(k.horizon(), k.contact.validity) > 0 {
		k.demand(a)
	}
}

// horizon returns the time whose demand is asked for ahead.
func (k *Keeper) horizon() time.Duration {
	return min(k.contact.interval+2*k.contact.roundTrip, k.contact.validity/2)
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
