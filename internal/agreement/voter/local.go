package voter

import (
	"context"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// localPeer serves requests with this instance's own voter.
type localPeer struct{ voter *Voter }

// Query implements Peer. It also learns the state that the caller knows to be
// chosen, if this instance accepted that state.
func (p *localPeer) Query(_ context.Context, req *voterwire.QueryRequest) (*voterwire.QueryResponse, error) {
	if p.voter.acceptor.learnAccepted(req.GetGroup(), req.GetLearnedOrigin()) {
		p.voter.signalLearned()
	}
	return &voterwire.QueryResponse{Position: p.voter.acceptor.position()}, nil
}

// FetchState implements Peer.
func (p *localPeer) FetchState(_ context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error) {
	return p.voter.acceptor.fetchState(req), nil
}

// Reserve implements Peer.
func (p *localPeer) Reserve(ctx context.Context, req *voterwire.ReserveRequest) (*voterwire.ReserveResponse, error) {
	if len(p.voter.cfg.InitialVoters) == 0 {
		// The instance was restarted before it knew them, unless it is to join an existing group.
		if p.voter.monitor.findsGroup(ctx) {
			return &voterwire.ReserveResponse{Reason: "knows of a group"}, nil
		}
	} else if !p.voter.hasInitialAddresses(req.GetGenesis().GetMembership()) {
		return &voterwire.ReserveResponse{Reason: "its settings name other initial voters"}, nil
	}
	return p.voter.acceptor.reserve(req.GetGenesis())
}

// Prepare implements Peer.
func (p *localPeer) Prepare(_ context.Context, req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error) {
	return p.voter.acceptor.prepare(req)
}

// Accept implements Peer.
func (p *localPeer) Accept(_ context.Context, req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error) {
	return p.voter.acceptor.accept(req)
}
