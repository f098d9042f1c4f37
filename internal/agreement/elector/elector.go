// Package elector elects one control instance at a time for work that at most one may do, such
// as granting quotas. Its state is in memory.
//
// # Usage
//
//	e := elector.New(elector.Config{Self: address, Electorate: electorate, Transport: courier, ...})
//	e.Start()
//	if id, held := e.Tenure(); held {
//		// This instance is the holder at this moment.
//	}
//	err := e.Stop()
//
// # Protocol
//
// A candidate asks all voters for a lease of leaseLength. A voter grants it if no other
// candidate's lease is unexpired by its own clock, and if both know the same membership. A voter
// that has started, or has noticed another membership, grants no new lease for leaseLength, since
// it does not know what was granted before. The candidate with a majority (during a replacement of
// voters, of both memberships) holds the lease, counted from before it asked, and renews it. It gives
// the lease back when it stops.
package elector

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// leaseLength is the length of a lease by the clock of a voter, and leaseMargin the time
	// by which the holder takes it as ended earlier.
	leaseLength = time.Second
	leaseMargin = 100 * time.Millisecond
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 200 * time.Millisecond
	// roundTimeout is the time after which a candidate without a majority gives up a round, and
	// maxPause the longest random time until its next one.
	roundTimeout = 150 * time.Millisecond
	maxPause     = 300 * time.Millisecond
)

// Electorate is the membership of voters that is known to be in force.
type Electorate struct {
	// Epoch rises with each membership.
	Epoch uint64
	// Voters and, during their replacement, Previous are their peer addresses.
	Voters, Previous []netip.AddrPort
}

// contains reports whether an instance is a voter.
func (e Electorate) contains(a netip.AddrPort) bool { return slices.Contains(e.Voters, a) }

// members returns all voters, each once.
func (e Electorate) members() []netip.AddrPort {
	all := slices.Clone(e.Voters)
	for _, a := range e.Previous {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

// hasQuorum reports whether the given instances are a majority of the voters and, during a
// replacement, of the previous ones.
func (e Electorate) hasQuorum(granted map[netip.AddrPort]bool) bool {
	return hasMajority(e.Voters, granted) && (len(e.Previous) == 0 || hasMajority(e.Previous, granted))
}

func hasMajority(voters []netip.AddrPort, granted map[netip.AddrPort]bool) bool {
	n := 0
	for _, a := range voters {
		if granted[a] {
			n++
		}
	}
	return n > len(voters)/2
}

// Transport sends and receives datagrams. courier.Courier implements it.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Config lists what an Elector depends on.
type Config struct {
	// Self is the peer address of this instance.
	Self netip.AddrPort
	// Needed reports whether a holder is needed. Without need nothing is sent.
	Needed func() bool
	// Electorate returns the newest membership that is known to be chosen.
	Electorate func() Electorate
	// AcceptedEpoch returns the epoch of the newest membership that this voter has accepted, be
	// it chosen or not.
	AcceptedEpoch func() uint64
	// OnElected is called when this instance begins a tenure. It must not block.
	OnElected func(tenure uint64)
	Transport Transport
	// Now returns a time that goes on while the machine is suspended.
	Now    func() time.Duration
	Random *rand.Rand
	Scope  tally.Scope
	Log    zerolog.Logger
}

// Elector is a voter and, at times, a candidate and the holder.
type Elector struct {
	cfg       Config
	id        uint64 // Of this process as a candidate.
	elections tally.Counter
	malformed tally.Counter
	tomb      tomb.Tomb

	mu         sync.Mutex // Guards the fields below.
	promise    promise
	round      round
	nextRound  time.Duration
	tenure     uint64
	validUntil time.Duration // End of the lease by this instance's clock.
	holding    bool          // Whether the end of the tenure is still to be logged.
}

// round is one attempt to get or renew a lease.
type round struct {
	number     uint64
	open       bool
	electorate Electorate
	sentAt     time.Duration
	granted    map[netip.AddrPort]bool
}

// New returns an elector that responds to candidates immediately and is one after Start.
func New(cfg Config) *Elector {
	cfg.Log = logger.Part(cfg.Log, "elector")
	now := cfg.Now()
	e := &Elector{
		cfg:       cfg,
		id:        cfg.Random.Uint64() | 1, // Never 0.
		elections: cfg.Scope.Counter("elections"),
		malformed: cfg.Scope.Counter("malformed"),
		promise:   newPromise(cfg.AcceptedEpoch(), now),
	}
	cfg.Transport.Handle(courier.KindElection, e.receive)
	return e
}

// Start starts the candidate.
func (e *Elector) Start() { e.tomb.Go(e.run) }

// Stop ends the candidate and its tenure.
func (e *Elector) Stop() error {
	e.tomb.Kill(nil)
	if err := e.tomb.Wait(); err != nil {
		return fmt.Errorf("stop elector: %w", err)
	}
	e.resign()
	return nil
}

// resign gives the lease back, so that another instance need not wait for its end.
func (e *Elector) resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	held := now < e.validUntil
	if !held && !e.round.open {
		return
	}
	e.validUntil = 0
	e.logEnd(false)
	e.giveUp(now)
}

// Tenure returns the id of this instance's tenure, and whether it is the holder at this moment.
func (e *Elector) Tenure() (id uint64, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure, e.cfg.Now() < e.validUntil
}

// Holder returns the address of the instance that this voter takes as the holder. An instance
// that does not vote returns a voter.
func (e *Elector) Holder() (netip.AddrPort, bool) {
	electorate := e.cfg.Electorate()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(electorate.Voters) > 0 && !electorate.contains(e.cfg.Self) {
		return electorate.Voters[e.cfg.Random.IntN(len(electorate.Voters))], true
	}
	return e.promise.holder(e.cfg.Now())
}

func (e *Elector) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
			if elected := e.tick(); elected != 0 {
				e.cfg.OnElected(elected)
			}
		}
	}
}

