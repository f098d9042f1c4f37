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
	// minBackoff and maxBackoff bound the mean pause before a failed attempt is
	// retried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// errAttemptFailed means that one attempt to propose failed and a retry may
// succeed.
var errAttemptFailed = errors.New("the attempt failed")

// transitionFunc returns the transition to propose on base, or nil to confirm
// base itself.
type transitionFunc func(base *State) *voterwire.Transition

// proposal describes what an instance proposes.
type proposal struct {
	genesis     *State // The first state of a group that is forming, else nil.
	transition  transitionFunc
	forceAccept bool // Runs the accept phase even if the prepare phase shows that the state is chosen.
	sent        bool // Set before a transition is sent for the first time.
}

// proposer runs proposals, one at a time.
type proposer struct {
	acceptor *acceptor
	name     string // Unique to this start of this instance; part of its ballots.
	peer     func(*voterwire.Member) Peer
	running  chan struct{} // Full while a proposal runs.

	mu     sync.Mutex
	random *rand.Rand
	round  uint64 // The largest round seen.

	// remoteState is a state that others accepted at remoteBallot and whose voters
	// differ from those of the state held here. Guarded by running.
	remoteState  *State
	remoteBallot *voterwire.Ballot
}

func newProposer(a *acceptor, name string, peer func(*voterwire.Member) Peer, random *rand.Rand) *proposer {
	return &proposer{acceptor: a, name: name, peer: peer, random: random, running: make(chan struct{}, 1)}
}

