package launcher

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const (
	// domainJournal is the name of the journal of failure domains in the data folder.
	domainJournal = "failure-domains"
	// maxSeenDomains bounds the failure domains that are remembered.
	maxSeenDomains = 256
)

// recordAppender stores records; a crash may lose the last ones.
type recordAppender interface {
	Records() [][]byte
	AppendUnsynced(records ...[]byte) error
}

// seenDomains remembers the failure domains of all members that a control instance has seen, also
// before its last start: one whose members are all down can still be evacuated.
type seenDomains struct {
	journal recordAppender
	log     zerolog.Logger

	mu    sync.Mutex
	names map[string]bool
}

func newSeenDomains(journal recordAppender, log zerolog.Logger) *seenDomains {
	s := &seenDomains{journal: journal, log: log, names: make(map[string]bool)}
	for _, record := range journal.Records() {
		s.names[string(record)] = true
	}
	return s
}

// Has reports whether a member of the failure domain was seen.
func (s *seenDomains) Has(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[domain]
}

// Observe remembers the failure domains in a view.
func (s *seenDomains) Observe(view *registrar.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range view.Instances() {
		domain := in.FailureDomain()
		if domain == "" || s.names[domain] || len(s.names) >= maxSeenDomains {
			continue
		}
		s.names[domain] = true
		if err := s.journal.AppendUnsynced([]byte(domain)); err != nil {
			s.log.Warn().Err(err).Str("failure-domain", domain).Msg("Failed to store a failure domain.")
		}
	}
}
