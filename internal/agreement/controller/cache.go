package controller

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// maxCachedFetches bounds the number of cached responses to Fetch: few processes are more
// than a few versions behind.
const maxCachedFetches = 64

// responseCache keeps responses that contain the newest version, large ones compressed.
// After a change, and when they start, all nodes request the version at once. Compressing
// a large one for each of them takes a small control instance seconds, and sending it
// uncompressed saturates their links.
type responseCache struct {
	mu      sync.Mutex
	digest  *controlwire.VersionDigest // Digest of the version in the cached responses.
	current *controlwire.CurrentResponse
	// fetches holds the responses to Fetch, by the number of the version that the
	// requester holds.
	fetches map[uint64]cachedFetch
}

// cachedFetch is the response to requesters that hold the version have.
type cachedFetch struct {
	have *controlwire.VersionDigest
	resp *controlwire.FetchResponse
}

// currentResponse returns the response to Current with the given version.
func (c *responseCache) currentResponse(version *controlwire.Version) (*controlwire.CurrentResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalidate(version.GetDigest())
	if c.current != nil {
		return c.current, nil
	}
	packed, err := packer.Pack(&controlwire.FetchResponse{Snapshot: version})
	if err != nil {
		return nil, fmt.Errorf("pack version: %w", err)
	}
	c.current = &controlwire.CurrentResponse{Version: version}
	if packed.GetPacked() != nil {
		c.current = &controlwire.CurrentResponse{Packed: packed.GetPacked()}
	}
	return c.current, nil
}

// fetchResponse returns the response to Fetch that updates have to the version of the
// state: a delta if the state has one, else a snapshot.
func (c *responseCache) fetchResponse(state *voter.State, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalidate(state.Version().GetDigest())
	if cached, ok := c.fetches[have.GetNumber()]; ok && proto.Equal(cached.have, have) {
		return cached.resp, nil
	}
	resp := &controlwire.FetchResponse{}
	if delta, ok := state.Delta(have); ok {
		resp.Delta = delta
	} else {
		resp.Snapshot = state.Version()
	}
	packed, err := packer.Pack(resp)
	if err != nil {
		return nil, fmt.Errorf("pack version: %w", err)
	}
	if len(c.fetches) < maxCachedFetches {
		c.fetches[have.GetNumber()] = cachedFetch{have: have, resp: packed}
	}
	return packed, nil
}

// invalidate drops the cached responses unless they belong to the version with the given
// digest.
func (c *responseCache) invalidate(digest *controlwire.VersionDigest) {
	if c.fetches != nil && proto.Equal(c.digest, digest) {
		return
	}
	c.digest = digest
	c.current = nil
	c.fetches = make(map[uint64]cachedFetch)
}
