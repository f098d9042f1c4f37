// Package voter agrees with other control instances on the newest
// configuration. The voters keep one replicated register: the document, the
// history of its changes and the set of voters. There is no leader. Any
// instance proposes: it asks a majority for the promise to ignore older
// ballots, takes the newest state that any of them accepted, and asks a
// majority to accept the next one. An answer is given only after a majority
// has synced it to disk.
//
// A change names the version that it replaces. Of changes that replace the
// same version one is accepted, and the others are answered with that one.
// Change ids are remembered, so that a change that is sent again gets its
// first answer again.
//
// Each voter has a random identity, made with its data folder. An instance
// that lost its disk returns under a new identity and does not vote until the
// others have replaced the old identity by the new one. While voters are
// replaced, majorities of the old and of the new ones are needed.
//
// # Usage
//
//	v, err := voter.New(voter.Config{
//		Address:   "192.0.2.1:7000",
//		Initial:   []string{"192.0.2.1:7000", "192.0.2.2:7000", "192.0.2.3:7000"},
//		Journal:   journal,
//		Transport: voter.NewConnectTransport(client),
//		Digest:    compiler.Digest,
//		OnVersion: distributor.Announce,
//		Log:       logger.Part(base, "voter"),
//		Scope:     scope,
//	})
//	path, handler := v.Handler()
//	mux.Handle(path, handler)
//	v.Start()
//	defer v.Stop()
//	resp, err := v.Submit(ctx, req)
package voter

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/counter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire/voterwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// operationTimeout bounds a submission.
	operationTimeout = 10 * time.Second
	// readTimeout bounds a read: an instance behind a partition says within
	// this time that it is stale.
	readTimeout = 3 * time.Second
	// answerShare is the part of the remaining time, as a divisor, that is left
	// to tell the outcome.
	answerShare = 10
)

// Reasons by which submissions are counted.
const (
	reasonAccepted   classifier.Reason = "accepted"
	reasonConflict   classifier.Reason = "conflict"
	reasonInvalid    classifier.Reason = "invalid"
	reasonTooOld     classifier.Reason = "too-old"
	reasonNoMajority classifier.Reason = "no-majority"
	reasonUnknown    classifier.Reason = "outcome-unknown"
	reasonOther      classifier.Reason = "other"
)

// Digester returns the digest of a document in canonical order.
type Digester func(*controlwire.Document) []byte

// Config lists what a Voter needs.
type Config struct {
	// Address is where other instances reach this one.
	Address string
	// Initial lists the addresses of the instances that form the group. It is
	// the same at all of them. Later the document names the voters.
	Initial []string
	// Sources returns the addresses of other instances to fetch the group's
	// state from, besides the initial ones. It may be nil.
	Sources func() []string
	// Tolerated is how many voters may be lost at the same time. The group takes
	// in other instances until it has the voters for that, acknowledges nothing
	// before, and gives the places of silent voters to others. With 0 only the
	// document names the voters.
	Tolerated int
	// Journal keeps the durable state.
	Journal Journal
	// Transport reaches the other instances.
	Transport Transport
	// Digest makes the digest of a document.
	Digest Digester
	// OnVersion is called with each newer version that is known to be
	// accepted, in order; some may be left out. It may be nil.
	OnVersion func(*controlwire.Version)
	// Random is seeded differently at each start of each instance. If it is
	// nil, a generator with a seed of the operating system is used.
	Random *rand.Rand
	// Log gets what the voter does.
	Log zerolog.Logger
	// Scope gets the metrics.
	Scope tally.Scope
}

// Voter is one instance's part in the agreement.
type Voter struct {
	cfg      Config
	acceptor *acceptor
	proposer *proposer
	monitor  *monitor
	results  *counter.Counter
	news     chan struct{} // Signals that a newer state was learned.
	tomb     tomb.Tomb
}

