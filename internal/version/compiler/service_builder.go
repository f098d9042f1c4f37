package compiler

import (
	"maps"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// serviceBuilder accumulates the settings of a service at one site: the defaults,
// overridden by the base, overridden by the site's overlay.
type serviceBuilder struct {
	header string // Of the service's section.
	spec   ServiceSpec
	// layerByKey maps each key that is set to the layer that set it last.
	layerByKey map[string]string
}

func newServiceBuilder(name string) *serviceBuilder {
	return &serviceBuilder{header: kindService + " " + name, spec: DefaultServiceSpec(name), layerByKey: make(map[string]string)}
}

// clone returns a copy to which an overlay can be applied.
func (b *serviceBuilder) clone() *serviceBuilder {
	return &serviceBuilder{header: b.header, spec: b.spec, layerByKey: maps.Clone(b.layerByKey)}
}

// set sets one key. If the value is invalid, the builder stays unchanged.
func (b *serviceBuilder) set(e *controlwire.Entry) error {
	spec := b.spec
	if err := serviceSettingsByKey[e.GetKey()].set(&spec, e.GetValue()); err != nil {
		return err
	}
	b.spec = spec
	b.layerByKey[e.GetKey()] = e.GetLayer()
	return nil
}

// locate returns the entry to name in an error about keys: the first of them that
// the overlay sets, else the first that the base sets, else the service's section in
// the base.
func (b *serviceBuilder) locate(keys ...string) entryID {
	id := entryID{layer: baseLayer, section: b.header}
	for _, key := range keys {
		layer, set := b.layerByKey[key]
		if set && layer != baseLayer {
			return entryID{layer: layer, section: b.header, key: key}
		}
		if set && id.key == "" {
			id.key = key
		}
	}
	return id
}
