package voter

import (
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// rewriteBytes is how many bytes are appended to the journal before it is
// rewritten.
const rewriteBytes = 4 << 20

// Journal is where an acceptor keeps its durable state. journaler.Journal
// implements it.
type Journal interface {
	Records() [][]byte
	Append(records ...[]byte) error
	AppendUnsynced(records ...[]byte) error
	Rewrite(records [][]byte) error
	Appended() int64
}

// acceptor is one instance's durable part in the agreement. It never goes
// back on a promise that left the process.
type acceptor struct {
	journal Journal

	mu       sync.Mutex
	identity string
	promised *voterwire.Ballot
	accepted *voterwire.Ballot
	state    *State           // What was accepted at that ballot, or nil.
	learned  *State           // The newest state known to be chosen, or nil.
	reserved *voterwire.State // With which a group may form, or nil.
	failed   bool             // Set once the disk failed; ends voting until a restart.
}

// newAcceptor reads the journal. A new journal gets the given identity.
func newAcceptor(journal Journal, identity string) (*acceptor, error) {
	a := &acceptor{journal: journal}
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
	err := a.compact()
	if err != nil && (isNew || !errors.Is(err, journaler.ErrDiskFull)) {
		return nil, err
	}
	return a, nil
}

func (a *acceptor) replay(record *voterwire.Record) error {
	switch kind := record.GetKind().(type) {
	case *voterwire.Record_Identity:
		a.identity = kind.Identity
	case *voterwire.Record_Promised:
		a.promised = kind.Promised
	case *voterwire.Record_Accepted:
		state, ok := applyTransfer(a.state, kind.Accepted.GetTransfer())
		if !ok || !sameBallot(state.origin(), kind.Accepted.GetOrigin()) {
			return errors.New("accepted state does not follow from the one before")
		}
		a.setAccepted(kind.Accepted.GetBallot(), state)
	case *voterwire.Record_Learned:
		if a.state != nil && sameBallot(a.state.origin(), kind.Learned) {
			a.learned = a.state
		}
	case *voterwire.Record_LearnedState:
		a.learned = newState(kind.LearnedState)
	case *voterwire.Record_Reserved:
		a.reserved = kind.Reserved
	}
	return nil
}

// position tells what the acceptor holds.
func (a *acceptor) position() *voterwire.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.positionLocked()
}

func (a *acceptor) positionLocked() *voterwire.Position {
	p := &voterwire.Position{Identity: a.identity, Accepted: a.accepted, Failed: a.failed}
	if a.state != nil {
		p.Group = a.state.wire.GetGroup()
		p.Origin = a.state.origin()
		p.Revision = a.state.wire.GetRevision()
		p.Version = a.state.number()
	}
	if a.learned != nil {
		p.Group = a.learned.wire.GetGroup()
		p.LearnedOrigin = a.learned.origin()
		p.LearnedRevision = a.learned.wire.GetRevision()
		p.Version = max(p.Version, a.learned.number())
	}
	return p
}

// held returns the newest state that the acceptor knows, and the ballot at
// which it accepted it; the ballot is nil for a state that was only learned.
func (a *acceptor) held() (*State, *voterwire.Ballot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == nil || a.learned != nil && a.learned.wire.GetRevision() > a.state.wire.GetRevision() {
		return a.learned, nil
	}
	return a.state, a.accepted
}

// learnedState returns the newest state known to be chosen, or nil.
func (a *acceptor) learnedState() *State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.learned
}

// refuses tells whether the acceptor may not vote on a request for the given
// group and identity.
func (a *acceptor) refuses(group, to string) bool {
	if a.failed || to != a.identity {
		return true
	}
	switch {
	case a.state != nil:
		return group != a.state.wire.GetGroup()
	case a.learned != nil:
		return group != a.learned.wire.GetGroup()
	case a.reserved != nil:
		return group != a.reserved.GetGroup()
	default:
		return false
	}
}

// prepare answers a proposer that asks for a promise.
func (a *acceptor) prepare(req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &voterwire.PrepareResponse{Position: a.positionLocked(), Newest: a.promised}
	if a.refuses(req.GetGroup(), req.GetTo()) || compareBallots(req.GetBallot(), a.promised) < 0 {
		return resp, nil
	}
	if !sameBallot(req.GetBallot(), a.promised) {
		if err := a.append(promisedRecord(req.GetBallot())); err != nil {
			return nil, fmt.Errorf("make promise durable: %w", err)
		}
		a.promised = req.GetBallot()
		a.compactIfLarge()
	}
	resp.Promised = true
	resp.Newest = a.promised
	if a.state != nil && compareBallots(a.accepted, req.GetHaveAccepted()) > 0 {
		resp.Transfer = a.state.transferFrom(req.GetHave())
	}
	return resp, nil
}

// accept answers a proposer that asks to accept a state.
func (a *acceptor) accept(req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &voterwire.AcceptResponse{Newest: a.promised}
	if a.refuses(req.GetGroup(), req.GetTo()) || compareBallots(req.GetBallot(), a.promised) < 0 {
		resp.Position = a.positionLocked()
		return resp, nil
	}
	if err := a.store(req, resp); err != nil {
		return nil, fmt.Errorf("make accepted state durable: %w", err)
	}
	resp.Position = a.positionLocked()
	return resp, nil
}

// store accepts the state of a request whose ballot is new enough.
func (a *acceptor) store(req *voterwire.AcceptRequest, resp *voterwire.AcceptResponse) error {
	if a.state != nil && sameBallot(a.accepted, req.GetBallot()) {
		resp.Accepted = true
		return nil
	}
	next, transfer, ok := a.target(req)
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
	resp.Newest = a.promised
	a.compactIfLarge()
	return nil
}

