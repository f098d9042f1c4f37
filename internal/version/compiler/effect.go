package compiler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Scopes of an effect that is not specific to one site.
const (
	// ScopeEverywhere is the scope of sections that only the base has, such as
	// owners and routes: they apply to all sites.
	ScopeEverywhere = "everywhere"
	// ScopeWithoutOverlay is the scope of the sites that have no overlay.
	ScopeWithoutOverlay = "sites without an overlay"
)

// Effect is one difference between two documents in the effective settings of a
// site, that is, the defaults overridden by the base and by the site's overlay. Its values have
// no API keys, but digests of them.
type Effect struct{ scope, section, key, before, after string }

// Scope returns "site NAME", ScopeWithoutOverlay or ScopeEverywhere.
func (e Effect) Scope() string { return e.scope }

// Section returns the header of the section, such as "service vitrina".
func (e Effect) Section() string { return e.section }

// Key returns the key, or "" if the entire section was added or removed.
func (e Effect) Key() string { return e.key }

// Before returns the old value, or "" if there was none.
func (e Effect) Before() string { return e.before }

// After returns the new value, or "" if there is none.
func (e Effect) After() string { return e.after }

// String formats the effect as one line, without its scope.
func (e Effect) String() string {
	switch {
	case e.key == "" && e.before == "":
		return e.section + ": added"
	case e.key == "":
		return e.section + ": removed"
	case e.before == "":
		return fmt.Sprintf("%s: %s: set to %s", e.section, e.key, e.after)
	case e.after == "":
		return fmt.Sprintf("%s: %s: no longer %s", e.section, e.key, e.before)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", e.section, e.key, e.before, e.after)
}

// Effects returns the effects of replacing old by next: first those of
// ScopeEverywhere, then of ScopeWithoutOverlay, then of each site that has an overlay
// in either document. A nil document is empty. Both documents must be valid.
func Effects(old, next *controlwire.Document) []Effect {
	before, after := newChecker(old), newChecker(next)
	effects := diffEntries(ScopeEverywhere, before.sharedEntries(), after.sharedEntries())
	effects = append(effects, diffEntries(ScopeWithoutOverlay, before.effectiveEntries(baseLayer), after.effectiveEntries(baseLayer))...)
	sites := slices.Concat(before.siteNames(), after.siteNames())
	slices.Sort(sites)
	for _, site := range slices.Compact(sites) {
		effects = append(effects, diffEntries("site "+site, before.effectiveEntries(site), after.effectiveEntries(site))...)
	}
	return effects
}

// sharedEntries returns the values of the base's sections other than services, by
// section and key.
func (c *checker) sharedEntries() map[entryID]string {
	m := make(map[entryID]string)
	for header, s := range c.base.sections {
		if !strings.HasPrefix(header, kindService+" ") {
			s.copyTo(m)
		}
	}
	return m
}

// effectiveEntries returns the values in force at a site, by section and key: the
// entries of its section [site], and all settings of all services.
func (c *checker) effectiveEntries(site string) map[entryID]string {
	m := make(map[entryID]string)
	if overlay := c.layers[site]; overlay != nil && overlay.sections[kindSite] != nil {
		overlay.sections[kindSite].copyTo(m)
	}
	for _, b := range c.resolveSite(site) {
		for _, s := range serviceSettings {
			m[entryID{section: b.header, key: s.key}] = s.get(&b.spec)
		}
	}
	return m
}

// copyTo adds the values of the section's entries to m, under ids without a layer.
func (s *section) copyTo(m map[entryID]string) {
	for _, e := range s.entries {
		m[entryID{section: e.GetSection(), key: e.GetKey()}] = e.GetValue()
	}
}

func sortedIDs(m map[entryID]string) []entryID {
	return slices.SortedFunc(maps.Keys(m), compareIDs)
}

// diffEntries returns the differences between two sets of values, sorted by section
// and key. A section that only one of them has yields a single effect without a key.
func diffEntries(scope string, before, after map[entryID]string) []Effect {
	ids := make(map[entryID]string, len(after))
	for _, m := range []map[entryID]string{before, after} {
		for id := range m {
			ids[id] = ""
		}
	}
	hadSection, hasSection := sectionSet(before), sectionSet(after)
	var effects []Effect
	for _, id := range sortedIDs(ids) {
		e := Effect{scope: scope, section: id.section, key: id.key, before: before[id], after: after[id]}
		if hadSection[id.section] != hasSection[id.section] {
			e.key = ""
		}
		if e.before == e.after || len(effects) > 0 && e.key == "" && effects[len(effects)-1].section == e.section {
			continue
		}
		e.before, e.after = displayValue(id.key, e.before), displayValue(id.key, e.after)
		effects = append(effects, e)
	}
	return effects
}

func sectionSet(m map[entryID]string) map[string]bool {
	sections := make(map[string]bool)
	for id := range m {
		sections[id.section] = true
	}
	return sections
}
