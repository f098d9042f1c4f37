package compiler

import (
	"slices"
	"sync"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Compiler compiles consecutive versions for one site, as Compile does. It parses only those
// routes again whose sections differ from the version before: a large configuration mostly
// has many routes, of which a change names few.
type Compiler struct {
	site string

	mu     sync.Mutex
	parsed parsedRoutes
}

// parsedRoutes holds routes that were parsed without an error, by the header of their section.
type parsedRoutes map[string]*routeBuilder

// NewCompiler returns a compiler for a site that has not compiled a version yet.
func NewCompiler(site string) *Compiler { return &Compiler{site: site} }

// Compile returns the configuration of the site, with the given version number.
func (c *Compiler) Compile(doc *controlwire.Document, number uint64) (*Configuration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg, parsed, err := compile(doc, c.site, number, c.parsed)
	if err == nil {
		c.parsed = parsed
	}
	return cfg, err
}

// builder returns the builder for the route of a section: that of an earlier version, and then
// marks the section as parsed, or a new one.
func (p parsedRoutes) builder(s *section, name string) *routeBuilder {
	if b := p[s.id.section]; b != nil && slices.EqualFunc(b.entries, s.entries, sameSetting) {
		s.parsed = true
		return b
	}
	b := newRouteBuilder(name)
	b.entries = s.entries
	return b
}

// sameSetting reports whether two entries of one section are equal.
func sameSetting(a, b *controlwire.Entry) bool {
	return a == b || a.GetKey() == b.GetKey() && a.GetValue() == b.GetValue()
}