// tick does what is due. It returns the id of the tenure if it has begun one.
func (e *Elector) tick() uint64 {
	if !e.cfg.Needed() {
		return 0
	}
	electorate := e.cfg.Electorate()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	held := now < e.validUntil
	e.logEnd(held)
	if !electorate.contains(e.cfg.Self) {
		return 0
	}
	if e.round.open && !held && now-e.round.sentAt >= roundTimeout {
		e.giveUp(now)
	}
	if e.round.open && !held || now < e.nextRound {
		return 0
	}
	if holder, known := e.promise.holder(now); known && holder != e.cfg.Self {
		return 0
	}
	return e.startRound(electorate, now)
}

// startRound asks all voters, the own one directly. It returns the id of the tenure if it has begun
// one.
func (e *Elector) startRound(electorate Electorate, now time.Duration) uint64 {
	e.round = round{
		number: e.round.number + 1, open: true, electorate: electorate, sentAt: now,
		granted: make(map[netip.AddrPort]bool),
	}
	e.nextRound = now + renewInterval
	request := message{kind: kindRequest, candidate: e.id, round: e.round.number, epoch: electorate.Epoch}
	for _, a := range electorate.members() {
		if a != e.cfg.Self {
			e.send(a, request)
		}
	}
	if e.promise.grant(request, e.cfg.Self, e.cfg.AcceptedEpoch(), now) {
		return e.count(e.cfg.Self)
	}
	return 0
}

// giveUp ends a round without a majority, or the tenure, so that others need not wait for what it
// has got.
func (e *Elector) giveUp(now time.Duration) {
	e.round.open = false
	e.nextRound = now + time.Duration(e.cfg.Random.Int64N(int64(maxPause)))
	release := message{kind: kindRelease, candidate: e.id, round: e.round.number, epoch: e.round.electorate.Epoch}
	e.promise.release(release)
	for _, a := range e.round.electorate.members() {
		if a != e.cfg.Self {
			e.send(a, release)
		}
	}
}

// count counts a grant of the open round. It returns the id of the tenure if it has begun one.
func (e *Elector) count(voter netip.AddrPort) uint64 {
	e.round.granted[voter] = true
	if !e.round.electorate.hasQuorum(e.round.granted) {
		return 0
	}
	now := e.cfg.Now()
	e.round.open = false
	end := e.round.sentAt + leaseLength - leaseMargin
	if now >= end {
		return 0 // The grants took longer than the lease.
	}
	renewed := now < e.validUntil
	e.validUntil = end
	if renewed {
		return 0
	}
	e.tenure = e.cfg.Random.Uint64() | 1
	e.holding = true
	e.elections.Inc(1)
	e.cfg.Log.Info().Uint64("tenure", e.tenure).Uint64("epoch", e.round.electorate.Epoch).
		Int("voters", len(e.round.granted)).Msg("Elected to grant.")
	return e.tenure
}

// logEnd logs the end of a tenure once.
func (e *Elector) logEnd(held bool) {
	if e.holding && !held {
		e.holding = false
		e.cfg.Log.Info().Uint64("tenure", e.tenure).Msg("No longer elected.")
	}
}

// receive handles one datagram.
func (e *Elector) receive(from netip.AddrPort, payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		e.malformed.Inc(1)
		e.cfg.Log.Debug().Err(err).Stringer("from", from).Msg("Message ignored.")
		return
	}
	if elected := e.handle(from, m); elected != 0 {
		e.cfg.OnElected(elected)
	}
}

// handle handles a message. It returns the id of the tenure if it has begun one.
func (e *Elector) handle(from netip.AddrPort, m message) uint64 {
	accepted := e.cfg.AcceptedEpoch()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m.kind {
	case kindRequest:
		if e.promise.grant(m, from, accepted, e.cfg.Now()) {
			m.kind = kindGrant
			e.send(from, m)
		}
	case kindRelease:
		e.promise.release(m)
	case kindGrant:
		if e.round.open && m.candidate == e.id && m.round == e.round.number {
			return e.count(from)
		}
	}
	return 0
}

func (e *Elector) send(to netip.AddrPort, m message) {
	if err := e.cfg.Transport.Send(courier.KindElection, to, m.encode()); err != nil {
		e.cfg.Log.Debug().Err(err).Stringer("to", to).Msg("Message not sent.")
	}
}
