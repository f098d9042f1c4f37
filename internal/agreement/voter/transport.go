package voter

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire/voterwireconnect"
)

// Peer is the interface that an instance provides to other voters.
type Peer interface {
	// Query returns the position of the instance.
	Query(ctx context.Context, req *voterwire.QueryRequest) (*voterwire.QueryResponse, error)
	// FetchState returns a transfer to the accepted or the learned state.
	FetchState(ctx context.Context, req *voterwire.FetchStateRequest) (*voterwire.FetchStateResponse, error)
	// Reserve reserves the instance for a group that is forming.
	Reserve(ctx context.Context, req *voterwire.ReserveRequest) (*voterwire.ReserveResponse, error)
	// Prepare asks the acceptor to promise to ignore older ballots.
	Prepare(ctx context.Context, req *voterwire.PrepareRequest) (*voterwire.PrepareResponse, error)
	// Accept asks the acceptor to accept a state.
	Accept(ctx context.Context, req *voterwire.AcceptRequest) (*voterwire.AcceptResponse, error)
}

// Transport connects to other instances.
type Transport interface {
	// Peer returns the peer at the given address, such as 192.0.2.1:7000.
	Peer(address string) Peer
}

// ConnectTransport calls other instances with the Connect protocol over HTTP.
type ConnectTransport struct {
	client *http.Client
	peers  sync.Map // Address to *connectPeer.
}

// NewConnectTransport returns a transport that uses the given HTTP client.
func NewConnectTransport(client *http.Client) *ConnectTransport {
	return &ConnectTransport{client: client}
}

// Peer implements Transport.
func (t *ConnectTransport) Peer(address string) Peer {
	if peer, ok := t.peers.Load(address); ok {
		return peer.(Peer)
	}
	peer, _ := t.peers.LoadOrStore(address, &connectPeer{client: newVoterClient(t.client, address)})
	return peer.(Peer)
}

func newVoterClient(client *http.Client, address string) voterwireconnect.VoterClient {
	return voterwireconnect.NewVoterClient(client, "http://"+address, connect.WithReadMaxBytes(retainer.MaxMessageBytes))
}

// connectPeer calls one instance with the Connect protocol.
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

// connectHandler serves a Peer with the Connect protocol.
type connectHandler struct {
	peer      Peer
	transfers *retainer.Gate
}

// errManyTransfers means that other instances are fetching as much as this one may send at once.
var errManyTransfers = errors.New("other instances are fetching the state; fetch it again, or from another instance")

func (h *connectHandler) Query(ctx context.Context, req *connect.Request[voterwire.QueryRequest]) (*connect.Response[voterwire.QueryResponse], error) {
	return handle(ctx, h.peer.Query, req)
}

func (h *connectHandler) FetchState(ctx context.Context, req *connect.Request[voterwire.FetchStateRequest]) (*connect.Response[voterwire.FetchStateResponse], error) {
	resp, err := handle(ctx, h.peer.FetchState, req)
	if err != nil {
		return nil, err
	}
	if !h.transfers.Enter(ctx, proto.Size(resp.Msg)) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errManyTransfers)
	}
	return resp, nil
}

func (h *connectHandler) Reserve(ctx context.Context, req *connect.Request[voterwire.ReserveRequest]) (*connect.Response[voterwire.ReserveResponse], error) {
	return handle(ctx, h.peer.Reserve, req)
}

func (h *connectHandler) Prepare(ctx context.Context, req *connect.Request[voterwire.PrepareRequest]) (*connect.Response[voterwire.PrepareResponse], error) {
	return handle(ctx, h.peer.Prepare, req)
}

func (h *connectHandler) Accept(ctx context.Context, req *connect.Request[voterwire.AcceptRequest]) (*connect.Response[voterwire.AcceptResponse], error) {
	return handle(ctx, h.peer.Accept, req)
}

func handle[Req, Resp any](
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
