package voter

import (
	"context"
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = time.Second
	// staleAfter is the time without a response from a majority after which the
	// instance is stale.
	staleAfter = 3 * time.Second
	// joinInterval is the time between two attempts to join a group.
	joinInterval = 200 * time.Millisecond
	// repairAfterHeartbeats is how many consecutive heartbeats must find no chosen
	// state before the instance finishes the proposal in progress.
	repairAfterHeartbeats = 2
	// repairTimeout bounds one attempt to repair the group.
	repairTimeout = 5 * time.Second
	// repairPause is the mean random pause before an attempt, so that the voters
	// do not all start at the same time.
	repairPause = 400 * time.Millisecond
)

// pollResult holds the responses of the voters to one poll.
type pollResult struct {
	state     *State // The state whose voters were polled.
	positions map[string]*voterwire.Position
	voting    identitySet // Members that responded as voters of the group.
}

// monitor exchanges heartbeats with the voters. It learns which states were
// chosen, tracks whether a majority is reachable, and repairs the group.
type monitor struct {
	voter         *Voter
	notifications chan *State   // The newest chosen state of which the voters must be notified.
	repairing     chan struct{} // Full while an attempt to repair the group runs.

	mu          sync.Mutex
	lastContact time.Time // Start of the last poll or proposal to which a majority responded.
	lastPoll    *pollResult

	// The fields below are used by the goroutine of run only.
	undecidedHeartbeats int            // Consecutive heartbeats that found no chosen state.
	missedHeartbeats    map[string]int // Consecutive heartbeats without a response, by identity.
}

func newMonitor(v *Voter) *monitor {
	return &monitor{
		voter:            v,
		notifications:    make(chan *State, 1),
		repairing:        make(chan struct{}, 1),
		lastContact:      time.Now().Add(-staleAfter),
		missedHeartbeats: make(map[string]int),
	}
}

// run sends heartbeats until the voter stops.
func (m *monitor) run() error {
	ctx := m.voter.tomb.Context(context.Background())
	for {
		next := time.Now().Add(heartbeatInterval)
		if !m.heartbeat(ctx) {
			next = time.Now().Add(joinInterval)
		}
		if !sleep(ctx, time.Until(next)) {
			return nil
		}
	}
}

// heartbeat polls the voters, catches up with them and starts a repair if needed. It
// reports whether the instance belongs to a group.
func (m *monitor) heartbeat(ctx context.Context) bool {
	if held, _ := m.voter.acceptor.newestState(); held == nil && !m.join(ctx) {
		return false
	}
	poll := m.pollVoters(ctx, func(*pollResult) bool { return false })
	m.fetchFromVoters(ctx, poll)
	if !hasQuorum(poll.state.membership(), poll.voting) {
		// The voters known here may have been replaced meanwhile.
		m.fetchFromSources(ctx)
	}
	chosen := m.voter.acceptor.chosenState(poll)
	if chosen == nil {
		m.undecidedHeartbeats++
	} else {
		m.undecidedHeartbeats = 0
		m.voter.learn(chosen)
	}
	m.startRepair(ctx, poll)
	return true
}

// join fetches the state of an existing group, or forms a group. It reports whether
// the instance now holds the group's state.
func (m *monitor) join(ctx context.Context) bool {
	if m.fetchFromSources(ctx) {
		m.voter.cfg.Log.Info().Msg("Received the state of the group.")
		return true
	}
	if !m.voter.mayFormGroup() {
		return false
	}
	formCtx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if err := m.voter.formGroup(formCtx); err != nil {
		m.voter.cfg.Log.Debug().Err(err).Msg("Failed to form the group; a later heartbeat retries it.")
		return false
	}
	return true
}

