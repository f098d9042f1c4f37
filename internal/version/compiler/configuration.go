// Package compiler turns a base file and the overlays of all sites into the
// configuration of one site, for the nodes there.
//
// # Usage
//
//	doc, err := compiler.Parse(files)      // every error names file, line and key
//	cfg, err := compiler.Compile(doc, "oaxaca", number)
//	route := cfg.Route("catalogo.example", "/colores/ocre")
//	service, spec := route.Next()
//	changes := compiler.Diff(old, doc)     // the content of a Delta
//	doc, err = compiler.Apply(old, changes)
//	effects := compiler.Effects(old, doc)  // what changes at each site
//	files = compiler.Format(doc)           // for the next edit
//
// A Document holds the content of the files: the entries of a base layer and of one
// layer per site. Voters agree on documents, and nodes send them to each other in
// full or as a Delta. A Configuration is a Document compiled for one site; it is
// immutable and read without locks.
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
	sortedServices []*Service // In the order in which their routes are matched.
	// routesByHost holds the routes for a host by its name, and anyHostRoutes the
	// routes for any host, each in the order in which they are matched.
	routesByHost  map[string][]*Route
	anyHostRoutes []*Route
	limits        Limits
	organisations *Organisations
}

// NewConfiguration returns the configuration with the given version number,
// site and services.
func NewConfiguration(number uint64, site string, services []*Service) *Configuration {
	c := &Configuration{number: number, site: site, services: make(map[string]*Service, len(services)), routesByHost: make(map[string][]*Route)}
	for _, s := range services {
		c.services[s.Name()] = s
		c.sortedServices = append(c.sortedServices, s)
	}
	sort.Slice(c.sortedServices, func(i, j int) bool {
		return routeLess(newServiceRoute(c.sortedServices[i]), newServiceRoute(c.sortedServices[j]))
	})
	for _, s := range c.sortedServices {
		if !s.spec.Unrouted {
			c.addRoute(newServiceRoute(s))
		}
	}
	c.sortRoutes()
	return c
}

// addRoute adds a route. The caller must call sortRoutes afterwards.
func (c *Configuration) addRoute(r *Route) {
	hosts := r.hosts()
	if len(hosts) == 0 {
		c.anyHostRoutes = append(c.anyHostRoutes, r)
	}
	for _, host := range hosts {
		host = strings.ToLower(host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
}

// sortRoutes sorts the routes in the order in which they are matched.
func (c *Configuration) sortRoutes() {
	slices.SortFunc(c.anyHostRoutes, compareRoutes)
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, compareRoutes)
	}
}

// Number returns the version number. A larger number is newer.
func (c *Configuration) Number() uint64 { return c.number }

// Site returns the name of the site that the configuration is for.
func (c *Configuration) Site() string { return c.site }

// Region returns the name of the site's region, or "" if the site has no overlay.
func (c *Configuration) Region() string { return c.region }

// FailureDomains returns the names of the site's failure domains, or none if the
// site has no overlay. The caller must not change the slice.
func (c *Configuration) FailureDomains() []string { return c.failureDomains }

// Voters returns the peer addresses of the control instances that vote, or none if
// the base file does not set them and so leaves them unchanged. The caller must not
// change the slice.
func (c *Configuration) Voters() []netip.AddrPort { return c.voters }

// Owners returns all owners, sorted by name. The caller must not change the slice.
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

// Services returns all services, in the order in which their routes are matched. The
// caller must not change the slice.
func (c *Configuration) Services() []*Service { return c.sortedServices }

// Organisations returns the organisations of callers. It is empty if the configuration has
// none, and API keys then have no meaning.
func (c *Configuration) Organisations() *Organisations { return c.organisations }

// Limits returns the limits on the requests of callers.
func (c *Configuration) Limits() Limits { return c.limits }

// Route returns the route for a request's path and its host without a port, or nil.
// A route for that host takes precedence over one for any host. Among these, the one
// with the longest path prefix does.
func (c *Configuration) Route(host, path string) *Route {
	if r := firstMatch(c.routesByHost[strings.ToLower(host)], path); r != nil {
		return r
	}
	return firstMatch(c.anyHostRoutes, path)
}

// firstMatch returns the first route whose path prefix matches the path, or nil.
func firstMatch(routes []*Route, path string) *Route {
	for _, r := range routes {
		if hasPathPrefix(path, r.spec.PathPrefix) {
			return r
		}
	}
	return nil
}

// hasPathPrefix reports whether path equals prefix or is below it. The path segments
// must match completely: /a is not a prefix of /ab.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// compareRoutes orders longer path prefixes first, and equal lengths by route name.
func compareRoutes(a, b *Route) int {
	return cmp.Or(cmp.Compare(len(b.spec.PathPrefix), len(a.spec.PathPrefix)), cmp.Compare(a.spec.Name, b.spec.Name))
}

// routeLess reports whether a sorts before b: routes for certain hosts sort before
// those for any host, and otherwise as compareRoutes orders them.
func routeLess(a, b *Route) bool {
	if named := len(a.hosts()) > 0; named != (len(b.hosts()) > 0) {
		return named
	}
	return compareRoutes(a, b) < 0
}
