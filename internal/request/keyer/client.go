package keyer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// HTTPClient reaches the keyers of other instances over HTTP. Its messages
// may arrive more than once without harm.
type HTTPClient struct{ client *http.Client }

// NewClient returns a client that sends its messages by the given one.
func NewClient(client *http.Client) *HTTPClient { return &HTTPClient{client: client} }

// Claim asks a former home for what it knows of a key.
func (c *HTTPClient) Claim(ctx context.Context, peer netip.AddrPort, req ClaimRequest) (ClaimResponse, error) {
	var resp ClaimResponse
	if err := c.post(ctx, peer, claimPath, req, &resp); err != nil {
		return ClaimResponse{}, fmt.Errorf("claim key: %w", err)
	}
	return resp, nil
}

// Transfer hands records over to another instance.
func (c *HTTPClient) Transfer(ctx context.Context, peer netip.AddrPort, req TransferRequest) error {
	if err := c.post(ctx, peer, transferPath, req, nil); err != nil {
		return fmt.Errorf("transfer keys: %w", err)
	}
	return nil
}

func (c *HTTPClient) post(ctx context.Context, peer netip.AddrPort, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageSize)).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
