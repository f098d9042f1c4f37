package compiler

import (
	"fmt"
	"slices"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// routeDraft is a route as the base describes it. Routes are the same at all sites.
type routeDraft struct {
	header string
	spec   RouteSpec
	set    map[string]bool // Keys that are set.
}

func newRouteDraft(name string) *routeDraft {
	return &routeDraft{header: kindRoute + " " + name, spec: defaultRouteSpec(name), set: make(map[string]bool)}
}

// put sets one key. It leaves the draft as it is if the value has a fault.
func (d *routeDraft) put(e *controlwire.Entry) error {
	spec := d.spec
	if err := routeSettingsByKey[e.GetKey()].set(&spec, e.GetValue()); err != nil {
		return err
	}
	d.spec = spec
	d.set[e.GetKey()] = true
	return nil
}

// at returns the id of the first of the keys that is set, or else that of the section.
func (d *routeDraft) at(keys ...string) entryID {
	for _, key := range keys {
		if d.set[key] {
			return entryID{layer: baseLayer, section: d.header, key: key}
		}
	}
	return entryID{layer: baseLayer, section: d.header}
}

// checkRouteDrafts checks what the entries of the routes mean together. The
// map holds the hosts and path prefixes that are taken.
func (c *checker) checkRouteDrafts(taken map[string]string) {
	for _, d := range c.routes {
		if !d.set[keyServices] {
			c.fail(d.at(), "the key "+keyServices+" is missing")
			continue
		}
		for _, s := range d.spec.Services {
			if _, known := slices.BinarySearch(c.services, s.Name); !known {
				c.fail(d.at(keyServices), parser.Unknown("service", s.Name, c.services))
			}
		}
		place := getRouteHost(&d.spec) + d.spec.PathPrefix
		if other, double := taken[place]; double {
			c.fail(d.at(keyPathPrefix, keyHost), fmt.Sprintf("%s has the same route %s", other, place))
			continue
		}
		taken[place] = d.header
	}
}

// compileRoutes returns the routes with their services.
func (c *checker) compileRoutes(services map[string]*Service) []*Route {
	var routes []*Route
	for _, d := range c.routes {
		var targets []*Service
		for _, s := range d.spec.Services {
			targets = append(targets, services[s.Name])
		}
		routes = append(routes, newRoute(d.spec, targets))
	}
	return routes
}
