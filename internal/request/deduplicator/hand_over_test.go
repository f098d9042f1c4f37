package deduplicator_test

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
)

// stallingClient is a client to which one instance does not respond. It counts the transfers to the
// others.
type stallingClient struct {
	deduplicator.Client
	stalled   netip.AddrPort
	transfers atomic.Int64
}

func (c *stallingClient) Transfer(ctx context.Context, peer netip.AddrPort, _ deduplicator.TransferRequest) error {
	if peer == c.stalled {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.transfers.Add(1)
	return nil
}

// TestUnresponsiveInstanceDoesNotHoldUpHandOver guards against keys that are lost at a planned stop since another instance does not respond.
func TestUnresponsiveInstanceDoesNotHoldUpHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var instances []*registrar.Instance
		for i := range 4 {
			instances = append(instances, registrar.NewInstance(registrar.Spec{
				ID: "kwishyura-" + strconv.Itoa(i), State: registrar.StateReady,
				Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 90),
			}))
		}
		client := &stallingClient{stalled: instances[0].Peer()}
		d := deduplicator.New(deduplicator.Config{Instance: "kwishyura-3", Client: client, MaxKeys: 4, MaxBytes: 1 << 20})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorContains(t, d.HandOver(ctx, instances, retention), "kwishyura-0")
		assert.Equal(t, client.transfers.Load(), int64(2))
	})
}
