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

// nullJournal holds the given records and forgets everything else.
type nullJournal [][]byte

func (j nullJournal) Records() [][]byte            { return j }
func (nullJournal) Append(...[]byte) error         { return nil }
func (nullJournal) AppendUnsynced(...[]byte) error { return nil }
func (nullJournal) Rewrite([][]byte) error         { return nil }
func (nullJournal) Appended() int64                { return 0 }

// brokenJournal fails each append while err is set.
type brokenJournal struct {
	nullJournal
	err error
}

func (j *brokenJournal) Append(...[]byte) error { return j.err }

func ballot(round uint64) *voterwire.Ballot { return &voterwire.Ballot{Round: round, Proposer: "p"} }

func genesisOf(group string) *voterwire.State {
	return &voterwire.State{
		Group: group, Origin: &voterwire.Ballot{Proposer: group}, Version: &controlwire.Version{},
		Membership: &voterwire.Membership{Voters: []*voterwire.Member{{Identity: "me"}}},
	}
}

// member returns an acceptor of group g that accepted its first state at
// round 3 and promised round 5.
func member(t *testing.T) *acceptor {
	t.Helper()
	a, err := newAcceptor(nullJournal{}, "me")
	assert.NilError(t, err)
	ok, err := a.catchUp(ballot(3), newState(genesisOf("g")))
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
	state := newState(genesisOf(group))
	resp, err := a.accept(&voterwire.AcceptRequest{
		Group: group, To: to, Ballot: ballot(round), Origin: state.origin(), Transfer: state.transferFrom(nil),
	})
	assert.NilError(t, err)
	return resp.GetAccepted()
}

func TestAcceptorRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		group, to string
		round     uint64
		voted     bool
	}{
		"newer ballot":     {"g", "me", 6, true},
		"same ballot":      {"g", "me", 5, true},
		"older ballot":     {"g", "me", 4, false},
		"another group":    {"h", "me", 6, false},
		"another identity": {"g", "you", 6, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, promises(t, member(t), c.group, c.to, c.round), c.voted)
			assert.Equal(t, accepts(t, member(t), c.group, c.to, c.round), c.voted)
		})
	}
}

func TestFailedDiskEndsVoting(t *testing.T) {
	a := member(t)
	disk := &brokenJournal{err: errors.New("sync failed")}
	a.journal = disk
	_, err := a.prepare(&voterwire.PrepareRequest{Group: "g", To: "me", Ballot: ballot(6)})
	assert.ErrorIs(t, err, disk.err)
	disk.err = nil // What a failed sync left on the disk is not known.
	assert.Assert(t, !promises(t, a, "g", "me", 6))
	assert.Assert(t, !accepts(t, a, "g", "me", 6))
}

func TestCatchUpKeepsPromise(t *testing.T) {
	a := member(t)
	ok, err := a.catchUp(ballot(4), newState(genesisOf("g")))
	assert.NilError(t, err)
	assert.Assert(t, !ok)
}

func TestReserve(t *testing.T) {
	resp, err := member(t).reserve(genesisOf("h"))
	assert.NilError(t, err)
	assert.Assert(t, !resp.GetReserved())
	fresh, err := newAcceptor(nullJournal{}, "me")
	assert.NilError(t, err)
	resp, err = fresh.reserve(genesisOf("h"))
	assert.NilError(t, err)
	assert.Assert(t, resp.GetReserved())
	// A reservation holds against other groups.
	assert.Assert(t, !promises(t, fresh, "g", "me", 1))
	assert.Assert(t, promises(t, fresh, "h", "me", 1))
}

func TestFinishesOnlyChosenReplacement(t *testing.T) {
	wire := genesisOf("g")
	wire.Membership = replaceMembers(wire.GetMembership(), wire.GetMembership().GetVoters())
	accepted := &voterwire.Accepted{Ballot: ballot(1), Origin: wire.GetOrigin(), Transfer: &voterwire.Transfer{Snapshot: wire}}
	identity := encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Identity{Identity: "me"}})
	v, err := New(Config{Journal: nullJournal{identity, acceptedRecord(accepted)}, Log: zerolog.Nop(), Scope: tally.NoopScope})
	assert.NilError(t, err)
	held, _ := v.acceptor.held()
	for _, c := range []struct {
		chosen   *State
		previous int
	}{
		{newState(genesisOf("h")), 1},
		{held, 0},
	} {
		assert.NilError(t, v.finishReplacing(context.Background(), c.chosen))
		state, _ := v.acceptor.held()
		assert.Equal(t, len(state.membership().GetPrevious()), c.previous)
	}
}

// FuzzReplay gives an acceptor records of any content, and what it makes of
// them to a submission.
func FuzzReplay(f *testing.F) {
	state := newState(genesisOf("g"))
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
		held, _ := a.held()
		if held == nil {
			return
		}
		s := &submission{req: &controlwire.SubmitRequest{ChangeId: "c", Replaces: 1}}
		if t := s.next(held); t != nil {
			_, _ = held.apply(t)
		}
	})
}
