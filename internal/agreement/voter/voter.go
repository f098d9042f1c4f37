// Package voter implements the consensus of the control instances on the
// newest configuration. The voters replicate one register: the document, the
// history of its changes and the set of voters. There is no leader: any
// instance can propose. In the prepare phase a majority promises to ignore
// older ballots, and the proposer takes the newest state that any of them
// accepted. In the accept phase it asks a majority to accept the next state.
// A change is acknowledged only after a majority has synced it to disk.
//
// The register also holds the evacuated failure domains. Orders that change them are
// proposals like changes, but create no version.
//
// A change names the version that it replaces. Of several changes that replace
// the same version one is accepted; the others get a conflict that contains the
// accepted one. Change ids are remembered, so that a resent change gets its
// first response again.
//
// Each voter has a random identity, created with its data folder. An instance
// that lost its disk returns under a new identity and does not vote until the
// others have replaced the old identity with the new one. During a replacement
// of voters, majorities of both the old and the new voters are needed (joint
// consensus).
//
// # Usage
//
//	v, err := voter.New(voter.Config{
//		Address:       "192.0.2.1:7000",
//		InitialVoters: []string{"192.0.2.1:7000", "192.0.2.2:7000", "192.0.2.3:7000"},
//		Journal:       journal,
//		Transport:     voter.NewConnectTransport(client),
//		Digest:        compiler.Digest,
//		OnVersion:     onVersion,
//		Log:           logger.Part(base, "voter"),
//		Scope:         scope,
//	})
//	path, handler := v.Handler()
//	mux.Handle(path, handler)
//	v.Start()
//	defer v.Stop()
//	resp, err := v.Submit(ctx, req)
package voter

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/telemetry/counter"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire/voterwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// operationTimeout bounds a submission and an attempt to form a group.
	operationTimeout = 10 * time.Second
	// readTimeout bounds a read: a partitioned instance reports within this time
	// that it is stale.
	readTimeout = 3 * time.Second
	// responseTimeDivisor divides the remaining time to get the part that is
	// reserved for returning the outcome.
	responseTimeDivisor = 10
)

// Values of the reason label of the submissions metric.
const (
	reasonAccepted   classifier.Reason = "accepted"
	reasonConflict   classifier.Reason = "conflict"
	reasonInvalid    classifier.Reason = "invalid"
	reasonTooOld     classifier.Reason = "too-old"
	reasonBaseTooNew classifier.Reason = "base-too-new"
	reasonNoMajority classifier.Reason = "no-majority"
	reasonUnknown    classifier.Reason = "outcome-unknown"
	reasonOther      classifier.Reason = "other"
)

// DigestFunc returns the digest of a document in canonical order.
type DigestFunc func(*controlwire.Document) []byte

// Config holds the settings and dependencies of a Voter.
type Config struct {
	// Address is the address at which other instances reach this one.
	Address string
	// InitialVoters lists the addresses of the instances that form the group, the
	// same at all of them. Once the group has formed, the document names the voters.
	InitialVoters []string
	// StateSources returns the addresses of other instances to fetch the group's
	// state from, besides the initial ones. It may be nil.
	StateSources func() []string
	// ToleratedLosses is how many voters may be lost at the same time. The group
	// adds instances until it has enough voters for that, accepts no change until
	// then, and replaces unresponsive voters. With 0 only the document names the voters.
	ToleratedLosses int
	// Journal stores the durable state.
	Journal Journal
	// CatchUpBytes bounds what the voter keeps in memory for others that are behind, and what
	// it sends them at the same time. If it is 0, retainer.DefaultBytes is used.
	CatchUpBytes int
	// Transport connects to the other instances.
	Transport Transport
	// Digest computes the digest of a document.
	Digest DigestFunc
	// OnVersion is called with newer versions that are known to be chosen, in
	// ascending order; some may be skipped. It may be nil.
	OnVersion func(*controlwire.Version)
	// OnEvacuation is like OnVersion, for the evacuated failure domains. At a start it is
	// called first. It may be nil.
	OnEvacuation func(*controlwire.Evacuation)
	// Random must be seeded differently at each start of each instance. If nil, a
	// generator seeded by the operating system is used.
	Random *rand.Rand
	// Log receives the voter's log lines.
	Log zerolog.Logger
	// Scope receives the voter's metrics.
	Scope tally.Scope
}

