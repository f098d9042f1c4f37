package controller

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// cachedFetchBytes is the memory that a cached response takes besides its content.
const cachedFetchBytes = 256

// responseCache keeps responses that contain the newest version, large ones compressed.
// After a change, and when they start, all nodes request the version at once. Compressing
// a large one for each of them takes a small control instance seconds, and sending it
// uncompressed saturates their links.
//
// The responses that it keeps take maxBytes bytes at most, besides that to Current.
type responseCache struct {
	maxBytes int

	mu      sync.Mutex
	bytes   int                        // Of fetches.
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
	packed, err := packer.Pack(update(state, have))
	if err != nil {
		return nil, fmt.Errorf("pack version: %w", err)
	}
	if size := proto.Size(packed) + cachedFetchBytes; c.bytes+size <= c.maxBytes {
		c.fetches[have.GetNumber()] = cachedFetch{have: have, resp: packed}
		c.bytes += size
	}
	return packed, nil
}

// update returns the plain response that updates have to the version of the state: a delta, if the
// state has one that the receiver can unpack, else the snapshot.
func update(state *voter.State, have *controlwire.VersionDigest) *controlwire.FetchResponse {
	snapshot := &controlwire.FetchResponse{Snapshot: state.Version()}
	delta, ok := state.Delta(have)
	if !ok {
		return snapshot
	}
	if response := (&controlwire.FetchResponse{Delta: delta}); proto.Size(response) <= packer.MaxResponseBytes {
		return response
	}
	return snapshot
}

// invalidate drops the cached responses unless they belong to the version with the given
// digest.
func (c *responseCache) invalidate(digest *controlwire.VersionDigest) {
	if c.fetches != nil && proto.Equal(c.digest, digest) {
		return
	}
	c.digest = digest
	c.current = nil
	c.bytes = 0
	c.fetches = make(map[uint64]cachedFetch)
}
