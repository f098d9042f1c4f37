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
	c.checkEntries(c.layers)
	for _, layer := range c.layers {
		c.checkLayer(layer, c.drafts(layer))
	}
	return c.faults
}

// Compile returns the configuration of one site, with the version's number. A
// site without an overlay follows the base. It returns parser.Errors if the
// base or the site's overlay has a fault.
func Compile(doc *controlwire.Document, site string, number uint64) (*Configuration, error) {
	c := newChecker(doc)
	c.checkEntries([]string{baseLayer, site})
	layer := baseLayer
	if c.hasLayer(site) {
		layer = site
	}
	drafts := c.drafts(layer)
	c.checkLayer(layer, drafts)
	if err := faultsError(c.faults, nil); err != nil {
		return nil, fmt.Errorf("compile for site %s: %w", site, err)
	}
	services := make([]*Service, len(drafts))
	for i, d := range drafts {
		services[i] = NewService(d.spec)
	}
	cfg := NewConfiguration(number, site, services)
	return cfg, c.complete(cfg, layer)
}

func (c *checker) hasLayer(name string) bool {
	for _, layer := range c.layers {
		if layer == name {
			return true
		}
	}
	return false
}

// complete adds to cfg what does not concern a service.
func (c *checker) complete(cfg *Configuration, layer string) (err error) {
	cfg.region = c.values[entryID{layer: layer, section: kindSite, key: keyRegion}]
	if value, set := c.values[entryID{layer: layer, section: kindSite, key: keyFailureDomains}]; set {
		if cfg.failureDomains, err = parser.List(value); err != nil {
			return fmt.Errorf("read failure domains: %w", err)
		}
	}
	if value, set := c.values[entryID{section: kindControl, key: keyVoters}]; set {
		if cfg.voters, err = parser.Addresses(value); err != nil {
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
	section := kindOwner + " " + name
	rate := c.values[entryID{section: section, key: keyIdleRate}]
	micros, err := parseRate(rate)
	if err != nil {
		return nil, fmt.Errorf("read rate of owner %s: %w", name, err)
	}
	currency := c.values[entryID{section: section, key: keyCurrency}]
	return &Owner{name: name, idleRate: rate, micros: micros, currency: currency}, nil
}

// Sites returns the names of the sites that have an overlay, in order.
func Sites(doc *controlwire.Document) []string {
	var sites []string
	for _, layer := range newChecker(doc).layers {
		if layer != baseLayer {
			sites = append(sites, layer)
		}
	}
	return sites
}
