package voter

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// nullJournal returns the given records and discards everything written to it.
type nullJournal [][]byte

func (j nullJournal) Records() [][]byte            { return j }
func (nullJournal) Append(...[]byte) error         { return nil }
func (nullJournal) AppendUnsynced(...[]byte) error { return nil }
func (nullJournal) Rewrite([][]byte) error         { return nil }
func (nullJournal) Appended() int64                { return 0 }

// failingJournal fails each append while err is set.
type failingJournal struct {
	nullJournal
	err error
}

func (j *failingJournal) Append(...[]byte) error { return j.err }

func ballot(round uint64) *voterwire.Ballot { return &voterwire.Ballot{Round: round, Proposer: "p"} }

func genesisState(group string) *voterwire.State {
	return &voterwire.State{
		Group: group, Origin: &voterwire.Ballot{Proposer: group}, Version: &controlwire.Version{},
		Membership: &voterwire.Membership{Voters: []*voterwire.Member{{Identity: "me"}}},
	}
}

// newGroupAcceptor returns an acceptor that accepted the first state of group g at
// round 3 and promised round 5.
func newGroupAcceptor(t *testing.T) *acceptor {
	t.Helper()
	a, err := newAcceptor(nullJournal{}, "me")
	assert.NilError(t, err)
	ok, err := a.catchUp(ballot(3), newState(genesisState("g")))
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Assert(t, promises(t, a, "g", "me", 5))
	return a
}

func promises(t *testing.T, a *acceptor, group, to string, round uint64) bool {
	t.Helper()
	resp, err := a.prepare(&voterwire.PrepareRequest{Group: group, To: to, Ballot: ballot(round)})
	assert.NilError(t, err)
	return resp.GetPromised()
}

func accepts(t *testing.T, a *acceptor, group, to string, round uint64) bool {
	t.Helper()
	state := newState(genesisState(group))
	resp, err := a.accept(&voterwire.AcceptRequest{
		Group: group, To: to, Ballot: ballot(round), Origin: state.origin(), Transfer: state.transferFrom(nil),
	})
	assert.NilError(t, err)
	return resp.GetAccepted()
}

func TestAcceptorVotes(t *testing.T) {
	for name, c := range map[string]struct {
		group, to string
		round     uint64
		want      bool
	}{
		"newer ballot":     {"g", "me", 6, true},
		"same ballot":      {"g", "me", 5, true},
		"older ballot":     {"g", "me", 4, false},
		"another group":    {"h", "me", 6, false},
		"another identity": {"g", "you", 6, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, promises(t, newGroupAcceptor(t), c.group, c.to, c.round), c.want)
			assert.Equal(t, accepts(t, newGroupAcceptor(t), c.group, c.to, c.round), c.want)
		})
	}
}

func TestFailedDiskEndsVoting(t *testing.T) {
	a := newGroupAcceptor(t)
	journal := &failingJournal{err: errors.New("sync failed")}
	a.journal = journal
	_, err := a.prepare(&voterwire.PrepareRequest{Group: "g", To: "me", Ballot: ballot(6)})
	assert.ErrorIs(t, err, journal.err)
	journal.err = nil // What a failed sync left on the disk is unknown.
	assert.Assert(t, !promises(t, a, "g", "me", 6))
	assert.Assert(t, !accepts(t, a, "g", "me", 6))
}

func TestCatchUpKeepsPromise(t *testing.T) {
	a := newGroupAcceptor(t)
	ok, err := a.catchUp(ballot(4), newState(genesisState("g")))
	assert.NilError(t, err)
	assert.Assert(t, !ok)
}

func TestReservationBindsToOneGroup(t *testing.T) {
	resp, err := newGroupAcceptor(t).reserve(genesisState("h"))
	assert.NilError(t, err)
	assert.Assert(t, !resp.GetReserved())
	fresh, err := newAcceptor(nullJournal{}, "me")
	assert.NilError(t, err)
	resp, err = fresh.reserve(genesisState("h"))
	assert.NilError(t, err)
	assert.Assert(t, resp.GetReserved())
	// The acceptor does not vote in other groups than the reserved one.
	assert.Assert(t, !promises(t, fresh, "g", "me", 1))
	assert.Assert(t, promises(t, fresh, "h", "me", 1))
}

func TestOnlyChosenReplacementIsFinished(t *testing.T) {
	wire := genesisState("g")
	wire.Membership = jointMembership(wire.GetMembership(), wire.GetMembership().GetVoters())
	accepted := &voterwire.Accepted{Ballot: ballot(1), Origin: wire.GetOrigin(), Transfer: &voterwire.Transfer{Snapshot: wire}}
	identity := encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Identity{Identity: "me"}})
	v, err := New(Config{Journal: nullJournal{identity, acceptedRecord(accepted)}, Log: zerolog.Nop(), Scope: tally.NoopScope})
	assert.NilError(t, err)
	held, _ := v.acceptor.newestState()
	for _, c := range []struct {
		chosen   *State
		previous int
	}{
		{newState(genesisState("h")), 1},
		{held, 0},
	} {
		assert.NilError(t, v.finishReplacement(context.Background(), c.chosen))
		state, _ := v.acceptor.newestState()
		assert.Equal(t, len(state.membership().GetPrevious()), c.previous)
	}
}

// FuzzReplay replays records of arbitrary content, and applies a submission to
// the resulting state.
func FuzzReplay(f *testing.F) {
	state := newState(genesisState("g"))
	accepted := acceptedRecord(&voterwire.Accepted{Ballot: ballot(1), Origin: state.origin(), Transfer: state.transferFrom(nil)})
	next := &voterwire.Transition{
		Base: state.origin(), Origin: ballot(2),
		Change: &controlwire.HistoryEntry{Number: 1, Changes: []*controlwire.EntryChange{{Entry: &controlwire.Entry{Key: "k"}}}},
	}
	transfer := &voterwire.Transfer{Transitions: []*voterwire.Transition{next}}
	f.Add(accepted, acceptedRecord(&voterwire.Accepted{Ballot: ballot(2), Origin: ballot(2), Transfer: transfer}))
	f.Add(accepted, promisedRecord(ballot(3)))
	f.Add(encodeRecord(&voterwire.Record{Kind: &voterwire.Record_LearnedState{LearnedState: state.wire}}), []byte{})
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		a, err := newAcceptor(nullJournal{first, second}, "me")
		if err != nil {
			return
		}
		held, _ := a.newestState()
		if held == nil {
			return
		}
		s := &submission{req: &controlwire.SubmitRequest{ChangeId: "c", Replaces: 1}}
		if t := s.decide(held); t != nil {
			_, _ = held.apply(t)
		}
	})
}
