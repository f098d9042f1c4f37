package launcher

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
)

// memoryBlobs is a blobStore in memory.
type memoryBlobs struct {
	blobs    map[string][]byte
	writes   int
	writeErr error
}

func (b *memoryBlobs) ReadBlob(name string) ([]byte, error) {
	data, found := b.blobs[name]
	if !found {
		return nil, journaler.ErrNotFound
	}
	return data, nil
}

func (b *memoryBlobs) WriteBlob(name string, data []byte) error {
	if b.writeErr != nil {
		return b.writeErr
	}
	b.writes++
	b.blobs[name] = data
	return nil
}

// TestInitialVotersAreKnownAfterARestart guards against a group that never forms, since the process of an initial voter
// was killed during the first start and its settings do not name the voters any more.
func TestInitialVotersAreKnownAfterARestart(t *testing.T) {
	first := []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:7000"), netip.MustParseAddrPort("192.0.2.2:7000")}
	other := first[:1]
	store := &memoryBlobs{blobs: make(map[string][]byte)}
	same := func(settings, want []netip.AddrPort) {
		t.Helper()
		got := initialVoters(store, settings, zerolog.Nop())
		assert.Equal(t, len(got), len(want))
		for i := range want {
			assert.Equal(t, got[i], want[i])
		}
	}
	same(nil, nil)
	same(first, first)
	same(nil, first)
	same(first, first)
	assert.Equal(t, store.writes, 1)
	same(other, other)
	same(nil, other)
	store.writeErr = errors.New("disk is full")
	same(first, first)
	store.blobs[initialVotersBlob] = []byte("no address")
	same(nil, nil)
}
