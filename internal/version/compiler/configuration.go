// Package compiler turns a base file and the overlays of all sites into the
// configuration that the nodes of one site follow.
//
// # Usage
//
//	doc, err := compiler.Parse(files)      // every error names file, line and key
//	cfg, err := compiler.Compile(doc, "oaxaca", number)
//	service := cfg.Route("catalogo.example", "/colores/ocre")
//	changes := compiler.Diff(old, doc)     // what a Delta carries
//	doc, err = compiler.Apply(old, changes)
//	effects := compiler.Effects(old, doc)  // what changes at each site
//	files = compiler.Format(doc)           // to be edited again
//
// A Document is what operators wrote: entries of a base layer and of one layer
// per site. It is what voters agree on and what nodes hand to each other,
// whole or as a Delta. A Configuration is a Document compiled for one site; it
// is immutable and read without locks.
package compiler

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"
	"strings"
)

// Configuration is one version of the configuration, compiled for one site.
type Configuration struct {
	number         uint64
	site           string
	region         string
	failureDomains []string
	voters         []netip.AddrPort
	owners         []*Owner
	services       map[string]*Service
	ordered        []*Service // By the order of their routes.
	// byHost holds the routes that name a host, anyHost those that name none,
	// each in the order in which they are matched.
	byHost  map[string][]*Route
	anyHost []*Route
	limits  Limits
}

// NewConfiguration returns the configuration with the given version number,
// site and services.
func NewConfiguration(number uint64, site string, services []*Service) *Configuration {
	c := &Configuration{number: number, site: site, services: make(map[string]*Service, len(services)), byHost: make(map[string][]*Route)}
	for _, s := range services {
		c.services[s.Name()] = s
		c.ordered = append(c.ordered, s)
	}
	sort.Slice(c.ordered, func(i, j int) bool {
		return routeBefore(newServiceRoute(c.ordered[i]), newServiceRoute(c.ordered[j]))
	})
	for _, s := range c.ordered {
		if !s.spec.Unrouted {
			c.addRoute(newServiceRoute(s))
		}
	}
	c.orderRoutes()
	return c
}

// addRoute adds a route. orderRoutes must follow.
func (c *Configuration) addRoute(r *Route) {
	hosts := r.hosts()
	if len(hosts) == 0 {
		c.anyHost = append(c.anyHost, r)
	}
	for _, host := range hosts {
		host = strings.ToLower(host)
		c.byHost[host] = append(c.byHost[host], r)
	}
}

// orderRoutes brings the routes into the order in which they are matched.
func (c *Configuration) orderRoutes() {
	slices.SortFunc(c.anyHost, compareRoutes)
	for _, routes := range c.byHost {
		slices.SortFunc(routes, compareRoutes)
	}
}

// Number returns the version's number. A larger number is newer.
func (c *Configuration) Number() uint64 { return c.number }

// Site returns the name of the site that the configuration is for.
func (c *Configuration) Site() string { return c.site }

// Region returns the name of the site's region, or "" if the site has no overlay.
func (c *Configuration) Region() string { return c.region }

// FailureDomains returns the names of the site's failure domains, if it has
// an overlay. The caller must not change the slice.
func (c *Configuration) FailureDomains() []string { return c.failureDomains }

// Voters returns the peer addresses of the control instances that vote, or
// none if the base file leaves them as they are. The caller must not change
// the slice.
func (c *Configuration) Voters() []netip.AddrPort { return c.voters }

// Owners returns all owners by name. The caller must not change the slice.
func (c *Configuration) Owners() []*Owner { return c.owners }

// Owner returns the owner with the given name, or nil.
func (c *Configuration) Owner(name string) *Owner {
	for _, o := range c.owners {
		if o.name == name {
			return o
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Services returns all services in the order in which routes are matched. The
// caller must not change the slice.
func (c *Configuration) Services() []*Service { return c.ordered }

// Limits returns what bounds the requests of callers.
func (c *Configuration) Limits() Limits { return c.limits }

// Route returns the route for a request's host, without port, and path, or
// nil. A route that names the host goes before one for any host; among these
// the longest path prefix wins.
func (c *Configuration) Route(host, path string) *Route {
	if r := firstUnder(c.byHost[strings.ToLower(host)], path); r != nil {
		return r
	}
	return firstUnder(c.anyHost, path)
}

// firstUnder returns the first route whose path prefix holds the path, or nil.
func firstUnder(routes []*Route, path string) *Route {
	for _, r := range routes {
		if underPrefix(path, r.spec.PathPrefix) {
			return r
		}
	}
	return nil
}

// underPrefix reports whether path is prefix or lies below it, counting whole
// path segments.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// compareRoutes puts the longer path prefix first.
func compareRoutes(a, b *Route) int {
	return cmp.Or(cmp.Compare(len(b.spec.PathPrefix), len(a.spec.PathPrefix)), cmp.Compare(a.spec.Name, b.spec.Name))
}

// routeBefore puts routes that name a host before the others.
func routeBefore(a, b *Route) bool {
	if named := len(a.hosts()) > 0; named != (len(b.hosts()) > 0) {
		return named
	}
	return compareRoutes(a, b) < 0
}
