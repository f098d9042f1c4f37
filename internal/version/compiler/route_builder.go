package compiler

import (
	"fmt"
	"slices"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// routeBuilder accumulates the settings of a route: the defaults, overridden by the
// base. Overlays have no routes, so they are the same at all sites.
type routeBuilder struct {
	header  string // Of the route's section.
	spec    RouteSpec
	changed RouteSpec // The spec of set before it is known to be valid.
	keysSet []string
	entries []*controlwire.Entry // Of the section.
	match   string               // The host and path prefix, once they are checked.
}

func newRouteBuilder(name string) *routeBuilder {
	return &routeBuilder{header: kindRoute + " " + name, spec: defaultRouteSpec(name), keysSet: make([]string, 0, len(routeSettings))}
}

// set sets one key. If the value is invalid, the builder stays unchanged.
func (b *routeBuilder) set(e *controlwire.Entry) error {
	b.changed = b.spec
	if err := routeSettingsByKey[e.GetKey()].set(&b.changed, e.GetValue()); err != nil {
		return err
	}
	b.spec = b.changed
	b.keysSet = append(b.keysSet, e.GetKey())
	return nil
}

func (b *routeBuilder) isSet(key string) bool { return slices.Contains(b.keysSet, key) }

// locate returns the entry to name in an error about keys: the first of them that is
// set, else the route's section.
func (b *routeBuilder) locate(keys ...string) entryID {
	for _, key := range keys {
		if b.isSet(key) {
			return entryID{layer: baseLayer, section: b.header, key: key}
		}
	}
	return entryID{layer: baseLayer, section: b.header}
}

// checkRoutes checks that each route has services, that these exist, and that no
// other route or service has the same host and path prefix. headerByRoute maps the
// hosts and path prefixes of services to the headers of their sections.
func (c *checker) checkRoutes(headerByRoute map[string]string) {
	for _, b := range c.routes {
		if !b.isSet(keyServices) {
			c.addViolation(b.locate(), "the key "+keyServices+" is missing")
			continue
		}
		for _, s := range b.spec.Services {
			if _, known := slices.BinarySearch(c.serviceNames, s.Name); !known {
				c.addViolation(b.locate(keyServices), parser.UnknownMessage("service", s.Name, c.serviceNames))
			}
		}
		if b.match == "" {
			b.match = getRouteHost(&b.spec) + b.spec.PathPrefix
		}
		route := b.match
		if other, taken := headerByRoute[route]; taken {
			c.addViolation(b.locate(keyPathPrefix, keyHost), fmt.Sprintf("%s has the same route %s", other, route))
			continue
		}
		headerByRoute[route] = b.header
	}
}

// parsedRoutes returns the routes by their headers. The document must be valid.
func (c *checker) parsedRoutes() parsedRoutes {
	parsed := make(parsedRoutes, len(c.routes))
	for _, b := range c.routes {
		parsed[b.header] = b
	}
	return parsed
}

// compileRoutes returns the routes, linked to the given services by name.
func (c *checker) compileRoutes(services map[string]*Service) []*Route {
	var routes []*Route
	for _, b := range c.routes {
		var targets []*Service
		for _, s := range b.spec.Services {
			targets = append(targets, services[s.Name])
		}
		routes = append(routes, newRoute(b.spec, targets))
	}
	return routes
}
