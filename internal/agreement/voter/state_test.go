package voter

import (
	"fmt"
	"slices"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// applyChange returns the state after a change of one entry to a value of the
// given size.
func applyChange(t *testing.T, s *State, size int) *State {
	t.Helper()
	number := s.number() + 1
	entry := &controlwire.Entry{Section: "service x", Key: "note", Value: string(make([]byte, size))}
	next, err := s.apply(&voterwire.Transition{
		Base:   s.origin(),
		Origin: ballot(number),
		Change: &controlwire.HistoryEntry{
			Number: number, ChangeId: fmt.Sprint(number), Changes: []*controlwire.EntryChange{{Entry: entry}},
		},
	})
	assert.NilError(t, err)
	return next
}

// fullHistory returns a state whose history has the maximum length.
func fullHistory() *State {
	wire := genesisState("g")
	wire.Version.Digest = &controlwire.VersionDigest{Number: maxHistoryChanges}
	for n := range uint64(maxHistoryChanges) {
		wire.History = append(wire.History, &controlwire.HistoryEntry{Number: n + 1, ChangeId: fmt.Sprint(n + 1)})
	}
	return newState(wire)
}

func TestSubmissionAgainstTruncatedHistory(t *testing.T) {
	s := applyChange(t, applyChange(t, fullHistory(), 1), 1)
	assert.Equal(t, len(s.History()), maxHistoryChanges)
	for _, c := range []struct {
		id       string
		replaces uint64
		err      error
		result   controlwire.SubmitResult
	}{
		{"3", 2, nil, controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED},
		{"2", 1, ErrTooOld, 0},
		{"new", 1, ErrTooOld, 0},
		{"new", 2, nil, controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT},
	} {
		sub := &submission{req: &controlwire.SubmitRequest{ChangeId: c.id, Replaces: c.replaces}}
		assert.Assert(t, sub.decide(s) == nil)
		assert.Assert(t, errors.Is(sub.err, c.err), "%s: %v", c.id, sub.err)
		assert.Equal(t, sub.response.GetResult(), c.result)
	}
}

// TestDerivedDocumentFollowsBase guards against a document that was derived from another state than the one that the change replaces.
func TestDerivedDocumentFollowsBase(t *testing.T) {
	derive := func(replaced *controlwire.Document) (*controlwire.Document, error) {
		note := &controlwire.Entry{Section: "service x", Key: "copy", Value: replaced.GetEntries()[0].GetValue()}
		return &controlwire.Document{Entries: append(slices.Clip(replaced.GetEntries()), note)}, nil
	}
	first := newState(genesisState("g"))
	sub := newSubmission(&controlwire.SubmitRequest{ChangeId: "c", Replaces: 1}, derive, func(*controlwire.Document) []byte { return nil })
	assert.Assert(t, sub.decide(first) == nil)
	assert.ErrorIs(t, sub.err, ErrBaseTooNew)
	// Different states may hold the same version while none is known to be chosen.
	for size := range 3 {
		transition := sub.decide(applyChange(t, first, size))
		assert.NilError(t, sub.err)
		assert.Equal(t, len(transition.GetChange().GetChanges()), 1)
		assert.Equal(t, len(transition.GetChange().GetChanges()[0].GetEntry().GetValue()), size)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s := newState(genesisState("g"))
	for range maxDetailedChanges + 10 {
		s = applyChange(t, s, 1)
	}
	detailed := 0
	for _, e := range s.History() {
		detailed += min(1, len(e.GetChanges()))
	}
	assert.Equal(t, detailed, maxDetailedChanges)
	for range 5 {
		s = applyChange(t, s, maxDetailedBytes/2)
	}
	assert.Assert(t, proto.Size(s.wire) < 3*maxDetailedBytes)
	newest := s.History()[len(s.History())-1]
	assert.Equal(t, len(newest.GetChanges()), 1)
}

// TestTransfersAreBoundedInBytes guards against memory that grows with each change of a large configuration.
func TestTransfersAreBoundedInBytes(t *testing.T) {
	const changeBytes = 100 << 10
	s := newState(genesisState("g"))
	states := []*State{s}
	for range 3 * retainer.DefaultBytes / changeBytes {
		s = applyChange(t, s, changeBytes)
		states = append(states, s)
	}
	withTransitions := 0
	for _, behind := range states {
		transfer := s.transferFrom(behind.origin())
		assert.Assert(t, proto.Size(transfer) <= retainer.DefaultBytes, "%d bytes", proto.Size(transfer))
		withTransitions += min(1, len(transfer.GetTransitions()))
		caughtUp, ok := applyTransfer(behind, transfer)
		assert.Assert(t, ok && caughtUp.number() == s.number())
	}
	assert.Assert(t, withTransitions > retainer.DefaultBytes/changeBytes/2, "%d", withTransitions)
}

// TestStatesFetchedAtOnceAreBoundedInBytes guards against as many copies of the state as there are instances behind.
func TestStatesFetchedAtOnceAreBoundedInBytes(t *testing.T) {
	a, err := newAcceptor(nullJournal{}, "me")
	assert.NilError(t, err)
	a.learn(newState(genesisState("g")))
	h := &connectHandler{peer: &localPeer{voter: &Voter{acceptor: a}}, transfers: retainer.NewGate(1)}
	req := connect.NewRequest(&voterwire.FetchStateRequest{Learned: true})
	_, err = h.FetchState(t.Context(), req)
	assert.NilError(t, err)
	_, err = h.FetchState(t.Context(), req)
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
}

// TestHistoryIsBoundedInBytes guards against changes with long messages that take more memory than there is.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	wire := genesisState("g")
	for n := range uint64(maxHistoryChanges) {
		wire.History = append(wire.History, &controlwire.HistoryEntry{Number: n + 1, Message: string(make([]byte, maxMessageBytes))})
	}
	wire.Version.Digest = &controlwire.VersionDigest{Number: maxHistoryChanges}
	s := applyChange(t, newState(wire), 1)
	assert.Assert(t, proto.Size(s.wire) < 5<<20, "%d bytes", proto.Size(s.wire))
	assert.Equal(t, s.History()[len(s.History())-1].GetNumber(), uint64(maxHistoryChanges+1))
	assert.Assert(t, s.changeReplacing(maxHistoryChanges-1) != nil)
}
