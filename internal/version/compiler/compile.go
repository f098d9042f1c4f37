package compiler

import (
	"fmt"
	"slices"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// CheckAll checks the document for every site that has an overlay, and for the sites
// that have none. It returns parser.Errors with the layer, section and key of every
// error.
func CheckAll(doc *controlwire.Document) error {
	return toParserErrors(checkAllSites(doc), nil)
}

func checkAllSites(doc *controlwire.Document) []violation {
	c := newChecker(doc)
	for _, name := range c.siteNames() {
		c.resolveSite(name)
	}
	return c.violations
}

// Compile returns the configuration of one site, with the given version number. A
// site without an overlay has the settings of the base. Compile returns
// parser.Errors if the base or the site's overlay is invalid.
func Compile(doc *controlwire.Document, site string, number uint64) (*Configuration, error) {
	cfg, _, err := compile(doc, site, number, nil)
	return cfg, err
}

// compile does the work of Compile. It takes routes from earlier if they are unchanged, and
// returns those of doc.
func compile(doc *controlwire.Document, site string, number uint64, earlier parsedRoutes) (*Configuration, parsedRoutes, error) {
	c := newCheckerAfter(doc, earlier)
	builders := c.resolveSite(site)
	if err := toParserErrors(c.violations, nil); err != nil {
		return nil, nil, fmt.Errorf("compile for site %s: %w", site, err)
	}
	services := make([]*Service, len(builders))
	for i, b := range builders {
		services[i] = NewService(b.spec)
	}
	cfg := NewConfiguration(number, site, services)
	for _, r := range c.compileRoutes(cfg.services) {
		cfg.addRoute(r)
	}
	cfg.sortRoutes()
	cfg.limits = c.limits
	cfg.organisations = c.compileOrganisations()
	if err := c.addSiteAndOwners(cfg); err != nil {
		return nil, nil, fmt.Errorf("compile for site %s: %w", site, err)
	}
	return cfg, c.parsedRoutes(), nil
}

// addSiteAndOwners sets the region, failure domains, voters and owners of cfg.
func (c *checker) addSiteAndOwners(cfg *Configuration) (err error) {
	if overlay := c.layers[cfg.site]; overlay != nil && overlay != c.base {
		cfg.region, _ = overlay.value(kindSite, keyRegion)
		domains, _ := overlay.value(kindSite, keyFailureDomains)
		if cfg.failureDomains, err = parser.List(domains); err != nil {
			return fmt.Errorf("read failure domains: %w", err)
		}
	}
	if voters, set := c.base.value(kindControl, keyVoters); set {
		if cfg.voters, err = parser.Addresses(voters); err != nil {
			return fmt.Errorf("read voters: %w", err)
		}
	}
	for _, name := range c.ownerNames {
		owner, err := c.newOwner(name)
		if err != nil {
			return err
		}
		cfg.owners = append(cfg.owners, owner)
	}
	return nil
}

func (c *checker) newOwner(name string) (*Owner, error) {
	header := kindOwner + " " + name
	rate, _ := c.base.value(header, keyIdleRate)
	currency, _ := c.base.value(header, keyCurrency)
	micros, err := parseRate(rate)
	if err != nil {
		return nil, fmt.Errorf("read rate of owner %s: %w", name, err)
	}
	return &Owner{name: name, idleRate: rate, micros: micros, currency: currency}, nil
}

// NamesFailureDomain reports whether an overlay names the failure domain.
func NamesFailureDomain(doc *controlwire.Document, domain string) bool {
	for _, l := range newLayers(doc) {
		list, _ := l.value(kindSite, keyFailureDomains)
		// A list that cannot be parsed is not in an accepted document.
		if names, err := parser.List(list); err == nil && slices.Contains(names, domain) {
			return true
		}
	}
	return false
}

// Sites returns the names of the sites that have an overlay, sorted.
func Sites(doc *controlwire.Document) []string { return newChecker(doc).siteNames() }

// HasOverlay reports whether the document has an overlay of the site.
func HasOverlay(doc *controlwire.Document, site string) bool {
	return slices.ContainsFunc(doc.GetEntries(), func(e *controlwire.Entry) bool { return e.GetLayer() == site })
}