// Voter is one instance's participant in the consensus: acceptor, proposer and
// learner.
type Voter struct {
	cfg              Config
	acceptor         *acceptor
	proposer         *proposer
	monitor          *monitor
	submissions      *counter.Counter
	evacuationOrders *counter.Counter
	learnedSignal    chan struct{}  // Signaled when a newer state was learned.
	transfers        *retainer.Gate // Of the states that other instances fetch.
	tomb             tomb.Tomb
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
	cfg.InitialVoters = slices.Compact(slices.Sorted(slices.Values(cfg.InitialVoters)))
	a, err := newAcceptor(cfg.Journal, randomID(cfg.Random))
	if err != nil {
		return nil, fmt.Errorf("read voter's journal: %w", err)
	}
	cfg.CatchUpBytes = cmp.Or(cfg.CatchUpBytes, retainer.DefaultBytes)
	a.limitCatchUp(cfg.CatchUpBytes)
	v := &Voter{
		cfg:              cfg,
		acceptor:         a,
		submissions:      counter.New(cfg.Scope, "submissions"),
		evacuationOrders: counter.New(cfg.Scope, "evacuation_orders"),
		learnedSignal:    make(chan struct{}, 1),
		transfers:        retainer.NewGate(cfg.CatchUpBytes),
	}
	v.proposer = newProposer(a, a.identity+"/"+randomID(cfg.Random), v.memberPeer, cfg.Random)
	v.monitor = newMonitor(v)
	return v, nil
}

func randomID(random *rand.Rand) string {
	return fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
}

// Start starts the voter's goroutines.
func (v *Voter) Start() {
	v.tomb.Go(v.monitor.run)
	v.tomb.Go(v.monitor.runNotifications)
	v.tomb.Go(v.reportStates)
}

// Stop stops the voter's goroutines and waits until they have ended.
func (v *Voter) Stop() error {
	v.tomb.Kill(nil)
	if err := v.tomb.Wait(); err != nil {
		return fmt.Errorf("stop voter: %w", err)
	}
	return nil
}

// Handler returns the path and the handler of requests from other voters.
func (v *Voter) Handler() (string, http.Handler) {
	return voterwireconnect.NewVoterHandler(&connectHandler{peer: v.Peer(), transfers: v.transfers}, connect.WithReadMaxBytes(retainer.MaxMessageBytes))
}

// Peer returns this voter as a Peer that is called without the network.
func (v *Voter) Peer() Peer { return &localPeer{voter: v} }

// Identity returns the instance's identity.
func (v *Voter) Identity() string { return v.acceptor.identity }

// Local returns the newest state that this instance knows to be chosen, or nil.
// It sends no request.
func (v *Voter) Local() *State { return v.acceptor.learnedState() }

// Submit proposes a change and returns its outcome. ErrNoMajority means that
// the change was not proposed, ErrOutcomeUnknown that it may or may not have
// been accepted.
func (v *Voter) Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	return v.submitAndReport(ctx, req, nil)
}

// SubmitDerived is like Submit, but the change's document is derived from the version that
// it replaces, once that version is known to be the newest. An error of derive refuses the
// change with ErrInvalid. derive may be called several times.
func (v *Voter) SubmitDerived(ctx context.Context, req *controlwire.SubmitRequest, derive DocumentFunc) (*controlwire.SubmitResponse, error) {
	return v.submitAndReport(ctx, req, derive)
}

func (v *Voter) submitAndReport(ctx context.Context, req *controlwire.SubmitRequest, derive DocumentFunc) (*controlwire.SubmitResponse, error) {
	sub := newSubmission(req, derive, v.cfg.Digest)
	resp, err := v.submit(ctx, sub)
	reason := submissionReason(resp, err)
	v.submissions.Inc(reason)
	v.cfg.Log.Info().Str("change", req.GetChangeId()).Str("operator", req.GetOperator()).
		Uint64("replaces", req.GetReplaces()).Uint64("wanted", req.GetVersion()).Uint64("version", resp.GetVersion()).
		Hex("digest", sub.digest).Str("result", string(reason)).AnErr("error", err).Msg("Submission finished.")
	if err != nil {
		return nil, fmt.Errorf("submit change: %w", err)
	}
	return resp, nil
}

// Current returns the newest chosen state, confirmed by a majority. If no
// majority confirms it within readTimeout, it returns ErrStale.
func (v *Voter) Current(ctx context.Context) (*State, error) {
	ctx, cancel := withTimeout(ctx, readTimeout)
	defer cancel()
	if state := v.monitor.readFromMajority(ctx); state != nil {
		v.learn(state)
		return state, nil
	}
	state, err := v.propose(ctx, &proposal{transition: confirm})
	if errors.Is(err, ErrNoGroup) {
		return nil, fmt.Errorf("read newest version: %w", err)
	}
	if err != nil {
		return nil, fmt.Errorf("read newest version: %w: %w", ErrStale, err)
	}
	return state, nil
}

// propose runs a proposal, learns the chosen state and returns it.
func (v *Voter) propose(ctx context.Context, p *proposal) (*State, error) {
	start := time.Now()
	state, err := v.proposer.propose(ctx, p)
	if err != nil {
		return nil, err
	}
	v.monitor.recordContact(start)
	v.learn(state)
	return state, nil
}