// fetchFromSources fetches newer states from the initial voters and the other
// sources, whether these vote or not. An instance that belongs to a group ignores
// other groups. It reports whether the instance now holds a state.
func (m *monitor) fetchFromSources(ctx context.Context) bool {
	a := m.voter.acceptor
	request := func(ctx context.Context, source *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.memberPeer(source).Query(ctx, &voterwire.QueryRequest{})
	}
	broadcast(ctx, m.voter.stateSources(), request, func(source *voterwire.Member, resp *voterwire.QueryResponse) bool {
		p := resp.GetPosition()
		group := a.position().GetGroup()
		if p.GetLearnedOrigin() != nil && (group == "" || p.GetGroup() == group) {
			m.fetchFromPeer(ctx, m.voter.memberPeer(source), p)
		}
		return false
	})
	held, _ := a.newestState()
	return held != nil
}

// findsGroup reports whether a source of the state belongs to a group. It leaves time for the call
// that it is a part of.
func (m *monitor) findsGroup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	request := func(ctx context.Context, source *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.memberPeer(source).Query(ctx, &voterwire.QueryRequest{})
	}
	found := false
	broadcast(ctx, m.voter.stateSources(), request, func(_ *voterwire.Member, resp *voterwire.QueryResponse) bool {
		found = resp.GetPosition().GetGroup() != ""
		return found
	})
	return found
}

// pollVoters queries the positions of all voters, until enough returns true or
// all have responded or timed out.
func (m *monitor) pollVoters(ctx context.Context, enough func(*pollResult) bool) *pollResult {
	start := time.Now()
	held, _ := m.voter.acceptor.newestState()
	poll := &pollResult{state: held, positions: make(map[string]*voterwire.Position), voting: make(identitySet)}
	req := &voterwire.QueryRequest{Group: held.wire.GetGroup()}
	if learned := m.voter.Local(); learned != nil {
		req.LearnedOrigin = learned.origin()
	}
	request := func(ctx context.Context, member *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.memberPeer(member).Query(ctx, req)
	}
	broadcast(ctx, unionMembers(held.membership()), request, func(member *voterwire.Member, resp *voterwire.QueryResponse) bool {
		poll.positions[member.GetIdentity()] = resp.GetPosition()
		if poll.isVoting(member) {
			poll.voting[member.GetIdentity()] = true
		}
		return enough(poll)
	})
	m.recordPoll(poll, start)
	return poll
}

// isVoting reports whether the member responded as a voter of the group.
func (r *pollResult) isVoting(member *voterwire.Member) bool {
	p := r.positions[member.GetIdentity()]
	return p.GetIdentity() == member.GetIdentity() && !p.GetFailed() && (p.GetGroup() == "" || p.GetGroup() == r.state.wire.GetGroup())
}

func (m *monitor) recordPoll(poll *pollResult, start time.Time) {
	m.mu.Lock()
	m.lastPoll = poll
	m.mu.Unlock()
	if hasQuorum(poll.state.membership(), poll.voting) {
		m.recordContact(start)
	}
}

// recordContact records that a majority responded to requests sent since start.
func (m *monitor) recordContact(start time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if start.After(m.lastContact) {
		m.lastContact = start
	}
}

// chosenState returns the accepted state if the poll proves that it is chosen and
// the newest: a majority of its voters accepted it at the same ballot.
func (a *acceptor) chosenState(poll *pollResult) *State {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acceptedState == nil {
		return nil
	}
	acks := make(identitySet)
	for identity, p := range poll.positions {
		if poll.voting[identity] && sameBallot(p.GetAccepted(), a.acceptedBallot) && sameBallot(p.GetOrigin(), a.acceptedState.origin()) {
			acks[identity] = true
		}
	}
	if !hasQuorum(a.acceptedState.membership(), acks) {
		return nil
	}
	return a.acceptedState
}

// readFromMajority returns the newest chosen state if one poll proves it, else
// nil. It waits only for the responses that the proof needs, so that an
// unresponsive voter does not delay it.
func (m *monitor) readFromMajority(ctx context.Context) *State {
	if held, _ := m.voter.acceptor.newestState(); held == nil {
		return nil
	}
	var chosen *State
	m.pollVoters(ctx, func(poll *pollResult) bool {
		chosen = m.voter.acceptor.chosenState(poll)
		return chosen != nil
	})
	return chosen
}

