package compiler

import (
	"fmt"
	"strconv"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// draft is a service as one layer over the base describes it.
type draft struct {
	spec ServiceSpec
	// origin tells which layer set a key.
	origin map[string]string
}

// at returns the id of the first of the keys that the overlay sets, or else
// that the base sets, or else the id of the service's section in the base.
func (d *draft) at(keys ...string) entryID {
	id := entryID{layer: baseLayer, section: kindService + " " + d.spec.Name}
	for _, key := range keys {
		layer, set := d.origin[key]
		if set && layer != baseLayer {
			return entryID{layer: layer, section: id.section, key: key}
		}
		if set && id.key == "" {
			id.key = key
		}
	}
	return id
}

// drafts returns all services as they are at the site of the given layer.
func (c *checker) drafts(layer string) []*draft {
	drafts := make([]*draft, len(c.services))
	for i, name := range c.services {
		d := &draft{spec: DefaultServiceSpec(name), origin: make(map[string]string)}
		c.overlay(d, baseLayer)
		if layer != baseLayer {
			c.overlay(d, layer)
		}
		drafts[i] = d
	}
	return drafts
}

// overlay sets the keys that one layer sets. Values with faults, which are
// recorded already, are left out.
func (c *checker) overlay(d *draft, layer string) {
	for _, s := range settings {
		id := entryID{layer: layer, section: kindService + " " + d.spec.Name, key: s.key}
		value, set := c.values[id]
		if !set {
			continue
		}
		spec := d.spec
		if err := s.set(&spec, value); err == nil {
			d.spec = spec
		}
		d.origin[s.key] = layer
	}
}

// checkLayer checks what the entries of a layer and the base mean together.
func (c *checker) checkLayer(layer string, drafts []*draft) {
	if layer == baseLayer {
		c.checkOwners()
		c.checkNotEmpty()
	} else {
		c.require(layer, kindSite, siteKeys...)
	}
	routes := make(map[string]string)
	for _, d := range drafts {
		c.checkOwner(d)
		c.checkTimeouts(d)
		c.checkRoutes(d, routes)
	}
}

func (c *checker) checkOwners() {
	for _, name := range c.owners {
		c.require(baseLayer, kindOwner+" "+name, ownerKeys...)
	}
}

func (c *checker) checkNotEmpty() {
	if len(c.services) == 0 {
		c.fail(entryID{layer: baseLayer}, "no service is described")
	}
}

func (c *checker) require(layer, section string, keys ...string) {
	for _, key := range keys {
		if _, set := c.values[entryID{layer: layer, section: section, key: key}]; !set {
			c.fail(entryID{layer: layer, section: section}, "the key "+key+" is missing")
			return
		}
	}
}

func (c *checker) checkOwner(d *draft) {
	id := d.at("owner")
	if id.key == "" {
		c.fail(id, "the key owner is missing")
		return
	}
	for _, name := range c.owners {
		if name == d.spec.Owner {
			return
		}
	}
	c.fail(id, fmt.Sprintf("%q: %s", d.spec.Owner, parser.Unknown("owner", d.spec.Owner, c.owners)))
}

func (c *checker) checkTimeouts(d *draft) {
	if c.faulty[d.at("max-timeout")] || d.spec.Timeout <= d.spec.MaxTimeout {
		return
	}
	c.fail(d.at("timeout", "max-timeout"), fmt.Sprintf("the timeout %s is longer than the max-timeout %s",
		parser.FormatDuration(d.spec.Timeout), parser.FormatDuration(d.spec.MaxTimeout)))
}

// checkRoutes checks that no other service has the same host and path prefix.
func (c *checker) checkRoutes(d *draft, routes map[string]string) {
	hosts := d.spec.Hosts
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	for _, host := range hosts {
		route := host + d.spec.PathPrefix
		if other, taken := routes[route]; taken {
			c.fail(d.at("path-prefix", "hosts", "owner"), fmt.Sprintf("service %s has the same route %s", other, route))
			continue
		}
		routes[route] = d.spec.Name
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
