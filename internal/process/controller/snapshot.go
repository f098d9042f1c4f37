package controller

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// snapshot holds the answer to reads of the newest version in compressed form. It
// answers the start of all nodes at once: to compress a large version for each of
// them takes a small control instance seconds.
type snapshot struct {
	mu     sync.Mutex
	digest *controlwire.VersionDigest // Of the version that the answer holds.
	answer *controlwire.CurrentResponse
}

// of returns the answer for a version.
func (s *snapshot) of(version *controlwire.Version) (*controlwire.CurrentResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil && proto.Equal(s.digest, version.GetDigest()) {
		return s.answer, nil
	}
	packed, err := packer.Pack(&controlwire.FetchResponse{Snapshot: version})
	if err != nil {
		return nil, fmt.Errorf("pack version: %w", err)
	}
	s.digest = version.GetDigest()
	s.answer = &controlwire.CurrentResponse{Version: version}
	if packed.GetPacked() != nil {
		s.answer = &controlwire.CurrentResponse{Packed: packed.GetPacked()}
	}
	return s.answer, nil
}