// New reads the journal and returns a voter that has not started.
func New(cfg Config) (*Voter, error) {
	if cfg.Random == nil {
		var seed [32]byte
		if _, err := crand.Read(seed[:]); err != nil {
			return nil, fmt.Errorf("read seed: %w", err)
		}
		cfg.Random = rand.New(rand.NewChaCha8(seed))
	}
	cfg.Initial = slices.Compact(slices.Sorted(slices.Values(cfg.Initial)))
	a, err := newAcceptor(cfg.Journal, randomName(cfg.Random))
	if err != nil {
		return nil, fmt.Errorf("read voter's journal: %w", err)
	}
	v := &Voter{
		cfg:      cfg,
		acceptor: a,
		results:  counter.New(cfg.Scope, "submissions"),
		news:     make(chan struct{}, 1),
	}
	v.proposer = newProposer(a, a.identity+"/"+randomName(cfg.Random), v.peer, cfg.Random)
	v.monitor = newMonitor(v)
	return v, nil
}

func randomName(random *rand.Rand) string {
	return fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
}

// Start starts the voter's background work.
func (v *Voter) Start() {
	v.tomb.Go(v.monitor.run)
	v.tomb.Go(v.monitor.runTelling)
	v.tomb.Go(v.announce)
}

// Stop ends the background work and waits for it.
func (v *Voter) Stop() error {
	v.tomb.Kill(nil)
	if err := v.tomb.Wait(); err != nil {
		return fmt.Errorf("stop voter: %w", err)
	}
	return nil
}

// Handler returns the handler of messages from other voters, and its path.
func (v *Voter) Handler() (string, http.Handler) {
	return voterwireconnect.NewVoterHandler(&connectHandler{peer: v.Peer()})
}

// Peer returns what the voter offers to other voters.
func (v *Voter) Peer() Peer { return &localPeer{voter: v} }

// Identity returns the instance's identity.
func (v *Voter) Identity() string { return v.acceptor.identity }

// Local returns the newest state that the instance knows to be accepted,
// without asking others, or nil.
func (v *Voter) Local() *State { return v.acceptor.learnedState() }

// Submit proposes a change and returns its outcome. ErrNoMajority says that
// the change was not proposed, ErrOutcomeUnknown that it may or may not be
// accepted.
func (v *Voter) Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	resp, err := v.submit(ctx, req)
	reason := reasonOf(resp, err)
	v.results.Inc(reason)
	v.cfg.Log.Info().Str("change", req.GetChangeId()).Str("operator", req.GetOperator()).
		Uint64("replaces", req.GetReplaces()).Uint64("wanted", req.GetVersion()).Uint64("version", resp.GetVersion()).
		Str("result", string(reason)).AnErr("error", err).Msg("Change decided.")
	if err != nil {
		return nil, fmt.Errorf("submit change: %w", err)
	}
	return resp, nil
}

// Current returns the newest accepted state, confirmed by a majority, or
// ErrStale within readTimeout.
func (v *Voter) Current(ctx context.Context) (*State, error) {
	ctx, cancel := withTimeout(ctx, readTimeout)
	defer cancel()
	if state := v.monitor.read(ctx); state != nil {
		v.learn(state)
		return state, nil
	}
	state, err := v.propose(ctx, &proposal{next: confirm})
	if errors.Is(err, ErrNoGroup) {
		return nil, fmt.Errorf("read newest version: %w", err)
	}
	if err != nil {
		return nil, fmt.Errorf("read newest version: %w: %w", ErrStale, err)
	}
	return state, nil
}

// propose has a proposal accepted, and learns the state that is then chosen.
func (v *Voter) propose(ctx context.Context, p *proposal) (*State, error) {
	start := time.Now()
	state, err := v.proposer.propose(ctx, p)
	if err != nil {
		return nil, err
	}
	v.monitor.contacted(start)
	v.learn(state)
	return state, nil
}

// confirm is the step that changes nothing.
func confirm(*State) *voterwire.Transition { return nil }

