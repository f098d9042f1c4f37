package compiler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// organisationBuilder accumulates the settings of an organisation. Overlays have no
// organisations, so they are the same at all sites.
type organisationBuilder struct {
	header string // Of the organisation's section.
	spec   OrganisationSpec
}

func newOrganisationBuilder(name string) *organisationBuilder {
	return &organisationBuilder{header: kindOrganisation + " " + name, spec: OrganisationSpec{Name: name}}
}

// set sets one key. If the value is invalid, the builder stays unchanged.
func (b *organisationBuilder) set(e *controlwire.Entry) error {
	spec := b.spec
	if err := organisationSettingsByKey[e.GetKey()].set(&spec, e.GetValue()); err != nil {
		return err
	}
	b.spec = spec
	return nil
}

// organisation returns the builder of an organisation that the base has.
func (c *checker) organisation(name string) *organisationBuilder {
	i, _ := slices.BinarySearchFunc(c.organisations, name, func(b *organisationBuilder, name string) int {
		return strings.Compare(b.spec.Name, name)
	})
	return c.organisations[i]
}

// checkOrganisations checks that no API key is listed twice. It does not tell which.
func (c *checker) checkOrganisations() {
	holders := make(map[string]string)
	for _, b := range c.organisations {
		for _, key := range b.spec.APIKeys {
			id := entryID{layer: baseLayer, section: b.header, key: keyAPIKeys}
			switch holder, taken := holders[key]; {
			case taken && holder == b.header:
				c.addViolation(id, "an API key is listed twice")
			case taken:
				c.addViolation(id, holder+" has the same API key")
			}
			holders[key] = b.header
		}
	}
}

// compileOrganisations returns the organisations, or nil if there are none.
func (c *checker) compileOrganisations() *Organisations {
	specs := make([]OrganisationSpec, len(c.organisations))
	for i, b := range c.organisations {
		specs[i] = b.spec
	}
	return newOrganisations(specs)
}

// CompileOrganisations returns only the organisations of a valid document, or nil if there are none.
// Control instances need no more of a document with many services and routes.
func CompileOrganisations(doc *controlwire.Document) (*Organisations, error) {
	builders := make(map[string]*organisationBuilder)
	for _, e := range doc.GetEntries() {
		name, is := strings.CutPrefix(e.GetSection(), kindOrganisation+" ")
		if !is || e.GetLayer() != baseLayer {
			continue
		}
		if builders[name] == nil {
			builders[name] = newOrganisationBuilder(name)
		}
		if err := builders[name].set(e); err != nil {
			return nil, fmt.Errorf("organisation %s: %w", name, err)
		}
	}
	specs := make([]OrganisationSpec, 0, len(builders))
	for _, b := range builders {
		specs = append(specs, b.spec)
	}
	return newOrganisations(specs), nil
}
