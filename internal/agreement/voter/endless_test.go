package voter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// allocatedBytes returns how much memory was ever allocated.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestEndlessResponseOfAPeerIsNotRead guards against a process in place of a voter whose bytes without end fill the memory.
func TestEndlessResponseOfAPeerIsNotRead(t *testing.T) {
	const sentBytes = 256 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		block := strings.Repeat("x", 64<<10)
		for range sentBytes / len(block) {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	peer := voter.NewConnectTransport(server.Client()).Peer(strings.TrimPrefix(server.URL, "http://"))
	before := allocatedBytes()
	_, err := peer.FetchState(ctx, &voterwire.FetchStateRequest{})
	allocated := allocatedBytes() - before
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err())
	// The buffer doubles as it grows.
	assert.Assert(t, allocated < 4*retainer.MaxMessageBytes, "%d bytes", allocated)
}
