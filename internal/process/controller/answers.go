package controller

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// maxChanges bounds the answers that are kept: few processes are more than some
// versions behind.
const maxChanges = 64

// answers holds what is handed out of the newest version, the large ones in
// compressed form. It answers a large version that all nodes ask for at once, after
// a change or at their start: to compress it for each of them takes a small control
// instance seconds, and uncompressed it fills their links.
type answers struct {
	mu      sync.Mutex
	digest  *controlwire.VersionDigest // Of the version that the answers lead to.
	current *controlwire.CurrentResponse
	// changes holds the answers to those who have an older version, by its number.
	changes map[uint64]change
}

// change is the answer to those who have a certain version.
type change struct {
	have *controlwire.VersionDigest
	resp *controlwire.FetchResponse
}

// whole returns the answer to a read of a version.
func (a *answers) whole(version *controlwire.Version) (*controlwire.CurrentResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renew(version.GetDigest())
	if a.current != nil {
		return a.current, nil
	}
	packed, err := packer.Pack(&controlwire.FetchResponse{Snapshot: version})
	if err != nil {
		return nil, fmt.Errorf("pack version: %w", err)
	}
	a.current = &controlwire.CurrentResponse{Version: version}
	if packed.GetPacked() != nil {
		a.current = &controlwire.CurrentResponse{Packed: packed.GetPacked()}
	}
	return a.current, nil
}

// since returns what leads from a version to that of a state.
func (a *answers) since(state *voter.State, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renew(state.Version().GetDigest())
	if known, ok := a.changes[have.GetNumber()]; ok && proto.Equal(known.have, have) {
		return known.resp, nil
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
	if len(a.changes) < maxChanges {
		a.changes[have.GetNumber()] = change{have: have, resp: packed}
	}
	return packed, nil
}

// renew drops the answers if they lead to another version.
func (a *answers) renew(digest *controlwire.VersionDigest) {
	if a.changes != nil && proto.Equal(a.digest, digest) {
		return
	}
	a.digest = digest
	a.current = nil
	a.changes = make(map[uint64]change)
}
