package compiler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// checker finds the faults of a document while it builds the services.
type checker struct {
	layers     map[string]*layer
	base       *layer
	owners     []string
	services   []string
	routeNames []string
	drafts     []*draft // The services as the base describes them.
	routes     []*routeDraft
	limits     Limits
	faults     []fault
	faulty     map[entryID]bool
}

// newChecker returns a checker that has checked the base.
func newChecker(doc *controlwire.Document) *checker {
	c := &checker{layers: newLayers(doc), faulty: make(map[entryID]bool)}
	c.base = c.layers[baseLayer]
	c.owners = c.base.names(kindOwner)
	c.services = c.base.names(kindService)
	for _, name := range c.services {
		c.drafts = append(c.drafts, newDraft(name))
	}
	c.routeNames = c.base.names(kindRoute)
	for _, name := range c.routeNames {
		c.routes = append(c.routes, newRouteDraft(name))
	}
	c.checkSections(c.base, c.drafts)
	c.checkBase()
	c.checkDrafts(c.drafts)
	return c
}

// sites returns the names of the sites that have an overlay, in order.
func (c *checker) sites() []string {
	names := slices.Sorted(maps.Keys(c.layers))
	return names[1:] // The base's name is empty.
}

// site checks the overlay of a site, and returns the services as they are
// there. A site without an overlay follows the base.
func (c *checker) site(name string) []*draft {
	overlay := c.layers[name]
	if overlay == nil || overlay == c.base {
		return c.drafts
	}
	drafts := make([]*draft, len(c.drafts))
	for i, d := range c.drafts {
		drafts[i] = d
		if overlay.sections[d.header] != nil {
			drafts[i] = d.clone()
		}
	}
	if !c.checkName(entryID{layer: name}, name) {
		return drafts
	}
	c.checkSections(overlay, drafts)
	c.require(overlay, kindSite, siteKeys)
	c.checkDrafts(drafts)
	return drafts
}

// fail records the first fault of an entry, section or layer.
func (c *checker) fail(id entryID, message string) {
	if c.faulty[id] {
		return
	}
	c.faulty[id] = true
	c.faults = append(c.faults, fault{id: id, message: message})
}

func (c *checker) checkName(id entryID, name string) bool {
	_, err := parser.Name(name)
	if err != nil {
		c.fail(id, err.Error())
	}
	return err == nil
}

// checkSections checks each entry of a layer by itself, and sets what it says
// in the drafts, which are in the order of c.services.
func (c *checker) checkSections(l *layer, drafts []*draft) {
	for _, s := range l.ordered() {
		kind, name, ok := c.checkHeader(s)
		if !ok {
			continue
		}
		set := func(e *controlwire.Entry) error { return checkValue(l.name, e) }
		switch kind {
		case kindService:
			i, _ := slices.BinarySearch(c.services, name)
			set = drafts[i].set
		case kindRoute:
			i, _ := slices.BinarySearch(c.routeNames, name)
			set = c.routes[i].put
		case kindLimits:
			set = func(e *controlwire.Entry) error { return limitsByKey[e.GetKey()].set(&c.limits, e.GetValue()) }
		}
		c.checkEntries(s, keysOf(kind), set)
	}
}

// checkHeader returns the kind and the name of a section, and whether it may
// stand in its layer.
func (c *checker) checkHeader(s *section) (kind, name string, ok bool) {
	kind, name, named := strings.Cut(s.header.section, " ")
	needsName, valid := sectionForms(s.header.layer)[kind]
	if !valid || needsName != named {
		c.fail(s.header, parser.Unknown("section", s.header.section, c.validSections(s.header.layer)))
		return kind, name, false
	}
	if named && !c.checkName(s.header, name) {
		return kind, name, false
	}
	if _, known := slices.BinarySearch(c.services, name); kind == kindService && !known {
		c.fail(s.header, parser.Unknown("service", name, c.services))
		return kind, name, false
	}
	return kind, name, true
}

func (c *checker) validSections(layer string) []string {
	if layer == baseLayer {
		return []string{kindControl, kindLimits, kindOwner + " NAME", kindRoute + " NAME", kindService + " NAME"}
	}
	sections := []string{kindSite}
	for _, name := range c.services {
		sections = append(sections, kindService+" "+name)
	}
	return sections
}

