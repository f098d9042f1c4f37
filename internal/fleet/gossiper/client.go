package gossiper

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire/gossipwireconnect"
)

// Client calls the membership service of another process.
type Client interface {
	// Compare requests the parts of the table of another process that differ from req.
	Compare(ctx context.Context, to netip.AddrPort, req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error)
	// Reconcile sends records that the other process lacks and requests wanted ones.
	Reconcile(ctx context.Context, to netip.AddrPort, req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error)
}

// httpClient implements Client over HTTP.
type httpClient struct{ client connect.HTTPClient }

// NewClient returns a Client that uses the given HTTP client.
func NewClient(client connect.HTTPClient) Client { return &httpClient{client: client} }

func (c *httpClient) service(to netip.AddrPort) gossipwireconnect.MembershipClient {
	return gossipwireconnect.NewMembershipClient(c.client, "http://"+to.String(), connect.WithReadMaxBytes(maxCallBytes), connect.WithSendGzip())
}

// Compare implements Client.
func (c *httpClient) Compare(ctx context.Context, to netip.AddrPort, req *gossipwire.CompareRequest) (*gossipwire.CompareResponse, error) {
	resp, err := c.service(to).Compare(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("compare tables: %w", err)
	}
	return resp.Msg, nil
}

// Reconcile implements Client.
func (c *httpClient) Reconcile(ctx context.Context, to netip.AddrPort, req *gossipwire.ReconcileRequest) (*gossipwire.ReconcileResponse, error) {
	resp, err := c.service(to).Reconcile(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("reconcile tables: %w", err)
	}
	return resp.Msg, nil
}
