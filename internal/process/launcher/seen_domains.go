package launcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const (
	// domainBlob is the name of the blob of failure domains in the data folder, one a line.
	domainBlob = "failure-domains"
	// maxSeenDomains bounds the failure domains that are remembered.
	maxSeenDomains = 256
)

// blobStore replaces blobs atomically.
type blobStore interface {
	// ReadBlob returns journaler.ErrNotFound if no blob of that name was written.
	ReadBlob(name string) ([]byte, error)
	WriteBlob(name string, data []byte) error
}

// seenDomains remembers the failure domains of all members that a control instance has seen, also
// before its last start: one whose members are all down can still be evacuated.
type seenDomains struct {
	store blobStore
	log   zerolog.Logger
	// changed receives when there are names to store.
	changed chan struct{}

	mu    sync.Mutex
	names map[string]bool
}

// newSeenDomains reads the names that were stored. Without them a control instance still works,
// so that a failure is only logged.
func newSeenDomains(store blobStore, log zerolog.Logger) *seenDomains {
	s := &seenDomains{store: store, log: log, changed: make(chan struct{}, 1), names: make(map[string]bool)}
	data, err := store.ReadBlob(domainBlob)
	if err != nil && !errors.Is(err, journaler.ErrNotFound) {
		log.Warn().Err(err).Msg("Failed to read the failure domains that were seen.")
	}
	for name := range strings.FieldsSeq(string(data)) {
		s.names[name] = true
	}
	return s
}

// Has reports whether a member of the failure domain was seen.
func (s *seenDomains) Has(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[domain]
}

// Observe remembers the failure domains in a view. It does not wait for the disk.
func (s *seenDomains) Observe(view *registrar.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range view.Instances() {
		domain := in.FailureDomain()
		if domain == "" || s.names[domain] || len(s.names) >= maxSeenDomains {
			continue
		}
		s.names[domain] = true
		select {
		case s.changed <- struct{}{}:
		default: // The names will be stored together.
		}
	}
}

// run stores the names when there are new ones, until dying is closed.
func (s *seenDomains) run(dying <-chan struct{}) error {
	for {
		select {
		case <-dying:
			return nil
		case <-s.changed:
		}
		if err := s.save(); err != nil {
			s.log.Warn().Err(err).Msg("Failed to store the failure domains that were seen.")
		}
	}
}

// save stores all names.
func (s *seenDomains) save() error {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.names))
	s.mu.Unlock()
	if err := s.store.WriteBlob(domainBlob, []byte(strings.Join(names, "\n"))); err != nil {
		return fmt.Errorf("store failure domains: %w", err)
	}
	return nil
}
