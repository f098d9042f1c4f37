package voter

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// lateAnswerPeer answers a request for its state once another request has been handled.
type lateAnswerPeer struct {
	Peer
	acceptor  *acceptor
	meanwhile func()
}

func (p *lateAnswerPeer) FetchState(_ context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error) {
	resp := p.acceptor.fetchState(req)
	p.meanwhile()
	return resp, nil
}

// TestStateThatArrivesLateReplacesNoOther guards against a difference that is applied to another state than the one it was made for, so that two states have the same ballot and an acknowledged change is lost.
func TestStateThatArrivesLateReplacesNoOther(t *testing.T) {
	change := func(base *State, round uint64) *State {
		next, err := base.apply(&voterwire.Transition{
			Base: base.origin(), Origin: ballot(round), Change: &controlwire.HistoryEntry{Number: round, ChangeId: "c"},
		})
		assert.NilError(t, err)
		return next
	}
	accept := func(a *acceptor, round uint64, state *State) {
		resp, err := a.accept(&voterwire.AcceptRequest{
			Group: "g", To: "me", Ballot: ballot(round), Origin: state.origin(), Transfer: &voterwire.Transfer{Snapshot: state.wire},
		})
		assert.NilError(t, err)
		assert.Assert(t, resp.GetAccepted())
	}
	first := newState(genesisState("g"))
	for name, atPeer := range map[string]*State{"same state": first, "newer state": change(first, 8)} {
		t.Run(name, func(t *testing.T) {
			v, err := New(Config{Journal: nullJournal{}, Log: zerolog.Nop(), Scope: tally.NoopScope})
			assert.NilError(t, err)
			v.acceptor = newGroupAcceptor(t)
			peer := &lateAnswerPeer{acceptor: newGroupAcceptor(t), meanwhile: func() { accept(v.acceptor, 6, change(first, 6)) }}
			accept(peer.acceptor, 9, atPeer)
			v.monitor.fetchFromPeer(context.Background(), peer, peer.acceptor.position())
			assert.Equal(t, v.acceptor.position().GetAccepted().GetRound(), uint64(9))
			assert.Assert(t, sameBallot(v.acceptor.position().GetOrigin(), atPeer.origin()), "two states at one ballot")
		})
	}
}