// fetchFromVoters fetches newer states from the polled voters.
func (m *monitor) fetchFromVoters(ctx context.Context, poll *pollResult) {
	for _, member := range unionMembers(poll.state.membership()) {
		p := poll.positions[member.GetIdentity()]
		if p == nil || p.GetGroup() != poll.state.wire.GetGroup() || member.GetIdentity() == m.voter.acceptor.identity {
			continue
		}
		m.fetchFromPeer(ctx, m.voter.memberPeer(member), p)
	}
}

// fetchFromPeer fetches the states that a peer at the given position accepted or
// learned later than this instance.
func (m *monitor) fetchFromPeer(ctx context.Context, peer Peer, remote *voterwire.Position) {
	a := m.voter.acceptor
	if compareBallots(remote.GetAccepted(), a.position().GetAccepted()) > 0 {
		m.fetchAccepted(ctx, peer)
	}
	if a.learnAccepted(remote.GetGroup(), remote.GetLearnedOrigin()) {
		m.voter.signalLearned()
	} else if hasNewerLearned(remote, a.position()) {
		m.fetchLearned(ctx, peer)
	}
}

// hasNewerLearned reports whether remote has learned a newer state than local. Any
// learned state is newer than none: revisions alone don't show that, since the
// first state of a group has revision 0.
func hasNewerLearned(remote, local *voterwire.Position) bool {
	if remote.GetLearnedOrigin() == nil {
		return false
	}
	return local.GetLearnedOrigin() == nil || remote.GetLearnedRevision() > local.GetLearnedRevision()
}

// fetchAccepted fetches the state that a peer accepted. The response is the difference from
// the state held here at the request; meanwhile the acceptor may accept another one.
func (m *monitor) fetchAccepted(ctx context.Context, peer Peer) {
	a := m.voter.acceptor
	a.mu.Lock()
	held := a.acceptedState
	a.mu.Unlock()
	req := &voterwire.FetchStateRequest{}
	if held != nil {
		req.Have = held.origin()
	}
	resp, ok := fetchState(ctx, peer, req)
	if !ok {
		return
	}
	next, ok := applyTransfer(held, resp.GetTransfer())
	if !ok {
		return
	}
	if _, err := a.catchUp(resp.GetAccepted(), next); err != nil {
		m.voter.cfg.Log.Warn().Err(err).Msg("Failed to store the state of another voter.")
	}
}

func (m *monitor) fetchLearned(ctx context.Context, peer Peer) {
	learned := m.voter.Local()
	req := &voterwire.FetchStateRequest{Learned: true}
	if learned != nil {
		req.Have = learned.origin()
	}
	resp, ok := fetchState(ctx, peer, req)
	if !ok {
		return
	}
	if next, ok := applyTransfer(learned, resp.GetTransfer()); ok && m.voter.acceptor.learn(next) {
		m.voter.signalLearned()
	}
}

func fetchState(ctx context.Context, peer Peer, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	resp, err := peer.FetchState(ctx, req)
	return resp, err == nil && resp.GetTransfer() != nil
}

// notify schedules a notification of the voters that the state is chosen.
func (m *monitor) notify(state *State) {
	for {
		select {
		case m.notifications <- state:
			return
		default:
		}
		// The newer state replaces a waiting one.
		select {
		case <-m.notifications:
		default:
		}
	}
}

// runNotifications notifies the voters of chosen states until the voter stops.
func (m *monitor) runNotifications() error {
	ctx := m.voter.tomb.Context(context.Background())
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-m.notifications:
			m.notifyVoters(ctx, state)
		}
	}
}

func (m *monitor) notifyVoters(ctx context.Context, state *State) {
	req := &voterwire.QueryRequest{Group: state.wire.GetGroup(), LearnedOrigin: state.origin()}
	request := func(ctx context.Context, member *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.memberPeer(member).Query(ctx, req)
	}
	broadcast(ctx, unionMembers(state.membership()), request, func(*voterwire.Member, *voterwire.QueryResponse) bool { return false })
}
