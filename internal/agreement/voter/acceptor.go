package voter

import (
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// acceptor votes for one instance in the consensus protocol. It stores its votes
// in the journal and never breaks a promise that it has sent.
type acceptor struct {
	journal Journal
	// catchUpBytes bounds the transitions that each held state keeps.
	catchUpBytes int

	mu             sync.Mutex
	identity       string
	promisedBallot *voterwire.Ballot // Older ballots are refused.
	acceptedBallot *voterwire.Ballot // The ballot at which acceptedState was accepted.
	acceptedState  *State            // The state accepted last, or nil.
	learned        *State            // The newest state known to be chosen, or nil.
	reserved       *voterwire.State  // The first state of a group that is forming, or nil.
	failed         bool              // Set when the disk failed; ends voting until a restart.
	leaving        bool              // Set before a planned stop.
}

// newAcceptor restores an acceptor from the journal. An empty journal gets the
// given identity.
func newAcceptor(journal Journal, identity string) (*acceptor, error) {
	a := &acceptor{journal: journal, catchUpBytes: retainer.DefaultBytes}
	for i, data := range journal.Records() {
		record := &voterwire.Record{}
		if err := proto.Unmarshal(data, record); err != nil {
			return nil, fmt.Errorf("decode journal record %d: %w", i, err)
		}
		if err := a.replay(record); err != nil {
			return nil, fmt.Errorf("replay journal record %d: %w", i, err)
		}
	}
	isNew := a.identity == ""
	if isNew {
		a.identity = identity
	}
	// On a full disk the journal stays as it is, which suffices unless the identity
	// is new.
	err := a.compact()
	if err != nil && (isNew || !errors.Is(err, journaler.ErrDiskFull)) {
		return nil, err
	}
	return a, nil
}

// limitCatchUp bounds the transitions that each held state keeps, in bytes.
func (a *acceptor) limitCatchUp(catchUpBytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.catchUpBytes = catchUpBytes
	if a.acceptedState != nil {
		a.acceptedState = a.acceptedState.bounded(catchUpBytes)
	}
	if a.learned != nil {
		a.learned = a.learned.bounded(catchUpBytes)
	}
}

// position describes the states that the acceptor holds.
func (a *acceptor) position() *voterwire.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.positionLocked()
}

func (a *acceptor) positionLocked() *voterwire.Position {
	p := &voterwire.Position{Identity: a.identity, Accepted: a.acceptedBallot, Failed: a.failed || a.declines()}
	if a.acceptedState != nil {
		p.Group = a.acceptedState.wire.GetGroup()
		p.Origin = a.acceptedState.origin()
		p.Revision = a.acceptedState.wire.GetRevision()
		p.Version = a.acceptedState.number()
	}
	if a.learned != nil {
		p.Group = a.learned.wire.GetGroup()
		p.LearnedOrigin = a.learned.origin()
		p.LearnedRevision = a.learned.wire.GetRevision()
		p.Version = max(p.Version, a.learned.number())
	}
	return p
}

// newestState returns the newest state that the acceptor knows and the ballot at
// which it accepted that state. The ballot is nil if it only learned the state.
func (a *acceptor) newestState() (*State, *voterwire.Ballot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acceptedState == nil || a.learned != nil && a.learned.wire.GetRevision() > a.acceptedState.wire.GetRevision() {
		return a.learned, nil
	}
	return a.acceptedState, a.acceptedBallot
}

// learnedState returns the newest state known to be chosen, or nil.
func (a *acceptor) learnedState() *State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.learned
}

// refuses reports whether the acceptor must not vote on a request that is
// addressed to the given group and identity.
func (a *acceptor) refuses(group, to string) bool {
	if a.failed || a.declines() || to != a.identity {
		return true
	}
	switch {
	case a.acceptedState != nil:
		return group != a.acceptedState.wire.GetGroup()
	case a.learned != nil:
		return group != a.learned.wire.GetGroup()
	case a.reserved != nil:
		return group != a.reserved.GetGroup()
	default:
		return false
	}
}

// prepare handles a proposer's request for a promise.
func (a *acceptor) prepare(req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &voterwire.PrepareResponse{Position: a.positionLocked(), Newest: a.promisedBallot}
	if a.refuses(req.GetGroup(), req.GetTo()) || !validBallot(req.GetBallot()) || compareBallots(req.GetBallot(), a.promisedBallot) < 0 {
		return resp, nil
	}
	if !sameBallot(req.GetBallot(), a.promisedBallot) {
		if err := a.append(promisedRecord(req.GetBallot())); err != nil {
			return nil, fmt.Errorf("make promise durable: %w", err)
		}
		a.promisedBallot = req.GetBallot()
		a.compactIfLarge()
	}
	resp.Promised = true
	resp.Newest = a.promisedBallot
	if a.acceptedState != nil && compareBallots(a.acceptedBallot, req.GetHaveAccepted()) > 0 {
		resp.Transfer = a.acceptedState.transferFrom(req.GetHave())
	}
	return resp, nil
}

// accept handles a proposer's request to accept a state.
func (a *acceptor) accept(req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &voterwire.AcceptResponse{Newest: a.promisedBallot}
	if a.refuses(req.GetGroup(), req.GetTo()) || !validBallot(req.GetBallot()) || compareBallots(req.GetBallot(), a.promisedBallot) < 0 {
		resp.Position = a.positionLocked()
		return resp, nil
	}
	if err := a.storeAccepted(req, resp); err != nil {
		return nil, fmt.Errorf("make accepted state durable: %w", err)
	}
	resp.Position = a.positionLocked()
	return resp, nil
}

