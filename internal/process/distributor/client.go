package distributor

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
)

// errBusy tells an asking process to turn to another holder.
var errBusy = errors.New("too many snapshots were handed out lately")

// Client calls other processes for versions.
type Client interface {
	// Fetch asks a holder for what is newer than have, which is nil for none.
	Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error)
	// Current reads the newest accepted version at a control instance, which
	// asks a majority.
	Current(ctx context.Context, to netip.AddrPort) (*controlwire.Version, error)
}

// httpClient is the Client over HTTP.
type httpClient struct{ client connect.HTTPClient }

// NewClient returns a Client that uses the given HTTP client.
func NewClient(client connect.HTTPClient) Client { return &httpClient{client: client} }

func (c *httpClient) control(to netip.AddrPort) controlwireconnect.ControlClient {
	return controlwireconnect.NewControlClient(c.client, "http://"+to.String(),
		connect.WithReadMaxBytes(packer.MaxBytes),
		connect.WithAcceptCompression("gzip", nil, nil), // What is large comes packed.
	)
}

// Fetch implements Client.
func (c *httpClient) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	resp, err := c.control(to).Fetch(ctx, connect.NewRequest(&controlwire.FetchRequest{Have: have}))
	if err != nil {
		return nil, fmt.Errorf("fetch version: %w", err)
	}
	return resp.Msg, nil
}

// Current implements Client.
func (c *httpClient) Current(ctx context.Context, to netip.AddrPort) (*controlwire.Version, error) {
	resp, err := c.control(to).Current(ctx, connect.NewRequest(&controlwire.CurrentRequest{Packed: true}))
	if err != nil {
		return nil, fmt.Errorf("read newest version: %w", err)
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

// Fetch answers from what this process holds. A control instance may offer it
// among its own calls.
func (d *Distributor) Fetch(_ context.Context, req *connect.Request[controlwire.FetchRequest]) (*connect.Response[controlwire.FetchResponse], error) {
	resp, ok := d.holder.answer(req.Msg.GetHave(), time.Now())
	if !ok {
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	return connect.NewResponse(resp), nil
}

// Handler returns the path and the handler of the calls that a node answers:
// Fetch only.
func (d *Distributor) Handler() (string, http.Handler) {
	return controlwireconnect.NewControlHandler(nodeCalls{d: d})
}

// nodeCalls is the part of the Control service that a node answers.
type nodeCalls struct {
	controlwireconnect.UnimplementedControlHandler
	d *Distributor
}

// Fetch answers from what the node holds.
func (c nodeCalls) Fetch(ctx context.Context, req *connect.Request[controlwire.FetchRequest]) (*connect.Response[controlwire.FetchResponse], error) {
	return c.d.Fetch(ctx, req)
}
