package voter

import (
	"context"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// localPeer is this instance as other voters see it.
type localPeer struct{ voter *Voter }

// Query implements Peer. It also takes in what the asking instance learned.
func (p *localPeer) Query(_ context.Context, req *voterwire.QueryRequest) (*voterwire.QueryResponse, error) {
	if p.voter.acceptor.learnOrigin(req.GetGroup(), req.GetLearnedOrigin()) {
		p.voter.signalNews()
	}
	return &voterwire.QueryResponse{Position: p.voter.acceptor.position()}, nil
}

// FetchState implements Peer.
func (p *localPeer) FetchState(_ context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error) {
	return p.voter.acceptor.fetch(req), nil
}

// Reserve implements Peer.
func (p *localPeer) Reserve(_ context.Context, req *voterwire.ReserveRequest) (*voterwire.ReserveResponse, error) {
	if !p.voter.isInitial(req.GetGenesis().GetMembership()) {
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
