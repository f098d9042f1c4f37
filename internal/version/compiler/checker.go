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

// checker validates a document while it builds the services and routes.
type checker struct {
	layers        map[string]*layer
	base          *layer
	ownerNames    []string
	serviceNames  []string
	routeNames    []string
	baseServices  []*serviceBuilder      // Without overlays, in the order of serviceNames.
	routes        []*routeBuilder        // In the order of routeNames.
	organisations []*organisationBuilder // In the order of their names.
	limits        Limits
	violations    []violation
	invalid       map[entryID]bool
}

// newChecker returns a checker that has checked the base layer of doc.
func newChecker(doc *controlwire.Document) *checker { return newCheckerAfter(doc, nil) }

// newCheckerAfter is newChecker with routes that were parsed earlier, which it takes if they are
// unchanged.
func newCheckerAfter(doc *controlwire.Document, earlier parsedRoutes) *checker {
	c := &checker{layers: newLayers(doc), invalid: make(map[entryID]bool)}
	c.base = c.layers[baseLayer]
	c.ownerNames = c.base.sectionNames(kindOwner)
	c.serviceNames = c.base.sectionNames(kindService)
	for _, name := range c.serviceNames {
		c.baseServices = append(c.baseServices, newServiceBuilder(name))
	}
	c.routeNames = c.base.sectionNames(kindRoute)
	c.routes = make([]*routeBuilder, len(c.routeNames))
	for i, name := range c.routeNames {
		c.routes[i] = earlier.builder(c.base.sections[kindRoute+" "+name], name)
	}
	for _, name := range c.base.sectionNames(kindOrganisation) {
		c.organisations = append(c.organisations, newOrganisationBuilder(name))
	}
	c.checkSections(c.base, c.baseServices)
	c.checkBase()
	c.checkOrganisations()
	c.checkServices(c.baseServices)
	return c
}

// siteNames returns the names of the sites that have an overlay, sorted.
func (c *checker) siteNames() []string {
	names := slices.Sorted(maps.Keys(c.layers))
	return names[1:] // The base's name is empty.
}

// resolveSite checks the overlay of a site, and returns the services with the
// overlay applied. For a site without an overlay it returns those of the base.
func (c *checker) resolveSite(name string) []*serviceBuilder {
	overlay := c.layers[name]
	if overlay == nil || overlay == c.base {
		return c.baseServices
	}
	services := make([]*serviceBuilder, len(c.baseServices))
	for i, b := range c.baseServices {
		services[i] = b
		if overlay.sections[b.header] != nil {
			services[i] = b.clone()
		}
	}
	if !c.checkName(entryID{layer: name}, name) {
		return services
	}
	c.checkSections(overlay, services)
	c.requireKeys(overlay, kindSite, siteKeys)
	c.checkServices(services)
	return services
}

// addViolation records a violation, unless the entry, section or layer already has
// one: the check of each site finds the violations of the base again.
func (c *checker) addViolation(id entryID, message string) {
	if c.invalid[id] {
		return
	}
	c.invalid[id] = true
	c.violations = append(c.violations, violation{id: id, message: message})
}

func (c *checker) checkName(id entryID, name string) bool {
	_, err := parser.Name(name)
	if err != nil {
		c.addViolation(id, err.Error())
	}
	return err == nil
}

// checkSections checks each entry of a layer on its own, and applies those of services,
// routes and limits. The services must be in the order of c.serviceNames.
func (c *checker) checkSections(l *layer, services []*serviceBuilder) {
	for _, s := range l.sortedSections() {
		if s.parsed {
			continue
		}
		kind, name, ok := c.checkHeader(s)
		if !ok {
			continue
		}
		set := func(e *controlwire.Entry) error { return checkValueByKey(l.name, e) }
		switch kind {
		case kindService:
			i, _ := slices.BinarySearch(c.serviceNames, name)
			set = services[i].set
		case kindRoute:
			i, _ := slices.BinarySearch(c.routeNames, name)
			set = c.routes[i].set
		case kindOrganisation:
			set = c.organisation(name).set
		case kindLimits:
			set = func(e *controlwire.Entry) error { return limitsByKey[e.GetKey()].set(&c.limits, e.GetValue()) }
		}
		c.checkEntries(s, keysOfKind(kind), set)
	}
}

// checkHeader returns the kind and name of a section, and whether its layer may have
// such a section.
func (c *checker) checkHeader(s *section) (kind, name string, ok bool) {
	kind, name, named := strings.Cut(s.id.section, " ")
	needsName, valid := allowedKinds(s.id.layer)[kind]
	if !valid || needsName != named {
		c.addViolation(s.id, parser.UnknownMessage("section", s.id.section, c.validHeaders(s.id.layer)))
		return kind, name, false
	}
	if named && !c.checkName(s.id, name) {
		return kind, name, false
	}
	if _, known := slices.BinarySearch(c.serviceNames, name); kind == kindService && !known {
		c.addViolation(s.id, parser.UnknownMessage("service", name, c.serviceNames))
		return kind, name, false
	}
	return kind, name, true
}

