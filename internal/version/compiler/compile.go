package compiler

import (
	"fmt"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// CheckAll checks the document for every site that has an overlay, and for
// the sites that have none. It returns parser.Errors with every fault, which
// name the layer, section and key.
func CheckAll(doc *controlwire.Document) error {
	return faultsError(checkAll(doc), nil)
}

func checkAll(doc *controlwire.Document) []fault {
	c := newChecker(doc)
	for _, name := range c.sites() {
		c.site(name)
	}
	return c.faults
}

// Compile returns the configuration of one site, with the version's number. A
// site without an overlay follows the base. It returns parser.Errors if the
// base or the site's overlay has a fault.
func Compile(doc *controlwire.Document, site string, number uint64) (*Configuration, error) {
	c := newChecker(doc)
	drafts := c.site(site)
	if err := faultsError(c.faults, nil); err != nil {
		return nil, fmt.Errorf("compile for site %s: %w", site, err)
	}
	services := make([]*Service, len(drafts))
	for i, d := range drafts {
		services[i] = NewService(d.spec)
	}
	cfg := NewConfiguration(number, site, services)
	for _, r := range c.compileRoutes(cfg.services) {
		cfg.addRoute(r)
	}
	cfg.orderRoutes()
	cfg.limits = c.limits
	if err := c.complete(cfg); err != nil {
		return nil, fmt.Errorf("compile for site %s: %w", site, err)
	}
	return cfg, nil
}

// complete adds to cfg what does not concern a service.
func (c *checker) complete(cfg *Configuration) (err error) {
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
	for _, name := range c.owners {
		owner, err := c.owner(name)
		if err != nil {
			return err
		}
		cfg.owners = append(cfg.owners, owner)
	}
	return nil
}

func (c *checker) owner(name string) (*Owner, error) {
	header := kindOwner + " " + name
	rate, _ := c.base.value(header, keyIdleRate)
	currency, _ := c.base.value(header, keyCurrency)
	micros, err := parseRate(rate)
	if err != nil {
		return nil, fmt.Errorf("read rate of owner %s: %w", name, err)
	}
	return &Owner{name: name, idleRate: rate, micros: micros, currency: currency}, nil
}

// Sites returns the names of the sites that have an overlay, in order.
func Sites(doc *controlwire.Document) []string { return newChecker(doc).sites() }
