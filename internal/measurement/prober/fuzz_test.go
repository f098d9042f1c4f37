package prober

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzMessages passes arbitrary datagrams to a prober: it must respond to nothing but
// probes, and accept no response without a pending probe.
func FuzzMessages(f *testing.F) {
	f.Add(probe{nonce: 1, instanceHash: hashID("0")}.encode())
	f.Add(response{nonce: 1, incarnation: 2, load: fixedLoad{}.Load()}.encode())
	f.Fuzz(func(t *testing.T, payload []byte) {
		fx := newFixture(1, 2, Config{})
		fx.prober.HandleResponse(peer(2), payload, time.Now())
		assert.Equal(t, len(fx.prober.pending), 0)
		got := fx.prober.HandleProbe(peer(2), payload)
		_, err := decodeProbe(payload)
		assert.Assert(t, err == nil || got == nil)
		if resp, err := decodeResponse(payload); err == nil {
			_, err = decodeResponse(resp.encode())
			assert.NilError(t, err)
		}
	})
}