// target returns the state that a request asks to accept and the transfer
// that leads to it from the state held.
func (a *acceptor) target(req *voterwire.AcceptRequest) (*State, *voterwire.Transfer, bool) {
	if a.state != nil && sameBallot(a.state.origin(), req.GetOrigin()) {
		return a.state, &voterwire.Transfer{}, true
	}
	next, ok := applyTransfer(a.state, req.GetTransfer())
	if !ok || !sameBallot(next.origin(), req.GetOrigin()) {
		return nil, nil, false
	}
	return next, req.GetTransfer(), true
}

func (a *acceptor) setAccepted(ballot *voterwire.Ballot, state *State) {
	a.accepted = ballot
	a.state = state
	a.reserved = nil
	if compareBallots(ballot, a.promised) > 0 {
		a.promised = ballot
	}
}

// newestRound returns the round of the newest ballot that the acceptor promised.
func (a *acceptor) newestRound() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.promised.GetRound()
}

// catchUp accepts a state that another instance accepted at the given ballot,
// as if the proposer of that ballot had asked. It reports whether it did.
func (a *acceptor) catchUp(ballot *voterwire.Ballot, state *State) (bool, error) {
	req := &voterwire.AcceptRequest{
		Group:    state.wire.GetGroup(),
		Ballot:   ballot,
		Origin:   state.origin(),
		Transfer: state.transferFrom(a.position().GetOrigin()),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == nil {
		a.reserved = nil
	}
	if a.refuses(req.GetGroup(), a.identity) || compareBallots(ballot, a.promised) < 0 {
		return false, nil
	}
	resp := &voterwire.AcceptResponse{}
	if err := a.store(req, resp); err != nil {
		return false, fmt.Errorf("make accepted state durable: %w", err)
	}
	return resp.GetAccepted(), nil
}

// learn takes over a state that is known to be chosen, and reports whether it
// was news.
func (a *acceptor) learn(state *State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.learned != nil && state.wire.GetRevision() <= a.learned.wire.GetRevision() {
		return false
	}
	a.learned = state
	a.reserved = nil
	if a.state != nil && sameBallot(a.state.origin(), state.origin()) && !a.failed {
		a.learned = a.state
		// A lost record only makes the instance learn the state again.
		_ = a.journal.AppendUnsynced(encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Learned{Learned: state.origin()}}))
	}
	return true
}

// learnOrigin learns the accepted state if it has the given origin, which is
// known to be chosen. It reports whether that was news.
func (a *acceptor) learnOrigin(group string, origin *voterwire.Ballot) bool {
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	if state == nil || state.wire.GetGroup() != group || !sameBallot(state.origin(), origin) {
		return false
	}
	return a.learn(state)
}

// reserve answers an instance that forms a group. An instance that belongs to
// a group reserves nothing.
func (a *acceptor) reserve(genesis *voterwire.State) (*voterwire.ReserveResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != nil || a.learned != nil {
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

// reservation returns the state with which a group may form, or nil.
func (a *acceptor) reservation() *voterwire.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved
}

// fetch answers an instance that asks for a state.
func (a *acceptor) fetch(req *voterwire.FetchStateRequest) *voterwire.FetchStateResponse {
	a.mu.Lock()
	state, ballot := a.state, a.accepted
	if req.GetLearned() {
		state, ballot = a.learned, nil
	}
	a.mu.Unlock()
	if state == nil {
		return &voterwire.FetchStateResponse{}
	}
	return &voterwire.FetchStateResponse{Accepted: ballot, Transfer: state.transferFrom(req.GetHave())}
}

// append makes a record durable. A disk that failed ends voting.
func (a *acceptor) append(record []byte) error {
	err := a.journal.Append(record)
	if err != nil && !errors.Is(err, journaler.ErrDiskFull) {
		a.failed = true
	}
	return err
}

func (a *acceptor) compactIfLarge() {
	if a.journal.Appended() < rewriteBytes {
		return
	}
	if err := a.compact(); err != nil && !errors.Is(err, journaler.ErrDiskFull) {
		a.failed = true
	}
}

// compact rewrites the journal to what the acceptor holds.
func (a *acceptor) compact() error {
	records := [][]byte{encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Identity{Identity: a.identity}})}
	if a.reserved != nil {
		records = append(records, encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Reserved{Reserved: a.reserved}}))
	}
	if a.state != nil {
		accepted := &voterwire.Accepted{
			Ballot:   a.accepted,
			Origin:   a.state.origin(),
			Transfer: &voterwire.Transfer{Snapshot: a.state.wire},
		}
		records = append(records, acceptedRecord(accepted))
	}
	if a.learned != nil {
		records = append(records, a.learnedRecord())
	}
	if a.promised != nil {
		records = append(records, promisedRecord(a.promised))
	}
	if err := a.journal.Rewrite(records); err != nil {
		return fmt.Errorf("compact journal: %w", err)
	}
	return nil
}

func (a *acceptor) learnedRecord() []byte {
	if a.state != nil && sameBallot(a.state.origin(), a.learned.origin()) {
		return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Learned{Learned: a.learned.origin()}})
	}
	return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_LearnedState{LearnedState: a.learned.wire}})
}

func promisedRecord(ballot *voterwire.Ballot) []byte {
	return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Promised{Promised: ballot}})
}

func acceptedRecord(accepted *voterwire.Accepted) []byte {
	return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Accepted{Accepted: accepted}})
}

func encodeRecord(record *voterwire.Record) []byte {
	data, err := proto.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("voter: encode journal record: %v", err))
	}
	return data
}
