package compiler

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Kinds of sections.
const (
	kindControl = "control"
	kindOwner   = "owner"
	kindService = "service"
	kindSite    = "site"
)

// Keys of the sections that do not describe a service.
const (
	keyCurrency       = "currency"
	keyFailureDomains = "failure-domains"
	keyIdleRate       = "idle-rate"
	keyName           = "name"
	keyRegion         = "region"
	keyVoters         = "voters"
)

// maxVoters bounds the voters among the control instances.
const maxVoters = 7

var (
	controlKeys = []string{keyVoters}
	ownerKeys   = []string{keyIdleRate, keyCurrency}
	siteKeys    = []string{keyName, keyRegion, keyFailureDomains}
	serviceKeys = func() []string {
		keys := make([]string, len(settings))
		for i, s := range settings {
			keys[i] = s.key
		}
		return keys
	}()
)

// checker finds the faults of a document.
type checker struct {
	doc      *controlwire.Document
	values   map[entryID]string
	layers   []string // All layers in order, the base first.
	owners   []string
	services []string
	faults   []fault
	faulty   map[entryID]bool
}

func newChecker(doc *controlwire.Document) *checker {
	c := &checker{doc: doc, values: values(doc), faulty: make(map[entryID]bool)}
	layers := map[string]bool{baseLayer: true}
	sections := make(map[string]bool)
	for _, e := range doc.GetEntries() {
		layers[e.GetLayer()] = true
		if e.GetLayer() == baseLayer {
			sections[e.GetSection()] = true
		}
	}
	c.layers = sortedKeys(layers)
	for _, section := range sortedKeys(sections) {
		switch kind, name, _ := strings.Cut(section, " "); kind {
		case kindOwner:
			c.owners = append(c.owners, name)
		case kindService:
			c.services = append(c.services, name)
		}
	}
	return c
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// fail records the first fault of an entry, section or layer.
func (c *checker) fail(id entryID, message string) {
	if c.faulty[id] {
		return
	}
	c.faulty[id] = true
	c.faults = append(c.faults, fault{id: id, message: message})
}

// checkEntries checks each entry of the given layers by itself.
func (c *checker) checkEntries(layers []string) {
	wanted := make(map[string]bool, len(layers))
	for _, layer := range layers {
		wanted[layer] = true
	}
	seen := make(map[entryID]bool, len(c.values))
	for _, e := range c.doc.GetEntries() {
		id := idOf(e)
		if !wanted[id.layer] {
			continue
		}
		if seen[id] {
			c.fail(id, "the key stands twice")
		}
		seen[id] = true
		c.checkEntry(id, e.GetValue())
	}
}

func (c *checker) checkEntry(id entryID, value string) {
	if id.layer != baseLayer && !c.checkName(entryID{layer: id.layer}, id.layer) {
		return
	}
	if !c.checkSection(id) {
		return
	}
	if err := parser.CheckValue(value); err != nil {
		c.fail(id, err.Error())
		return
	}
	if keys := keysOf(id.section); !slices.Contains(keys, id.key) {
		c.fail(id, parser.Unknown("key", id.key, keys))
		return
	}
	if err := checkValue(id, value); err != nil {
		c.fail(id, err.Error())
	}
}

func (c *checker) checkName(id entryID, name string) bool {
	_, err := parser.Name(name)
	if err != nil {
		c.fail(id, err.Error())
	}
	return err == nil
}

// checkSection reports whether the section may stand in its layer.
func (c *checker) checkSection(id entryID) bool {
	header := entryID{layer: id.layer, section: id.section}
	kind, name, named := strings.Cut(id.section, " ")
	needsName, valid := sectionForms(id.layer)[kind]
	if !valid || needsName != named {
		c.fail(header, parser.Unknown("section", id.section, c.validSections(id.layer)))
		return false
	}
	if named && !c.checkName(header, name) {
		return false
	}
	if kind == kindService && !slices.Contains(c.services, name) {
		c.fail(header, parser.Unknown("service", name, c.services))
		return false
	}
	return true
}

// sectionForms returns the kinds of sections that may stand in a layer, and
// whether each needs a name.
func sectionForms(layer string) map[string]bool {
	if layer == baseLayer {
		return baseForms
	}
	return overlayForms
}

var (
	baseForms    = map[string]bool{kindControl: false, kindOwner: true, kindService: true}
	overlayForms = map[string]bool{kindSite: false, kindService: true}
)

func (c *checker) validSections(layer string) []string {
	if layer == baseLayer {
		return []string{kindControl, kindOwner + " NAME", kindService + " NAME"}
	}
	sections := []string{kindSite}
	for _, name := range c.services {
		sections = append(sections, kindService+" "+name)
	}
	return sections
}

func keysOf(section string) []string {
	switch kind, _, _ := strings.Cut(section, " "); kind {
	case kindControl:
		return controlKeys
	case kindOwner:
		return ownerKeys
	case kindSite:
		return siteKeys
	}
	return serviceKeys
}

func checkValue(id entryID, value string) error {
	switch id.key {
	case keyIdleRate:
		_, err := parseRate(value)
		return err
	case keyCurrency:
		return checkCurrency(value)
	case keyVoters:
		return checkVoters(value)
	case keyName:
		return checkSiteName(id.layer, value)
	case keyRegion:
		_, err := parser.Name(value)
		return err
	case keyFailureDomains:
		return checkNames(value)
	}
	var spec ServiceSpec
	return settingsByKey[id.key].set(&spec, value)
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
	_, err = parser.Int(itoa(len(voters)), 1, maxVoters)
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
