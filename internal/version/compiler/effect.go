package compiler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Scopes of an effect that do not name one site.
const (
	// ScopeEverywhere is the scope of what concerns all sites alike.
	ScopeEverywhere = "everywhere"
	// ScopeOther is the scope of the sites that have no overlay.
	ScopeOther = "sites without an overlay"
)

// Effect is one difference between two documents in what holds at a site,
// after the overlay was laid over the base and defaults were filled in.
type Effect struct{ scope, section, key, before, after string }

// Scope returns "site NAME", ScopeOther or ScopeEverywhere.
func (e Effect) Scope() string { return e.scope }

// Section returns the header of the section, such as "service vitrina".
func (e Effect) Section() string { return e.section }

// Key returns the key, or "" if the section as a whole was added or removed.
func (e Effect) Key() string { return e.key }

// Before returns the value that held, or "" if there was none.
func (e Effect) Before() string { return e.before }

// After returns the value that will hold, or "" if there is none.
func (e Effect) After() string { return e.after }

// String returns the effect as one line, without its scope.
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

// Effects returns what changes at each site that has an overlay in either
// document, at the sites that have none, and everywhere. A nil document is
// empty. Both documents must be free of faults.
func Effects(old, next *controlwire.Document) []Effect {
	before, after := newChecker(old), newChecker(next)
	effects := compare(ScopeEverywhere, before.common(), after.common())
	effects = append(effects, compare(ScopeOther, before.effective(baseLayer), after.effective(baseLayer))...)
	sites := slices.Concat(before.sites(), after.sites())
	slices.Sort(sites)
	for _, site := range slices.Compact(sites) {
		effects = append(effects, compare("site "+site, before.effective(site), after.effective(site))...)
	}
	return effects
}

// common returns the entries of the base that do not describe a service.
func (c *checker) common() map[entryID]string {
	m := make(map[entryID]string)
	for header, s := range c.base.sections {
		if !strings.HasPrefix(header, kindService+" ") {
			s.copyTo(m)
		}
	}
	return m
}

// effective returns all settings of the services and of the site.
func (c *checker) effective(site string) map[entryID]string {
	m := make(map[entryID]string)
	if overlay := c.layers[site]; overlay != nil && overlay.sections[kindSite] != nil {
		overlay.sections[kindSite].copyTo(m)
	}
	for _, d := range c.site(site) {
		for _, s := range settings {
			m[entryID{section: d.header, key: s.key}] = s.get(&d.spec)
		}
	}
	return m
}

// copyTo adds the entries of a section to m, as if they stood in the base.
func (s *section) copyTo(m map[entryID]string) {
	for _, e := range s.entries {
		m[entryID{section: e.GetSection(), key: e.GetKey()}] = e.GetValue()
	}
}

func sortedIDs(m map[entryID]string) []entryID {
	return slices.SortedFunc(maps.Keys(m), compareIDs)
}

func compare(scope string, before, after map[entryID]string) []Effect {
	all := make(map[entryID]string, len(after))
	for _, m := range []map[entryID]string{before, after} {
		for id := range m {
			all[id] = ""
		}
	}
	had, has := sectionsOf(before), sectionsOf(after)
	var effects []Effect
	for _, id := range sortedIDs(all) {
		e := Effect{scope: scope, section: id.section, key: id.key, before: before[id], after: after[id]}
		if had[id.section] != has[id.section] {
			e.key = ""
		}
		if e.before == e.after || len(effects) > 0 && e.key == "" && effects[len(effects)-1].section == e.section {
			continue
		}
		effects = append(effects, e)
	}
	return effects
}

func sectionsOf(m map[entryID]string) map[string]bool {
	sections := make(map[string]bool)
	for id := range m {
		sections[id.section] = true
	}
	return sections
}