// validHeaders returns the section headers that a layer may have.
func (c *checker) validHeaders(layer string) []string {
	if layer == baseLayer {
		return []string{kindControl, kindLimits, kindOrganisation + " NAME", kindOwner + " NAME", kindRoute + " NAME", kindService + " NAME"}
	}
	headers := []string{kindSite}
	for _, name := range c.serviceNames {
		headers = append(headers, kindService+" "+name)
	}
	return headers
}

// checkEntries checks that the keys of a section are valid and unique, and passes each
// entry with a valid key and a printable value to set, whose error it records.
func (c *checker) checkEntries(s *section, keys []string, set func(*controlwire.Entry) error) {
	previous := ""
	for _, e := range s.entries {
		id := idOf(e)
		if e.GetKey() == previous {
			c.addViolation(id, "duplicate key")
		}
		previous = e.GetKey()
		if !slices.Contains(keys, id.key) {
			c.addViolation(id, parser.UnknownMessage("key", id.key, keys))
			continue
		}
		if err := parser.CheckValue(e.GetValue()); err != nil {
			c.addViolation(id, err.Error())
			continue
		}
		if err := set(e); err != nil {
			c.addViolation(id, err.Error())
		}
	}
}

// checkBase checks that the base defines a service, and sets the required keys of
// owners and services.
func (c *checker) checkBase() {
	if len(c.serviceNames) == 0 {
		c.addViolation(entryID{layer: baseLayer}, "no service is defined")
	}
	for _, name := range c.ownerNames {
		c.requireKeys(c.base, kindOwner+" "+name, ownerRates)
	}
	for _, name := range c.serviceNames {
		c.requireKeys(c.base, kindService+" "+name, []string{keyOwner})
	}
}

// requireKeys checks that a section sets all of the keys. It reports the first that
// is missing.
func (c *checker) requireKeys(l *layer, header string, keys []string) {
	for _, key := range keys {
		if _, set := l.value(header, key); !set {
			c.addViolation(entryID{layer: l.name, section: header}, "the key "+key+" is missing")
			return
		}
	}
}

// checkServices checks the settings of services, and then of routes, against each
// other.
func (c *checker) checkServices(services []*serviceBuilder) {
	headerByRoute := make(map[string]string, len(services))
	for _, b := range services {
		c.checkOwner(b)
		c.checkTimeouts(b)
		c.checkServiceRoutes(b, headerByRoute)
	}
	c.checkRoutes(headerByRoute)
}

// checkOwner checks that the owner of a service exists. Earlier checks have reported an
// owner that is missing or malformed.
func (c *checker) checkOwner(b *serviceBuilder) {
	id := b.locate(keyOwner)
	if _, known := slices.BinarySearch(c.ownerNames, b.spec.Owner); known || id.key == "" {
		return
	}
	c.addViolation(id, fmt.Sprintf("%q: %s", b.spec.Owner, parser.UnknownMessage("owner", b.spec.Owner, c.ownerNames)))
}

func (c *checker) checkTimeouts(b *serviceBuilder) {
	if b.spec.Timeout <= b.spec.MaxTimeout {
		return
	}
	c.addViolation(b.locate("timeout", "max-timeout"), fmt.Sprintf("the timeout %s is longer than the max-timeout %s",
		parser.FormatDuration(b.spec.Timeout), parser.FormatDuration(b.spec.MaxTimeout)))
}

// checkServiceRoutes checks that no earlier service has the same host and path
// prefix, and adds those of b to headerByRoute.
func (c *checker) checkServiceRoutes(b *serviceBuilder, headerByRoute map[string]string) {
	if b.spec.Unrouted {
		return
	}
	hosts := b.spec.Hosts
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	for _, host := range hosts {
		route := host + b.spec.PathPrefix
		if other, taken := headerByRoute[route]; taken {
			c.addViolation(b.locate("path-prefix", "hosts", keyOwner), fmt.Sprintf("%s has the same route %s", other, route))
			continue
		}
		headerByRoute[route] = b.header
	}
}

// checkValueByKey checks the value of an entry in a section of kind control, owner
// or site, whose keys have no setting.
func checkValueByKey(layer string, e *controlwire.Entry) error {
	value := e.GetValue()
	switch e.GetKey() {
	case keyIdleRate:
		_, err := parseRate(value)
		return err
	case keyCurrency:
		return checkCurrency(value)
	case keyHosts:
		return checkHosts(value)
	case keyVoters:
		return checkVoters(value)
	case keyName:
		return checkSiteName(layer, value)
	case keyRegion:
		_, err := parser.Name(value)
		return err
	}
	return checkNameList(value)
}

func checkSiteName(layer, value string) error {
	if value == baseName {
		return errors.New("the name is reserved for the base file")
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

func checkNameList(value string) error {
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
