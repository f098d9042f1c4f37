package voter

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire/voterwireconnect"
)

// Peer is what an instance offers to other voters.
type Peer interface {
	Query(ctx context.Context, req *voterwire.QueryRequest) (*voterwire.QueryResponse, error)
	FetchState(ctx context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error)
	Reserve(ctx context.Context, req *voterwire.ReserveRequest) (*voterwire.ReserveResponse, error)
	Prepare(ctx context.Context, req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error)
	Accept(ctx context.Context, req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error)
}

// Transport reaches other instances.
type Transport interface {
	// Peer returns the instance at the given address, such as 192.0.2.1:7000.
	Peer(address string) Peer
}

// ConnectTransport reaches other instances by connect over HTTP.
type ConnectTransport struct {
	client *http.Client
	peers  sync.Map // Address to *connectPeer.
}

// NewConnectTransport returns a transport that uses the given client.
func NewConnectTransport(client *http.Client) *ConnectTransport {
	return &ConnectTransport{client: client}
}

// Peer implements Transport.
func (t *ConnectTransport) Peer(address string) Peer {
	if peer, ok := t.peers.Load(address); ok {
		return peer.(Peer)
	}
	peer, _ := t.peers.LoadOrStore(address, &connectPeer{client: voterwireconnect.NewVoterClient(t.client, "http://"+address)})
	return peer.(Peer)
}

// connectPeer is an instance that is reached by connect.
type connectPeer struct{ client voterwireconnect.VoterClient }

func (p *connectPeer) Query(ctx context.Context, req *voterwire.QueryRequest) (*voterwire.QueryResponse, error) {
	return call(ctx, p.client.Query, req)
}

func (p *connectPeer) FetchState(ctx context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error) {
	return call(ctx, p.client.FetchState, req)
}

func (p *connectPeer) Reserve(ctx context.Context, req *voterwire.ReserveRequest) (*voterwire.ReserveResponse, error) {
	return call(ctx, p.client.Reserve, req)
}

func (p *connectPeer) Prepare(ctx context.Context, req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error) {
	return call(ctx, p.client.Prepare, req)
}

func (p *connectPeer) Accept(ctx context.Context, req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error) {
	return call(ctx, p.client.Accept, req)
}

func call[Req, Resp any](
	ctx context.Context,
	method func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
	req *Req,
) (*Resp, error) {
	resp, err := method(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("call voter: %w", err)
	}
	return resp.Msg, nil
}

// connectHandler offers a Peer by connect.
type connectHandler struct{ peer Peer }

func (h *connectHandler) Query(ctx context.Context, req *connect.Request[voterwire.QueryRequest]) (*connect.Response[voterwire.QueryResponse], error) {
	return answer(ctx, h.peer.Query, req)
}

func (h *connectHandler) FetchState(ctx context.Context, req *connect.Request[voterwire.FetchStateRequest]) (*connect.Response[voterwire.FetchStateResponse], error) {
	return answer(ctx, h.peer.FetchState, req)
}

func (h *connectHandler) Reserve(ctx context.Context, req *connect.Request[voterwire.ReserveRequest]) (*connect.Response[voterwire.ReserveResponse], error) {
	return answer(ctx, h.peer.Reserve, req)
}

func (h *connectHandler) Prepare(ctx context.Context, req *connect.Request[voterwire.PrepareRequest]) (*connect.Response[voterwire.PrepareResponse], error) {
	return answer(ctx, h.peer.Prepare, req)
}

func (h *connectHandler) Accept(ctx context.Context, req *connect.Request[voterwire.AcceptRequest]) (*connect.Response[voterwire.AcceptResponse], error) {
	return answer(ctx, h.peer.Accept, req)
}

func answer[Req, Resp any](
	ctx context.Context,
	method func(context.Context, *Req) (*Resp, error),
	req *connect.Request[Req],
) (*connect.Response[Resp], error) {
	resp, err := method(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}
