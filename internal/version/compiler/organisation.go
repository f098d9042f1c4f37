package compiler

import (
	"crypto/sha256"
	"iter"
	"maps"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxAPIKeyBytes is the maximum length of an API key.
	maxAPIKeyBytes = 256
	// noAPIKeys is the value of the key api-keys of an organisation without any.
	noAPIKeys = "none"
	// noRank is the value of the key rank of an organisation without one.
	noRank = "none"
)

// OrganisationSpec lists the settings of an organisation. The key of each setting in a
// configuration file is its name in kebab case.
type OrganisationSpec struct {
	// Name is the organisation's name, from its section's header.
	Name string
	// APIKeys are the API keys of its callers.
	APIKeys []string
	// Rank replaces the rank of routes for its requests if Ranked is set.
	Rank   int
	Ranked bool
	// Rate is the quota in requests a second over all nodes together; 0 for no limit.
	Rate float64
	// Burst is the number of requests by which the quota may be exceeded at once.
	Burst float64
}

// Organisation is a customer whose callers share a quota. It is immutable.
type Organisation struct{ spec OrganisationSpec }

// Name returns the name.
func (o *Organisation) Name() string { return o.spec.Name }

// Rate returns the quota in requests a second over all nodes together; 0 for no limit.
func (o *Organisation) Rate() float64 { return o.spec.Rate }

// Burst returns the number of requests by which the quota may be exceeded at once.
func (o *Organisation) Burst() float64 { return o.spec.Burst }

// Limited reports whether the organisation has a quota.
func (o *Organisation) Limited() bool { return o.spec.Rate > 0 }

// Priority returns the priority of the organisation's requests, or otherwise if the
// organisation is nil or has none of its own.
func (o *Organisation) Priority(otherwise Priority) Priority {
	if o == nil || !o.spec.Ranked {
		return otherwise
	}
	return rankPriority(o.spec.Rank)
}

// apiKeyDigest is the digest by which an API key is looked up. The time of a look-up in a map
// of digests does not depend on how much of a guessed key is right.
type apiKeyDigest [sha256.Size]byte

// Organisations finds organisations by API key and by name. It is immutable, and nil if there
// are none.
type Organisations struct {
	byAPIKey map[apiKeyDigest]*Organisation
	byName   map[string]*Organisation
}

// Empty reports whether there are no organisations.
func (o *Organisations) Empty() bool { return o == nil }

// ByAPIKey returns the organisation with the given API key, or nil.
func (o *Organisations) ByAPIKey(key string) *Organisation {
	if o == nil || len(key) > maxAPIKeyBytes {
		return nil
	}
	return o.byAPIKey[sha256.Sum256([]byte(key))]
}

// ByName returns the organisation with the given name, or nil.
func (o *Organisations) ByName(name string) *Organisation {
	if o == nil {
		return nil
	}
	return o.byName[name]
}

// All returns all organisations, in no order.
func (o *Organisations) All() iter.Seq[*Organisation] {
	if o == nil {
		return func(func(*Organisation) bool) {}
	}
	return maps.Values(o.byName)
}

// newOrganisations returns the organisations with the given settings.
func newOrganisations(specs []OrganisationSpec) *Organisations {
	if len(specs) == 0 {
		return nil
	}
	o := &Organisations{byAPIKey: make(map[apiKeyDigest]*Organisation), byName: make(map[string]*Organisation, len(specs))}
	for _, spec := range specs {
		organisation := &Organisation{spec: spec}
		o.byName[spec.Name] = organisation
		for _, key := range spec.APIKeys {
			o.byAPIKey[sha256.Sum256([]byte(key))] = organisation
		}
		organisation.spec.APIKeys = nil // Only their digests are kept.
	}
	return o
}

// checkAPIKey returns an error if a key cannot be sent in a header and kept in a list.
func checkAPIKey(key string) error {
	if len(key) > maxAPIKeyBytes {
		return errors.Errorf("an API key is longer than %d bytes", maxAPIKeyBytes)
	}
	if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }) {
		return errors.New("an API key has a character other than printable ASCII without spaces and commas")
	}
	return nil
}
