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
	// staleAfter is how long no majority may answer before the instance is stale.
	staleAfter = 3 * time.Second
	// confirmBeats is how many heartbeats in a row must see the same need
	// before the instance acts on it.
	confirmBeats = 2
	// repairTimeout bounds one attempt to repair the group.
	repairTimeout = 5 * time.Second
	// repairPause is the mean pause before it, so that not all voters start at once.
	repairPause = 400 * time.Millisecond
)

// survey is what one heartbeat found out.
type survey struct {
	known     *State // The state whose voters were asked.
	positions map[string]*voterwire.Position
	responded identitySet
}

// monitor exchanges heartbeats with the voters. It learns what was chosen,
// knows whether a majority is in reach, and repairs the group.
type monitor struct {
	voter     *Voter
	chosen    chan *State   // A chosen state that the voters are to be told.
	repairing chan struct{} // Full while an attempt to repair the group runs.

	mu          sync.Mutex
	lastContact time.Time // Start of the last heartbeat or proposal that a majority answered.
	last        *survey

	// Only the goroutine of run uses these.
	undecided int            // Heartbeats in a row that found no chosen state.
	lost      map[string]int // Heartbeats in a row that found another identity, by address.
	silent    map[string]int // Heartbeats in a row that a voter left unanswered, by identity.
}

func newMonitor(v *Voter) *monitor {
	return &monitor{
		voter:       v,
		chosen:      make(chan *State, 1),
		repairing:   make(chan struct{}, 1),
		lastContact: time.Now().Add(-staleAfter),
		lost:        make(map[string]int),
		silent:      make(map[string]int),
	}
}

// run sends heartbeats until the voter stops.
func (m *monitor) run() error {
	ctx := m.voter.tomb.Context(context.Background())
	for {
		next := time.Now().Add(heartbeatInterval)
		m.beat(ctx)
		if !sleep(ctx, time.Until(next)) {
			return nil
		}
	}
}

// beat does the work of one heartbeat.
func (m *monitor) beat(ctx context.Context) {
	if held, _ := m.voter.acceptor.held(); held == nil && !m.join(ctx) {
		return
	}
	s := m.survey(ctx, func(*survey) bool { return false })
	m.pull(ctx, s)
	if !hasQuorum(s.known.membership(), s.responded) {
		// The voters known here may have been replaced long ago.
		m.pullFromSources(ctx)
	}
	chosen := m.voter.acceptor.chosen(s)
	if chosen == nil {
		m.undecided++
	} else {
		m.undecided = 0
		m.voter.learn(chosen)
	}
	m.repair(ctx, s, chosen)
}

// join looks for a group to belong to, or forms one. It reports whether the
// instance now holds the group's state.
func (m *monitor) join(ctx context.Context) bool {
	if m.pullFromSources(ctx) {
		m.voter.cfg.Log.Info().Msg("State of the group received.")
		return true
	}
	if !m.voter.mayForm() {
		return false
	}
	formCtx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if err := m.voter.form(formCtx); err != nil {
		m.voter.cfg.Log.Debug().Err(err).Msg("Group not formed yet.")
		return false
	}
	return true
}

// pullFromSources brings this instance up to date with the initial voters and
// the other sources, whether these vote or not. An instance that belongs to a
// group takes nothing from another one. It reports whether it now holds a state.
func (m *monitor) pullFromSources(ctx context.Context) bool {
	a := m.voter.acceptor
	request := func(ctx context.Context, source *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.peer(source).Query(ctx, &voterwire.QueryRequest{})
	}
	gather(ctx, m.voter.sources(), request, func(source *voterwire.Member, resp *voterwire.QueryResponse) bool {
		p := resp.GetPosition()
		group := a.position().GetGroup()
		if p.GetLearnedOrigin() != nil && (group == "" || p.GetGroup() == group) {
			m.pullFrom(ctx, m.voter.peer(source), p)
		}
		return false
	})
	held, _ := a.held()
	return held != nil
}

// survey asks all voters what they hold, until enough have answered.
func (m *monitor) survey(ctx context.Context, enough func(*survey) bool) *survey {
	start := time.Now()
	known, _ := m.voter.acceptor.held()
	s := &survey{known: known, positions: make(map[string]*voterwire.Position), responded: make(identitySet)}
	req := &voterwire.QueryRequest{Group: known.wire.GetGroup()}
	if learned := m.voter.Local(); learned != nil {
		req.LearnedOrigin = learned.origin()
	}
	request := func(ctx context.Context, member *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.peer(member).Query(ctx, req)
	}
	gather(ctx, unite(known.membership()), request, func(member *voterwire.Member, resp *voterwire.QueryResponse) bool {
		s.positions[member.GetIdentity()] = resp.GetPosition()
		if s.votes(member) {
			s.responded[member.GetIdentity()] = true
		}
		return enough(s)
	})
	m.record(s, start)
	return s
}

