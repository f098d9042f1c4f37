package distributor

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
)

// maxFetchRequest is the maximum size of a request to Fetch, in bytes.
const maxFetchRequest = 4 << 10

// Errors that are returned to a process that should fetch from another holder.
var (
	errSnapshotLimit = errors.New("snapshot rate limit exceeded")
	errManyResponses = errors.New("other processes are being sent as much as fits in memory")
)

// Client fetches versions from other processes.
type Client interface {
	// Fetch returns what a holder has that is newer than have, which is nil if no
	// version is held.
	Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error)
	// Current reads the newest accepted version from a control instance, which
	// confirms it with a majority of the voters.
	Current(ctx context.Context, to netip.AddrPort) (*controlwire.Version, error)
}

// httpClient implements Client over HTTP.
type httpClient struct {
	client       connect.HTTPClient
	onEvacuation func(*controlwire.Evacuation)
}

// NewClient returns a Client that uses the given HTTP client. If Current reads evacuated failure
// domains, it passes them to onEvacuation before it returns the version.
func NewClient(client connect.HTTPClient, onEvacuation func(*controlwire.Evacuation)) Client {
	return &httpClient{client: client, onEvacuation: onEvacuation}
}

func (c *httpClient) controlClient(to netip.AddrPort) controlwireconnect.ControlClient {
	return controlwireconnect.NewControlClient(c.client, "http://"+to.String(),
		connect.WithReadMaxBytes(packer.MaxResponseBytes),
		connect.WithAcceptCompression("gzip", nil, nil), // Disables gzip: large responses are already packed.
	)
}

// Fetch implements Client.
func (c *httpClient) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	resp, err := c.controlClient(to).Fetch(ctx, connect.NewRequest(&controlwire.FetchRequest{Have: have}))
	if err != nil {
		return nil, fmt.Errorf("fetch version: %w", err)
	}
	return resp.Msg, nil
}

// Current implements Client.
func (c *httpClient) Current(ctx context.Context, to netip.AddrPort) (*controlwire.Version, error) {
	resp, err := c.controlClient(to).Current(ctx, connect.NewRequest(&controlwire.CurrentRequest{Packed: true}))
	if err != nil {
		return nil, fmt.Errorf("read newest version: %w", err)
	}
	if evacuation := resp.Msg.GetEvacuation(); evacuation != nil {
		c.onEvacuation(evacuation)
	}
	if resp.Msg.GetPacked() == nil {
		return resp.Msg.GetVersion(), nil
	}
	plain, err := packer.Unpack(&controlwire.FetchResponse{Packed: resp.Msg.GetPacked()})
	if err != nil {
		return nil, fmt.Errorf("read newest version: %w", err)
	}
	return plain.GetSnapshot(), nil
}

// Fetch serves the version that this process holds. A control instance may expose it as
// part of its own service.
func (d *Distributor) Fetch(ctx context.Context, req *connect.Request[controlwire.FetchRequest]) (*connect.Response[controlwire.FetchResponse], error) {
	resp, ok := d.store.response(req.Msg.GetHave(), time.Now())
	if !ok {
		return nil, connect.NewError(connect.CodeResourceExhausted, errSnapshotLimit)
	}
	if !d.responses.Enter(ctx, proto.Size(resp)) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errManyResponses)
	}
	return connect.NewResponse(resp), nil
}

// Handler returns the path and the handler of the Control service on a node, which
// implements only Fetch.
func (d *Distributor) Handler() (string, http.Handler) {
	return controlwireconnect.NewControlHandler(nodeHandler{d: d}, connect.WithReadMaxBytes(maxFetchRequest))
}

// nodeHandler implements Fetch of the Control service.
type nodeHandler struct {
	controlwireconnect.UnimplementedControlHandler
	d *Distributor
}

// Fetch implements controlwireconnect.ControlHandler.
func (h nodeHandler) Fetch(ctx context.Context, req *connect.Request[controlwire.FetchRequest]) (*connect.Response[controlwire.FetchResponse], error) {
	return h.d.Fetch(ctx, req)
}
