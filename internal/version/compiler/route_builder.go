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
	keysSet map[string]bool
}

func newRouteBuilder(name string) *routeBuilder {
	return &routeBuilder{header: kindRoute + " " + name, spec: defaultRouteSpec(name), keysSet: make(map[string]bool)}
}

// set sets one key. If the value is invalid, the builder stays unchanged.
func (b *routeBuilder) set(e *controlwire.Entry) error {
	spec := b.spec
	if err := routeSettingsByKey[e.GetKey()].set(&spec, e.GetValue()); err != nil {
		return err
	}
	b.spec = spec
	b.keysSet[e.GetKey()] = true
	return nil
}

// locate returns the entry to name in an error about keys: the first of them that is
// set, else the route's section.
func (b *routeBuilder) locate(keys ...string) entryID {
	for _, key := range keys {
		if b.keysSet[key] {
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
		if !b.keysSet[keyServices] {
			c.addViolation(b.locate(), "the key "+keyServices+" is missing")
			continue
		}
		for _, s := range b.spec.Services {
			if _, known := slices.BinarySearch(c.serviceNames, s.Name); !known {
				c.addViolation(b.locate(keyServices), parser.UnknownMessage("service", s.Name, c.serviceNames))
			}
		}
		route := getRouteHost(&b.spec) + b.spec.PathPrefix
		if other, taken := headerByRoute[route]; taken {
			c.addViolation(b.locate(keyPathPrefix, keyHost), fmt.Sprintf("%s has the same route %s", other, route))
			continue
		}
		headerByRoute[route] = b.header
	}
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
