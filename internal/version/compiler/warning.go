package compiler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Warning describes an entry of a valid document that has no effect, or that contradicts
// another one.
type Warning struct {
	id      entryID
	message string
}

// String formats the warning as one line, which names the layer and the section.
func (w Warning) String() string {
	if w.id.key == "" {
		return fmt.Sprintf("%s: %s", describeLocation(w.id), w.message)
	}
	return fmt.Sprintf("%s: %s: %s", describeLocation(w.id), w.id.key, w.message)
}

// Warnings returns the warnings about a document in canonical order: those of the base, and
// those that only the overlay of a site causes. The document must be valid.
func Warnings(doc *controlwire.Document) []Warning {
	c := newChecker(doc)
	w := &warner{checker: c, known: make(map[entryID]bool)}
	w.warnOfVoters()
	w.warnOfOwners()
	w.warnOfOrganisations()
	for _, b := range c.routes {
		w.warnOfRoute(b)
	}
	for _, b := range c.baseServices {
		w.warnOfUnusedService(b)
		w.warnOfService(b)
	}
	for _, site := range c.siteNames() {
		services := c.resolveSite(site)
		for _, b := range services {
			w.warnOfService(b)
		}
		w.warnOfOverlay(site)
	}
	slices.SortStableFunc(w.warnings, func(a, b Warning) int { return compareIDs(a.id, b.id) })
	return w.warnings
}

// warner collects the warnings about a document.
type warner struct {
	checker  *checker
	warnings []Warning
	known    map[entryID]bool
}

// warn adds a warning, unless the entry or section already has one: the check of each site
// finds those of the base again.
func (w *warner) warn(id entryID, format string, args ...any) {
	if w.known[id] {
		return
	}
	w.known[id] = true
	w.warnings = append(w.warnings, Warning{id: id, message: fmt.Sprintf(format, args...)})
}

func (w *warner) warnOfVoters() {
	value, set := w.checker.base.value(kindControl, keyVoters)
	if voters, err := parser.Addresses(value); set && err == nil && len(voters)%2 == 0 {
		w.warn(entryID{section: kindControl, key: keyVoters}, "%d voters bear the loss of no more than %d do", len(voters), len(voters)-1)
	}
}

func (w *warner) warnOfOwners() {
	used := make(map[string]bool)
	for _, b := range w.checker.baseServices {
		used[b.spec.Owner] = true
	}
	for _, name := range w.checker.ownerNames {
		if !used[name] {
			w.warn(entryID{section: kindOwner + " " + name}, "no service has this owner")
		}
	}
}

func (w *warner) warnOfOrganisations() {
	for _, b := range w.checker.organisations {
		id := func(key string) entryID { return entryID{section: b.header, key: key} }
		if len(b.spec.APIKeys) == 0 {
			w.warn(entryID{section: b.header}, "it has no API key, so that no request belongs to it")
		}
		if b.spec.Rate == 0 && b.spec.Burst > 0 {
			w.warn(id("burst"), "it has no effect without a rate")
		}
		if b.spec.Rate > 0 && b.spec.Burst < 1 {
			w.warn(id("rate"), "without a burst of at least 1, requests that come together are refused")
		}
	}
	if len(w.checker.organisations) > 0 && w.onlyPublicRoutes() {
		w.warn(entryID{section: w.checker.organisations[0].header}, "all routes are public, so that no API key is read")
	}
}

// onlyPublicRoutes reports whether no request can belong to an organisation.
func (w *warner) onlyPublicRoutes() bool {
	for _, b := range w.checker.baseServices {
		if !b.spec.Unrouted {
			return false
		}
	}
	for _, b := range w.checker.routes {
		if !b.spec.Public {
			return false
		}
	}
	return true
}

func (w *warner) warnOfRoute(b *routeBuilder) {
	if b.spec.LatencyGoal > b.spec.Timeout {
		w.warn(b.locate("latency-goal"), "the goal %s is longer than the timeout %s",
			parser.FormatDuration(b.spec.LatencyGoal), parser.FormatDuration(b.spec.Timeout))
	}
	if b.spec.Public && len(w.checker.organisations) == 0 {
		w.warn(b.locate(keyPublic), "it has no effect without organisations")
	}
	if strings.Contains(b.spec.PathPrefix, "%") {
		w.warn(b.locate(keyPathPrefix), "no path matches it: paths are compared after their escapes are decoded")
	}
}

// warnOfUnusedService warns of a service that no request can reach.
func (w *warner) warnOfUnusedService(b *serviceBuilder) {
	if !b.spec.Unrouted {
		return
	}
	for _, route := range w.checker.routes {
		for _, s := range route.spec.Services {
			if s.Name == b.spec.Name && s.Weight > 0 {
				return
			}
		}
	}
	w.warn(entryID{section: b.header}, "no route leads to it")
}

// warnOfService warns of settings of a service that contradict each other, if one of them was
// set and is not a default.
func (w *warner) warnOfService(b *serviceBuilder) {
	s := &b.spec
	end := parser.FormatDuration(s.MaxTimeout)
	if s.HedgeAfter > 0 && s.HedgeAfter >= s.MaxTimeout {
		w.warnOfSettings(b, []string{"hedge-after"}, "no second attempt starts: requests end after %s", end)
	}
	if s.HedgeAfter > 0 && s.MaxAttempts == 1 {
		w.warnOfSettings(b, []string{"hedge-after"}, "no second attempt starts: there is only one attempt")
	}
	if s.StallTimeout > s.MaxTimeout {
		w.warnOfSettings(b, []string{"stall-timeout"}, "it never ends: requests end after %s", end)
	}
	if s.Connections < s.Slots {
		w.warnOfSettings(b, []string{"connections", "slots"}, "%d connections use no more than %d of %d slots", s.Connections, s.Connections, s.Slots)
	}
	if s.KeyRetention < s.MaxTimeout {
		w.warnOfSettings(b, []string{"key-retention", "max-timeout"}, "an idempotency key is forgotten before requests end after %s", end)
	}
	if s.ColdRate > 0 && s.ColdStart == 0 {
		w.warnOfSettings(b, []string{"cold-rate"}, "it has no effect: the cold start lasts 0s")
	}
}

// warnOfSettings adds a warning about settings of a service, unless all of them are defaults.
func (w *warner) warnOfSettings(b *serviceBuilder, keys []string, format string, args ...any) {
	if id := b.locate(keys...); id.key != "" {
		w.warn(id, format, args...)
	}
}

// warnOfOverlay warns of keys that an overlay sets to the value that the base sets.
func (w *warner) warnOfOverlay(site string) {
	for _, section := range w.checker.layers[site].sortedSections() {
		name, isService := strings.CutPrefix(section.id.section, kindService+" ")
		i, known := slices.BinarySearch(w.checker.serviceNames, name)
		if !isService || !known {
			continue
		}
		base := w.checker.baseServices[i]
		for _, e := range section.entries {
			_, set := base.layerByKey[e.GetKey()]
			if set && serviceSettingsByKey[e.GetKey()].get(&base.spec) == e.GetValue() {
				w.warn(idOf(e), "the base sets the same value")
			}
		}
	}
}