func (c *checker) checkEntries(s *section, keys []string, set func(*controlwire.Entry) error) {
	previous := ""
	for _, e := range s.entries {
		id := idOf(e)
		if e.GetKey() == previous {
			c.fail(id, "the key stands twice")
		}
		previous = e.GetKey()
		if !slices.Contains(keys, id.key) {
			c.fail(id, parser.Unknown("key", id.key, keys))
			continue
		}
		if err := parser.CheckValue(e.GetValue()); err != nil {
			c.fail(id, err.Error())
			continue
		}
		if err := set(e); err != nil {
			c.fail(id, err.Error())
		}
	}
}

func (c *checker) checkBase() {
	if len(c.services) == 0 {
		c.fail(entryID{layer: baseLayer}, "no service is described")
	}
	for _, name := range c.owners {
		c.require(c.base, kindOwner+" "+name, ownerKeys)
	}
	for _, name := range c.services {
		c.require(c.base, kindService+" "+name, []string{keyOwner})
	}
}

// require checks that a section sets the keys.
func (c *checker) require(l *layer, header string, keys []string) {
	for _, key := range keys {
		if _, set := l.value(header, key); !set {
			c.fail(entryID{layer: l.name, section: header}, "the key "+key+" is missing")
			return
		}
	}
}

// checkDrafts checks what the entries of the services mean together.
func (c *checker) checkDrafts(drafts []*draft) {
	routes := make(map[string]string, len(drafts))
	for _, d := range drafts {
		c.checkOwner(d)
		c.checkTimeouts(d)
		c.checkRoutes(d, routes)
	}
	c.checkRouteDrafts(routes)
}

func (c *checker) checkOwner(d *draft) {
	id := d.at(keyOwner)
	if _, known := slices.BinarySearch(c.owners, d.spec.Owner); known || id.key == "" {
		return
	}
	c.fail(id, fmt.Sprintf("%q: %s", d.spec.Owner, parser.Unknown("owner", d.spec.Owner, c.owners)))
}

func (c *checker) checkTimeouts(d *draft) {
	if d.spec.Timeout <= d.spec.MaxTimeout {
		return
	}
	c.fail(d.at("timeout", "max-timeout"), fmt.Sprintf("the timeout %s is longer than the max-timeout %s",
		parser.FormatDuration(d.spec.Timeout), parser.FormatDuration(d.spec.MaxTimeout)))
}

// checkRoutes checks that no other service has the same host and path prefix.
func (c *checker) checkRoutes(d *draft, routes map[string]string) {
	if d.spec.Unrouted {
		return
	}
	hosts := d.spec.Hosts
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	for _, host := range hosts {
		route := host + d.spec.PathPrefix
		if other, taken := routes[route]; taken {
			c.fail(d.at("path-prefix", "hosts", keyOwner), fmt.Sprintf("%s has the same route %s", other, route))
			continue
		}
		routes[route] = d.header
	}
}

// checkValue checks the value of an entry that does not describe a service.
func checkValue(layer string, e *controlwire.Entry) error {
	value := e.GetValue()
	switch e.GetKey() {
	case keyIdleRate:
		_, err := parseRate(value)
		return err
	case keyCurrency:
		return checkCurrency(value)
	case keyVoters:
		return checkVoters(value)
	case keyName:
		return checkSiteName(layer, value)
	case keyRegion:
		_, err := parser.Name(value)
		return err
	}
	return checkNames(value)
}

func checkSiteName(layer, value string) error {
	if value == baseName {
		return errors.New("the name is kept for the base file")
	}
	if value != layer {
		return errors.Errorf("%q is not the name of the site %s", value, layer)
	}
	return nil
}

func checkVoters(value string) error {
	voters, err := parser.Addresses(value)
	if err != nil {
		return err
	}
	_, err = parser.Int(strconv.Itoa(len(voters)), 1, MaxVoters)
	return err
}

func checkNames(value string) error {
	names, err := parser.List(value)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := parser.Name(name); err != nil {
			return err
		}
	}
	return nil
}