// confirm is the transitionFunc that changes nothing.
func confirm(*State) *voterwire.Transition { return nil }

func (v *Voter) submit(ctx context.Context, sub *submission) (*controlwire.SubmitResponse, error) {
	ctx, cancel := withTimeout(ctx, operationTimeout)
	defer cancel()
	if err := sub.prepare(); err != nil {
		return nil, err
	}
	if held, _ := v.acceptor.newestState(); held != nil && !v.hasRequiredVoters(held) {
		return nil, fmt.Errorf("%w: %d of %d", ErrTooFewVoters, len(held.membership().GetVoters()), v.requiredVoters())
	}
	p := &proposal{transition: sub.decide}
	for {
		state, err := v.propose(ctx, p)
		if err != nil {
			return nil, proposalError(err, p.sent)
		}
		switch {
		case len(sub.unresolved) > 0:
			err = v.resolveIdentities(ctx, sub)
		case sub.replacementPending:
			err = v.finishReplacement(ctx, state)
		default:
			v.tryFinishReplacement(ctx, state)
			if p.sent && errors.Is(sub.err, ErrBaseTooNew) {
				// An earlier attempt proposed the change on a state that may still be chosen.
				return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, sub.err)
			}
			return sub.response, sub.err
		}
		if err != nil {
			return nil, err
		}
	}
}

// proposalError wraps the error of a failed proposal in ErrOutcomeUnknown if it
// may have been accepted, else in ErrNoMajority.
func proposalError(err error, sent bool) error {
	switch {
	case errors.Is(err, ErrNoGroup), errors.Is(err, ErrInvalid):
		return err
	case sent:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	default:
		return fmt.Errorf("%w: %w", ErrNoMajority, err)
	}
}

// resolveIdentities queries the identities of instances that would become
// voters.
func (v *Voter) resolveIdentities(ctx context.Context, sub *submission) error {
	for _, address := range sub.unresolved {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := v.peerAt(address).Query(callCtx, &voterwire.QueryRequest{})
		cancel()
		if err != nil {
			return fmt.Errorf("%w: %s: %w", ErrVoterNotReady, address, err)
		}
		if resp.GetPosition().GetFailed() {
			return fmt.Errorf("%w: %s: its disk failed", ErrVoterNotReady, address)
		}
		sub.identities[address] = resp.GetPosition().GetIdentity()
	}
	return nil
}

// learn records a state that is known to be chosen and notifies the voters of
// it.
func (v *Voter) learn(state *State) {
	if !v.acceptor.learn(state) {
		return
	}
	v.signalLearned()
	v.monitor.notify(state)
}

func (v *Voter) signalLearned() {
	select {
	case v.learnedSignal <- struct{}{}:
	default:
	}
}

// reportStates calls OnEvacuation and OnVersion for newer states until the voter stops.
func (v *Voter) reportStates() error {
	reported, reportedEvacuation := uint64(0), uint64(0)
	for {
		if state := v.Local(); state != nil {
			v.reportEvacuation(state, &reportedEvacuation)
			if state.number() > reported && v.cfg.OnVersion != nil {
				reported = state.number()
				v.cfg.OnVersion(state.Version())
			}
		}
		select {
		case <-v.tomb.Dying():
			return nil
		case <-v.learnedSignal:
		}
	}
}

// memberPeer returns the peer of a member. This instance's own voter is called
// without the network.
func (v *Voter) memberPeer(member *voterwire.Member) Peer {
	if member.GetIdentity() == v.acceptor.identity {
		return v.Peer()
	}
	return v.peerAt(member.GetAddress())
}

// stateSources returns the other instances from which the group's state may be
// fetched. Only their addresses are set.
func (v *Voter) stateSources() []*voterwire.Member {
	addresses := v.cfg.InitialVoters
	if v.cfg.StateSources != nil {
		addresses = slices.Concat(addresses, v.cfg.StateSources())
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

// withTimeout bounds ctx by the timeout, and reserves time to return the
// outcome before the deadline of ctx.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timeout = min(timeout, left-left/responseTimeDivisor)
	}
	return context.WithTimeout(ctx, timeout)
}

func submissionReason(resp *controlwire.SubmitResponse, err error) classifier.Reason {
	switch {
	case err == nil && resp.GetResult() == controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT:
		return reasonConflict
	case err == nil:
		return reasonAccepted
	case errors.Is(err, ErrInvalid):
		return reasonInvalid
	case errors.Is(err, ErrOutcomeUnknown):
		return reasonUnknown
	case errors.Is(err, ErrTooOld):
		return reasonTooOld
	case errors.Is(err, ErrBaseTooNew):
		return reasonBaseTooNew
	case errors.Is(err, ErrNoMajority), errors.Is(err, ErrTooFewVoters):
		return reasonNoMajority
	default:
		return reasonOther
	}
}