// votes reports whether the member answered as a voter of the group.
func (s *survey) votes(member *voterwire.Member) bool {
	p := s.positions[member.GetIdentity()]
	return p.GetIdentity() == member.GetIdentity() && !p.GetFailed() && (p.GetGroup() == "" || p.GetGroup() == s.known.wire.GetGroup())
}

func (m *monitor) record(s *survey, start time.Time) {
	m.mu.Lock()
	m.last = s
	m.mu.Unlock()
	if hasQuorum(s.known.membership(), s.responded) {
		m.contacted(start)
	}
}

// contacted notes that a majority answered what was asked after start.
func (m *monitor) contacted(start time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if start.After(m.lastContact) {
		m.lastContact = start
	}
}

// chosen returns the state held if the survey proves that it is chosen and
// the newest: a majority of its voters accepted it at the same ballot.
func (a *acceptor) chosen(s *survey) *State {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == nil {
		return nil
	}
	acks := make(identitySet)
	for identity, p := range s.positions {
		if s.responded[identity] && sameBallot(p.GetAccepted(), a.accepted) && sameBallot(p.GetOrigin(), a.state.origin()) {
			acks[identity] = true
		}
	}
	if !hasQuorum(a.state.membership(), acks) {
		return nil
	}
	return a.state
}

// read returns the newest accepted state if one round of questions proves it.
// It waits for no more answers than that takes: a silent voter delays nothing.
func (m *monitor) read(ctx context.Context) *State {
	if held, _ := m.voter.acceptor.held(); held == nil {
		return nil
	}
	var chosen *State
	m.survey(ctx, func(s *survey) bool {
		chosen = m.voter.acceptor.chosen(s)
		return chosen != nil
	})
	return chosen
}

// pull brings this instance up to date with the voters that are ahead.
func (m *monitor) pull(ctx context.Context, s *survey) {
	for _, member := range unite(s.known.membership()) {
		p := s.positions[member.GetIdentity()]
		if p == nil || p.GetGroup() != s.known.wire.GetGroup() || member.GetIdentity() == m.voter.acceptor.identity {
			continue
		}
		m.pullFrom(ctx, m.voter.peer(member), p)
	}
}

// pullFrom fetches what a peer at the given position has accepted or learned
// later than this instance.
func (m *monitor) pullFrom(ctx context.Context, peer Peer, theirs *voterwire.Position) {
	a := m.voter.acceptor
	if compareBallots(theirs.GetAccepted(), a.position().GetAccepted()) > 0 {
		m.pullAccepted(ctx, peer)
	}
	if a.learnOrigin(theirs.GetGroup(), theirs.GetLearnedOrigin()) {
		m.voter.signalNews()
	} else if hasLearnedLater(theirs, a.position()) {
		m.pullLearned(ctx, peer)
	}
}

// hasLearnedLater reports whether theirs knows a newer chosen state than own.
// The first state of a group has revision 0.
func hasLearnedLater(theirs, own *voterwire.Position) bool {
	if theirs.GetLearnedOrigin() == nil {
		return false
	}
	return own.GetLearnedOrigin() == nil || theirs.GetLearnedRevision() > own.GetLearnedRevision()
}

func (m *monitor) pullAccepted(ctx context.Context, peer Peer) {
	a := m.voter.acceptor
	resp, ok := fetchState(ctx, peer, &voterwire.FetchStateRequest{Have: a.position().GetOrigin()})
	if !ok {
		return
	}
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	next, ok := applyTransfer(state, resp.GetTransfer())
	if !ok {
		return
	}
	if _, err := a.catchUp(resp.GetAccepted(), next); err != nil {
		m.voter.cfg.Log.Warn().Err(err).Msg("State of another voter not stored.")
	}
}

func (m *monitor) pullLearned(ctx context.Context, peer Peer) {
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
		m.voter.signalNews()
	}
}

func fetchState(ctx context.Context, peer Peer, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	resp, err := peer.FetchState(ctx, req)
	return resp, err == nil && resp.GetTransfer() != nil
}

// tell has the voters told which state is chosen.
func (m *monitor) tell(state *State) {
	for {
		select {
		case m.chosen <- state:
			return
		default:
		}
		// A newer state takes the place of one that waits.
		select {
		case <-m.chosen:
		default:
		}
	}
}

// runTelling tells the voters which states are chosen, until the voter stops.
func (m *monitor) runTelling() error {
	ctx := m.voter.tomb.Context(context.Background())
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-m.chosen:
			m.tellAll(ctx, state)
		}
	}
}

func (m *monitor) tellAll(ctx context.Context, state *State) {
	req := &voterwire.QueryRequest{Group: state.wire.GetGroup(), LearnedOrigin: state.origin()}
	request := func(ctx context.Context, member *voterwire.Member) (*voterwire.QueryResponse, error) {
		return m.voter.peer(member).Query(ctx, req)
	}
	gather(ctx, unite(state.membership()), request, func(*voterwire.Member, *voterwire.QueryResponse) bool { return false })
}