// storeAccepted accepts the state of a request whose ballot was already checked,
// and records the result in resp.
func (a *acceptor) storeAccepted(req *voterwire.AcceptRequest, resp *voterwire.AcceptResponse) error {
	if a.acceptedState != nil && sameBallot(a.acceptedBallot, req.GetBallot()) {
		resp.Accepted = true
		return nil
	}
	next, transfer, ok := a.targetState(req)
	if !ok {
		resp.Lagging = true
		return nil
	}
	record := &voterwire.Accepted{Ballot: req.GetBallot(), Origin: req.GetOrigin(), Transfer: transfer}
	if err := a.append(acceptedRecord(record)); err != nil {
		return err
	}
	a.setAccepted(req.GetBallot(), next)
	resp.Accepted = true
	resp.Newest = a.promisedBallot
	a.compactIfLarge()
	return nil
}

// targetState returns the state that a request asks to accept, the transfer that
// leads to it from the accepted state, and whether that transfer applies.
func (a *acceptor) targetState(req *voterwire.AcceptRequest) (*State, *voterwire.Transfer, bool) {
	if a.acceptedState != nil && sameBallot(a.acceptedState.origin(), req.GetOrigin()) {
		return a.acceptedState, &voterwire.Transfer{}, true
	}
	next, ok := applyTransfer(a.acceptedState, req.GetTransfer())
	if !ok || !sameBallot(next.origin(), req.GetOrigin()) {
		return nil, nil, false
	}
	return next, req.GetTransfer(), true
}

func (a *acceptor) setAccepted(ballot *voterwire.Ballot, state *State) {
	a.acceptedBallot = ballot
	a.acceptedState = state.bounded(a.catchUpBytes)
	a.reserved = nil
	if compareBallots(ballot, a.promisedBallot) > 0 {
		a.promisedBallot = ballot
	}
}

// promisedRound returns the round of the promised ballot.
func (a *acceptor) promisedRound() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.promisedBallot.GetRound()
}

// catchUp accepts a state that another instance accepted at the given ballot, as
// if the proposer of that ballot had requested it. It reports whether the state
// was accepted.
func (a *acceptor) catchUp(ballot *voterwire.Ballot, state *State) (bool, error) {
	req := &voterwire.AcceptRequest{
		Group:    state.wire.GetGroup(),
		Ballot:   ballot,
		Origin:   state.origin(),
		Transfer: state.transferFrom(a.position().GetOrigin()),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acceptedState == nil {
		a.reserved = nil // A group that exists takes precedence over one that is forming.
	}
	if a.refuses(req.GetGroup(), a.identity) || compareBallots(ballot, a.promisedBallot) < 0 {
		return false, nil
	}
	resp := &voterwire.AcceptResponse{}
	if err := a.storeAccepted(req, resp); err != nil {
		return false, fmt.Errorf("make accepted state durable: %w", err)
	}
	return resp.GetAccepted(), nil
}

// learn records a state that is known to be chosen, and reports whether it is
// newer than the one learned before.
func (a *acceptor) learn(state *State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.learned != nil && state.wire.GetRevision() <= a.learned.wire.GetRevision() {
		return false
	}
	a.learned = state.bounded(a.catchUpBytes)
	a.reserved = nil
	if a.acceptedState != nil && sameBallot(a.acceptedState.origin(), state.origin()) && !a.failed {
		a.learned = a.acceptedState
		// If the record is lost, the instance only has to learn the state again.
		_ = a.journal.AppendUnsynced(encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Learned{Learned: state.origin()}}))
	}
	return true
}

// learnAccepted learns the accepted state if its origin is the given one, which
// belongs to a chosen state. It reports whether the accepted state is newer than
// the one learned before.
func (a *acceptor) learnAccepted(group string, origin *voterwire.Ballot) bool {
	a.mu.Lock()
	state := a.acceptedState
	a.mu.Unlock()
	if state == nil || state.wire.GetGroup() != group || !sameBallot(state.origin(), origin) {
		return false
	}
	return a.learn(state)
}

// reserve handles a request to reserve this instance for a group that is forming.
// It refuses if the instance belongs to a group.
func (a *acceptor) reserve(genesis *voterwire.State) (*voterwire.ReserveResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acceptedState != nil || a.learned != nil {
		return &voterwire.ReserveResponse{Reason: "belongs to a group"}, nil
	}
	if a.failed || !isVoter(genesis.GetMembership(), a.identity) {
		return &voterwire.ReserveResponse{Reason: "not a voter of that group"}, nil
	}
	if err := a.append(encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Reserved{Reserved: genesis}})); err != nil {
		return nil, fmt.Errorf("make reservation durable: %w", err)
	}
	a.reserved = genesis
	return &voterwire.ReserveResponse{Reserved: true}, nil
}

// reservedState returns the first state of the group for which this instance is
// reserved, or nil.
func (a *acceptor) reservedState() *voterwire.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved
}

// fetchState handles a request for the accepted or the learned state.
func (a *acceptor) fetchState(req *voterwire.FetchStateRequest) *voterwire.FetchStateResponse {
	a.mu.Lock()
	state, ballot := a.acceptedState, a.acceptedBallot
	if req.GetLearned() {
		state, ballot = a.learned, nil
	}
	a.mu.Unlock()
	if state == nil {
		return &voterwire.FetchStateResponse{}
	}
	return &voterwire.FetchStateResponse{Accepted: ballot, Transfer: state.transferFrom(req.GetHave())}
}