// propose repeats attempts until one succeeds or ctx ends, and returns the chosen
// state.
func (p *proposer) propose(ctx context.Context, proposal *proposal) (*State, error) {
	select {
	case p.running <- struct{}{}:
		defer func() { <-p.running }()
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

// pause waits for a random time around mean, and reports whether ctx is still
// valid.
func (p *proposer) pause(ctx context.Context, mean time.Duration) bool {
	p.mu.Lock()
	d := mean/2 + time.Duration(p.random.Int64N(int64(mean)))
	p.mu.Unlock()
	return sleep(ctx, d)
}

// sleep waits for d, if that is positive, and reports whether ctx is still
// valid. It starts its timer only when it receives from it: the race detector
// fails if channel timers of one synctest bubble expire without a receiver and
// are received from concurrently afterwards.
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

// attempt runs the prepare phase and then the accept phase, once. It omits the
// accept phase if there is no transition to propose, the prepare phase confirms
// the newest state and forceAccept is not set.
func (p *proposer) attempt(ctx context.Context, proposal *proposal) (*State, error) {
	held, heldBallot := p.newestState(proposal.genesis)
	if held == nil {
		return nil, ErrNoGroup
	}
	ballot := p.nextBallot()
	prepared, err := p.prepare(ctx, ballot, held, heldBallot)
	if err != nil {
		return nil, err
	}
	if !hasQuorum(prepared.base.membership(), prepared.acks) {
		// The voters changed. The next attempt calls those of the newer state.
		p.remoteState, p.remoteBallot = prepared.base, prepared.baseBallot
		return nil, fmt.Errorf("voters changed: %w", errAttemptFailed)
	}
	target := prepared.base
	if t := proposal.transition(prepared.base); t != nil {
		t.Base = prepared.base.origin()
		t.Origin = ballot
		target, err = prepared.base.apply(t)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		proposal.sent = true
	} else if !proposal.forceAccept && hasQuorum(prepared.base.membership(), prepared.upToDate) {
		return target, nil
	}
	if err := p.accept(ctx, ballot, prepared, target); err != nil {
		return nil, err
	}
	return target, nil
}

// nextBallot returns a ballot newer than all observed ones.
func (p *proposer) nextBallot() *voterwire.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round = max(p.round, p.acceptor.promisedRound()) + 1
	return &voterwire.Ballot{Round: p.round, Proposer: p.name}
}

func (p *proposer) observeBallot(b *voterwire.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round = max(p.round, b.GetRound())
}

// newestState returns the newest state known, or genesis if there is none, and
// the ballot at which the state was accepted. The ballot is nil if the state was
// only learned.
func (p *proposer) newestState(genesis *State) (*State, *voterwire.Ballot) {
	held, ballot := p.acceptor.newestState()
	if held == nil {
		held = genesis
	}
	if held == nil || p.remoteState == nil || p.remoteState.wire.GetRevision() < held.wire.GetRevision() {
		return held, ballot
	}
	if compareBallots(p.remoteBallot, ballot) <= 0 {
		return held, ballot
	}
	return p.remoteState, p.remoteBallot
}

// prepareResult is the outcome of the prepare phase.
type prepareResult struct {
	acks       identitySet // Voters that promised.
	upToDate   identitySet // Voters that promised and have accepted base at the newest ballot.
	base       *State      // The newest state that any of them accepted.
	baseBallot *voterwire.Ballot
	positions  map[string]*voterwire.Position
}

// prepare runs the prepare phase: it asks the voters of the state held for
// promises.
func (p *proposer) prepare(ctx context.Context, ballot *voterwire.Ballot, held *State, heldBallot *voterwire.Ballot) (*prepareResult, error) {
	members := unionMembers(held.membership())
	request := func(ctx context.Context, m *voterwire.Member) (*voterwire.PrepareResponse, error) {
		return p.peer(m).Prepare(ctx, &voterwire.PrepareRequest{
			Group:        held.wire.GetGroup(),
			To:           m.GetIdentity(),
			Ballot:       ballot,
			Have:         held.origin(),
			HaveAccepted: heldBallot,
		})
	}
	result := &prepareResult{
		acks:       make(identitySet),
		upToDate:   make(identitySet),
		base:       held,
		baseBallot: heldBallot,
		positions:  make(map[string]*voterwire.Position),
	}
	var promises []*voterwire.PrepareResponse
	broadcast(ctx, members, request, func(m *voterwire.Member, resp *voterwire.PrepareResponse) bool {
		if !resp.GetPromised() {
			p.observeBallot(resp.GetNewest())
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

// selectBase sets base to the state that was accepted at the newest ballot. It
// reports false if a transfer does not apply.
func (r *prepareResult) selectBase(held *State, promises []*voterwire.PrepareResponse) bool {
	for _, promise := range promises {
		if compareBallots(promise.GetPosition().GetAccepted(), r.baseBallot) <= 0 {
			continue
		}
		state, ok := applyTransfer(held, promise.GetTransfer())
		if !ok {
			return false
		}
		r.base = state
		r.baseBallot = promise.GetPosition().GetAccepted()
	}
	for identity, position := range r.positions {
		if r.baseBallot != nil && sameBallot(position.GetAccepted(), r.baseBallot) {
			r.upToDate[identity] = true
		}
	}
	return true
}

// accept runs the accept phase: it asks the voters of the base and of the target to
// accept the target. It asks added voters first: a target that one of them does
// not accept must not reach the others.
func (p *proposer) accept(ctx context.Context, ballot *voterwire.Ballot, prepared *prepareResult, target *State) error {
	acks := make(identitySet)
	request := func(ctx context.Context, m *voterwire.Member) (*voterwire.AcceptResponse, error) {
		return p.acceptAt(ctx, m, ballot, prepared, target)
	}
	recordResponse := func(m *voterwire.Member, resp *voterwire.AcceptResponse) {
		if resp.GetAccepted() {
			acks[m.GetIdentity()] = true
			return
		}
		p.observeBallot(resp.GetNewest())
	}
	newVoters := addedMembers(prepared.base.membership(), target.membership())
	broadcast(ctx, newVoters, request, func(m *voterwire.Member, resp *voterwire.AcceptResponse) bool {
		recordResponse(m, resp)
		return false
	})
	if len(acks) < len(newVoters) {
		return fmt.Errorf("accept at added voters: %w", errAttemptFailed)
	}
	accepted := func() bool {
		return hasQuorum(prepared.base.membership(), acks) && hasQuorum(target.membership(), acks)
	}
	broadcast(ctx, unionMembers(prepared.base.membership(), target.membership()), request, func(m *voterwire.Member, resp *voterwire.AcceptResponse) bool {
		recordResponse(m, resp)
		return accepted()
	})
	if !accepted() {
		return fmt.Errorf("accept: %w", errAttemptFailed)
	}
	return nil
}

// acceptAt asks one voter to accept the target. A voter that lacks the base gets
// the missing transitions or a snapshot.
func (p *proposer) acceptAt(ctx context.Context, m *voterwire.Member, ballot *voterwire.Ballot, prepared *prepareResult, target *State) (*voterwire.AcceptResponse, error) {
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

// memberResponse is one member's response to a request.
type memberResponse[Resp any] struct {
	member *voterwire.Member
	resp   Resp
	err    error
}

// broadcast sends a request to all members concurrently and passes the responses
// to handle, until handle returns true, all requests have ended, or ctx ends. It
// ignores requests that fail, and does not cancel those still in flight when it
// returns.
func broadcast[Resp any](
	ctx context.Context,
	members []*voterwire.Member,
	request func(context.Context, *voterwire.Member) (Resp, error),
	handle func(*voterwire.Member, Resp) bool,
) {
	var calls tomb.Tomb
	responses := make(chan memberResponse[Resp], len(members))
	calls.Go(func() error {
		for _, m := range members {
			calls.Go(func() error {
				callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
				defer cancel()
				resp, err := request(callCtx, m)
				responses <- memberResponse[Resp]{member: m, resp: resp, err: err}
				return nil
			})
		}
		return nil
	})
	for range members {
		select {
		case r := <-responses:
			if r.err == nil && handle(r.member, r.resp) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
