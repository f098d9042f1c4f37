package deduplicator

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

// HTTPClient calls the deduplicators of other instances over HTTP. Its messages are
// idempotent.
type HTTPClient struct{ client *http.Client }

// NewClient returns an HTTPClient that uses the given client.
func NewClient(client *http.Client) *HTTPClient { return &HTTPClient{client: client} }

// Claim asks a former home for its record of a key.
func (c *HTTPClient) Claim(ctx context.Context, peer netip.AddrPort, req ClaimRequest) (ClaimResponse, error) {
	var resp ClaimResponse
	if err := c.post(ctx, peer, claimPath, req, &resp); err != nil {
		return ClaimResponse{}, fmt.Errorf("claim key: %w", err)
	}
	return resp, nil
}

// Transfer sends records to their next home.
func (c *HTTPClient) Transfer(ctx context.Context, peer netip.AddrPort, req TransferRequest) error {
	if err := c.post(ctx, peer, transferPath, req, nil); err != nil {
		return fmt.Errorf("transfer records: %w", err)
	}
	return nil
}

// post sends a message as JSON and decodes the response into result, unless that
// is nil.
func (c *HTTPClient) post(ctx context.Context, peer netip.AddrPort, path string, message, result any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageSize)).Decode(result); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
