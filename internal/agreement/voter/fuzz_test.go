package voter

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// FuzzRequests sends requests of arbitrary content to an acceptor. Its promised
// and accepted ballots must never decrease.
func FuzzRequests(f *testing.F) {
	for _, m := range []proto.Message{
		&voterwire.PrepareRequest{Group: "g", To: "me", Ballot: ballot(6)},
		&voterwire.AcceptRequest{Group: "g", To: "me", Ballot: ballot(6), Origin: ballot(6), Transfer: newState(genesisState("g")).transferFrom(nil)},
		&voterwire.FetchStateRequest{Learned: true},
		genesisState("h"),
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a := newGroupAcceptor(t)
		promised, accepted := a.promisedBallot, a.acceptedBallot
		prepare, accept := &voterwire.PrepareRequest{}, &voterwire.AcceptRequest{}
		fetch, reserve := &voterwire.FetchStateRequest{}, &voterwire.State{}
		if proto.Unmarshal(data, prepare) == nil {
			_, _ = a.prepare(prepare)
		}
		if proto.Unmarshal(data, accept) == nil {
			_, _ = a.accept(accept)
		}
		if proto.Unmarshal(data, fetch) == nil {
			a.fetchState(fetch)
		}
		if proto.Unmarshal(data, reserve) == nil {
			_, _ = a.reserve(reserve)
		}
		assert.Assert(t, compareBallots(a.promisedBallot, promised) >= 0)
		assert.Assert(t, compareBallots(a.acceptedBallot, accepted) >= 0)
		assert.Assert(t, compareBallots(a.promisedBallot, a.acceptedBallot) >= 0)
	})
}
