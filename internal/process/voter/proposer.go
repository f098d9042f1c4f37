package voter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

const (
	// callTimeout bounds one call to another voter.
	callTimeout = time.Second
	// minBackoff and maxBackoff bound the mean pause before a failed attempt is repeated.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// errAttemptFailed means that one attempt to propose failed and that another may succeed.
var errAttemptFailed = errors.New("no quorum answered")

// step returns the transition to propose on a state, or nil to confirm the
// state itself.
type step func(base *State) *voterwire.Transition

// proposal is what an instance wants to be accepted.
type proposal struct {
	genesis *State // The first state of a group that forms, else nil.
	next    step
	accept  bool // Asks for acceptance also of a state that is known to be chosen.
	sent    bool // Set before a transition leaves the process for the first time.
}

// proposer runs proposals, one at a time.
type proposer struct {
	acceptor *acceptor
	name     string // Unique to this start of this instance.
	peer     func(*voterwire.Member) Peer
	busy     chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	round  uint64 // The largest round seen.

	// hint is a state that others accepted at hintBallot and that names other
	// voters than the state held here. Only the holder of busy uses it.
	hint       *State
	hintBallot *voterwire.Ballot
}

func newProposer(a *acceptor, name string, peer func(*voterwire.Member) Peer, random *rand.Rand) *proposer {
	return &proposer{acceptor: a, name: name, peer: peer, random: random, busy: make(chan struct{}, 1)}
}

// propose repeats attempts until one is accepted by a quorum or ctx ends. It
// returns the state that is now chosen.
func (p *proposer) propose(ctx context.Context, proposal *proposal) (*State, error) {
	select {
	case p.busy <- struct{}{}:
		defer func() { <-p.busy }()
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for another proposal: %w", ctx.Err())
	}
	backoff := minBackoff
	for {
		state, err := p.attempt(ctx, proposal)
		if err == nil {
			return state, nil
		}
		if !errors.Is(err, errAttemptFailed) {
			return nil, err
		}
		if !p.pause(ctx, backoff) {
			return nil, fmt.Errorf("propose: %w: %w", ctx.Err(), err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause waits for a random time around mean, and reports whether ctx is still valid.
func (p *proposer) pause(ctx context.Context, mean time.Duration) bool {
	p.mu.Lock()
	d := mean/2 + time.Duration(p.random.Int64N(int64(mean)))
	p.mu.Unlock()
	return sleep(ctx, d)
}

// sleep waits for d, if that is positive, and reports whether ctx is still
// valid. Its timer is waited for from its start on: the race detector fails on
// channel timers of one synctest bubble that expire with nobody waiting and
// are then received from at the same time.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}

func (p *proposer) attempt(ctx context.Context, proposal *proposal) (*State, error) {
	held, heldBallot := p.held(proposal.genesis)
	if held == nil {
		return nil, ErrNoGroup
	}
	ballot := p.nextBallot()
	prepared, err := p.prepare(ctx, ballot, held, heldBallot)
	if err != nil {
		return nil, err
	}
	if !hasQuorum(prepared.base.membership(), prepared.acks) {
		// The voters changed. The next attempt asks the right ones.
		p.hint, p.hintBallot = prepared.base, prepared.accepted
		return nil, fmt.Errorf("voters changed: %w", errAttemptFailed)
	}
	target := prepared.base
	if t := proposal.next(prepared.base); t != nil {
		t.Base = prepared.base.origin()
		t.Origin = ballot
		target, err = prepared.base.apply(t)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		proposal.sent = true
	} else if !proposal.accept && hasQuorum(prepared.base.membership(), prepared.current) {
		return target, nil
	}
	if err := p.accept(ctx, ballot, prepared, target); err != nil {
		return nil, err
	}
	return target, nil
}

func (p *proposer) nextBallot() *voterwire.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round = max(p.round, p.acceptor.newestRound()) + 1
	return &voterwire.Ballot{Round: p.round, Proposer: p.name}
}

func (p *proposer) sawBallot(b *voterwire.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round = max(p.round, b.GetRound())
}

// held returns the newest state known, and the ballot at which it was
// accepted; the ballot is nil for a state that was only learned.
func (p *proposer) held(genesis *State) (*State, *voterwire.Ballot) {
	held, ballot := p.acceptor.held()
	if held == nil {
		held = genesis
	}
	if held == nil || p.hint == nil || p.hint.wire.GetRevision() < held.wire.GetRevision() {
		return held, ballot
	}
	if compareBallots(p.hintBallot, ballot) <= 0 {
		return held, ballot
	}
	return p.hint, p.hintBallot
}

// prepared is the outcome of asking for promises.
type prepared struct {
	acks      identitySet // Who promised.
	current   identitySet // Who promised and holds base, accepted at the newest ballot.
	base      *State      // The newest state that any of them accepted.
	accepted  *voterwire.Ballot
	positions map[string]*voterwire.Position
}

// prepare asks the voters of the state held for promises.
func (p *proposer) prepare(ctx context.Context, ballot *voterwire.Ballot, held *State, heldBallot *voterwire.Ballot) (*prepared, error) {
	members := unite(held.membership())
	request := func(ctx context.Context, m *voterwire.Member) (*voterwire.PrepareResponse, error) {
		return p.peer(m).Prepare(ctx, &voterwire.PrepareRequest{
			Group:        held.wire.GetGroup(),
			To:           m.GetIdentity(),
			Ballot:       ballot,
			Have:         held.origin(),
			HaveAccepted: heldBallot,
		})
	}
	result := &prepared{
		acks:      make(identitySet),
		current:   make(identitySet),
		base:      held,
		accepted:  heldBallot,
		positions: make(map[string]*voterwire.Position),
	}
	var promises []*voterwire.PrepareResponse
	gather(ctx, members, request, func(m *voterwire.Member, resp *voterwire.PrepareResponse) bool {
		if !resp.GetPromised() {
			p.sawBallot(resp.GetNewest())
			return false
		}
		promises = append(promises, resp)
		result.acks[m.GetIdentity()] = true
		result.positions[m.GetIdentity()] = resp.GetPosition()
		return hasQuorum(held.membership(), result.acks)
	})
	if !hasQuorum(held.membership(), result.acks) {
		return nil, fmt.Errorf("prepare: %w", errAttemptFailed)
	}
	if !result.selectBase(held, promises) {
		return nil, fmt.Errorf("prepare: %w", errAttemptFailed)
	}
	return result, nil
}

// selectBase takes the state that was accepted at the newest ballot.
func (r *prepared) selectBase(held *State, promises []*voterwire.PrepareResponse) bool {
	for _, promise := range promises {
		if compareBallots(promise.GetPosition().GetAccepted(), r.accepted) <= 0 {
			continue
		}
		state, ok := applyTransfer(held, promise.GetTransfer())
		if !ok {
			return false
		}
		r.base = state
		r.accepted = promise.GetPosition().GetAccepted()
	}
	for identity, position := range r.positions {
		if r.accepted != nil && sameBallot(position.GetAccepted(), r.accepted) {
			r.current[identity] = true
		}
	}
	return true
}

// accept asks the voters before and after the change to accept the target.
// Voters that the change adds come first: a change that they do not take must
// not reach the others.
func (p *proposer) accept(ctx context.Context, ballot *voterwire.Ballot, prepared *prepared, target *State) error {
	acks := make(identitySet)
	request := func(ctx context.Context, m *voterwire.Member) (*voterwire.AcceptResponse, error) {
		return p.acceptAt(ctx, m, ballot, prepared, target)
	}
	record := func(m *voterwire.Member, resp *voterwire.AcceptResponse) {
		if resp.GetAccepted() {
			acks[m.GetIdentity()] = true
			return
		}
		p.sawBallot(resp.GetNewest())
	}
	fresh := added(prepared.base.membership(), target.membership())
	gather(ctx, fresh, request, func(m *voterwire.Member, resp *voterwire.AcceptResponse) bool {
		record(m, resp)
		return false
	})
	if len(acks) < len(fresh) {
		return fmt.Errorf("accept at added voters: %w", errAttemptFailed)
	}
	done := func() bool {
		return hasQuorum(prepared.base.membership(), acks) && hasQuorum(target.membership(), acks)
	}
	gather(ctx, unite(prepared.base.membership(), target.membership()), request, func(m *voterwire.Member, resp *voterwire.AcceptResponse) bool {
		record(m, resp)
		return done()
	})
	if !done() {
		return fmt.Errorf("accept: %w", errAttemptFailed)
	}
	return nil
}

// acceptAt asks one voter to accept the target. One that lacks the base gets
// what it lacks.
func (p *proposer) acceptAt(ctx context.Context, m *voterwire.Member, ballot *voterwire.Ballot, prepared *prepared, target *State) (*voterwire.AcceptResponse, error) {
	have := prepared.base.origin()
	if position, ok := prepared.positions[m.GetIdentity()]; ok {
		have = position.GetOrigin()
	}
	req := &voterwire.AcceptRequest{
		Group:    target.wire.GetGroup(),
		To:       m.GetIdentity(),
		Ballot:   ballot,
		Origin:   target.origin(),
		Transfer: target.transferFrom(have),
	}
	resp, err := p.peer(m).Accept(ctx, req)
	if err != nil || !resp.GetLagging() {
		return resp, err
	}
	req.Transfer = target.transferFrom(resp.GetPosition().GetOrigin())
	return p.peer(m).Accept(ctx, req)
}

// reply is one member's answer to a request.
type reply[Resp any] struct {
	member *voterwire.Member
	resp   Resp
	err    error
}

// gather sends a request to all members at once and hands the answers to
// take, until take reports that they suffice or all have answered or timed
// out. Requests still on their way are not cancelled.
func gather[Resp any](
	ctx context.Context,
	members []*voterwire.Member,
	request func(context.Context, *voterwire.Member) (Resp, error),
	take func(*voterwire.Member, Resp) bool,
) {
	var t tomb.Tomb
	replies := make(chan reply[Resp], len(members))
	t.Go(func() error {
		for _, m := range members {
			t.Go(func() error {
				callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
				defer cancel()
				resp, err := request(callCtx, m)
				replies <- reply[Resp]{member: m, resp: resp, err: err}
				return nil
			})
		}
		return nil
	})
	for range members {
		select {
		case r := <-replies:
			if r.err == nil && take(r.member, r.resp) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