func (v *Voter) submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	ctx, cancel := withTimeout(ctx, operationTimeout)
	defer cancel()
	s, err := newSubmission(req, v.cfg.Digest)
	if err != nil {
		return nil, err
	}
	if held, _ := v.acceptor.held(); held != nil && !v.complete(held) {
		return nil, fmt.Errorf("%w: %d of %d", ErrTooFewVoters, len(held.membership().GetVoters()), v.wantedVoters())
	}
	p := &proposal{next: s.next}
	for {
		state, err := v.propose(ctx, p)
		if err != nil {
			return nil, classify(err, p.sent)
		}
		switch {
		case len(s.unresolved) > 0:
			err = v.resolve(ctx, s)
		case s.replacing:
			err = v.finishReplacing(ctx, state)
		default:
			v.tryFinishReplacing(ctx, state)
			return s.answer, s.err
		}
		if err != nil {
			return nil, err
		}
	}
}

// classify tells whether a failed proposal may have been accepted.
func classify(err error, sent bool) error {
	switch {
	case errors.Is(err, ErrNoGroup), errors.Is(err, ErrInvalid):
		return err
	case sent:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	default:
		return fmt.Errorf("%w: %w", ErrNoMajority, err)
	}
}

// resolve asks the instances that are to become voters for their identities.
func (v *Voter) resolve(ctx context.Context, s *submission) error {
	for _, address := range s.unresolved {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := v.peerAt(address).Query(callCtx, &voterwire.QueryRequest{})
		cancel()
		if err != nil {
			return fmt.Errorf("%w: %s: %w", ErrVoterUnreachable, address, err)
		}
		if resp.GetPosition().GetFailed() {
			return fmt.Errorf("%w: %s: its disk failed", ErrVoterUnreachable, address)
		}
		s.identities[address] = resp.GetPosition().GetIdentity()
	}
	return nil
}

// learn takes over a state that is known to be chosen.
func (v *Voter) learn(state *State) {
	if !v.acceptor.learn(state) {
		return
	}
	v.signalNews()
	v.monitor.tell(state)
}

func (v *Voter) signalNews() {
	select {
	case v.news <- struct{}{}:
	default:
	}
}

// announce calls OnVersion for newer versions.
func (v *Voter) announce() error {
	announced := uint64(0)
	for {
		if state := v.Local(); state != nil && state.number() > announced && v.cfg.OnVersion != nil {
			announced = state.number()
			v.cfg.OnVersion(state.Version())
		}
		select {
		case <-v.tomb.Dying():
			return nil
		case <-v.news:
		}
	}
}

// peer returns the given member. Its own voter is asked without the network.
func (v *Voter) peer(m *voterwire.Member) Peer {
	if m.GetIdentity() == v.acceptor.identity {
		return v.Peer()
	}
	return v.peerAt(m.GetAddress())
}

// sources returns the other instances from which the group's state may be
// fetched, by their addresses alone.
func (v *Voter) sources() []*voterwire.Member {
	addresses := v.cfg.Initial
	if v.cfg.Sources != nil {
		addresses = slices.Concat(addresses, v.cfg.Sources())
	}
	var members []*voterwire.Member
	for _, address := range slices.Compact(slices.Sorted(slices.Values(addresses))) {
		if address != v.cfg.Address {
			members = append(members, &voterwire.Member{Address: address})
		}
	}
	return members
}

func (v *Voter) peerAt(address string) Peer {
	if address == v.cfg.Address {
		return v.Peer()
	}
	return v.cfg.Transport.Peer(address)
}

// withTimeout bounds an operation so that its outcome can still be told
// before ctx ends.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timeout = min(timeout, left-left/answerShare)
	}
	return context.WithTimeout(ctx, timeout)
}

func reasonOf(resp *controlwire.SubmitResponse, err error) classifier.Reason {
	switch {
	case err == nil && resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT:
		return reasonConflict
	case err == nil:
		return reasonAccepted
	case errors.Is(err, ErrInvalid):
		return reasonInvalid
	case errors.Is(err, ErrTooOld):
		return reasonTooOld
	case errors.Is(err, ErrNoMajority), errors.Is(err, ErrTooFewVoters):
		return reasonNoMajority
	case errors.Is(err, ErrOutcomeUnknown):
		return reasonUnknown
	default:
		return reasonOther
	}
}
