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
	"net/netip"
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
	routes         []*Service
}

// NewConfiguration returns the configuration with the given version number,
// site and services.
func NewConfiguration(number uint64, site string, services []*Service) *Configuration {
	c := &Configuration{number: number, site: site, services: make(map[string]*Service, len(services))}
	for _, s := range services {
		c.services[s.Name()] = s
		c.routes = append(c.routes, s)
	}
	sort.Slice(c.routes, func(i, j int) bool { return routeBefore(c.routes[i], c.routes[j]) })
	return c
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
func (c *Configuration) Services() []*Service { return c.routes }

// Route returns the service for a request's host, without port, and path, or
// nil. A service that names the host goes before one for any host; among
// these the longest path prefix wins.
func (c *Configuration) Route(host, path string) *Service {
	for _, s := range c.routes {
		if s.matches(host, path) {
			return s
		}
	}
	return nil
}

func (s *Service) matches(host, path string) bool {
	if !underPrefix(path, s.spec.PathPrefix) {
		return false
	}
	if len(s.spec.Hosts) == 0 {
		return true
	}
	for _, h := range s.spec.Hosts {
		if strings.EqualFold(h, host) {
			return true
		}
	}
	return false
}

// underPrefix reports whether path is prefix or lies below it, counting whole
// path segments.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

func routeBefore(a, b *Service) bool {
	if named := len(a.spec.Hosts) > 0; named != (len(b.spec.Hosts) > 0) {
		return named
	}
	if len(a.spec.PathPrefix) != len(b.spec.PathPrefix) {
		return len(a.spec.PathPrefix) > len(b.spec.PathPrefix)
	}
	return a.spec.Name < b.spec.Name
}
