package compiler

import (
	"maps"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// draft is a service as one layer over the base describes it.
type draft struct {
	header string
	spec   ServiceSpec
	// origin tells which layer set a key.
	origin map[string]string
}

func newDraft(name string) *draft {
	return &draft{header: kindService + " " + name, spec: DefaultServiceSpec(name), origin: make(map[string]string)}
}

// clone returns a copy to lay an overlay over.
func (d *draft) clone() *draft {
	return &draft{header: d.header, spec: d.spec, origin: maps.Clone(d.origin)}
}

// set sets one key. It leaves the draft as it is if the value has a fault.
func (d *draft) set(e *controlwire.Entry) error {
	spec := d.spec
	if err := settingsByKey[e.GetKey()].set(&spec, e.GetValue()); err != nil {
		return err
	}
	d.spec = spec
	d.origin[e.GetKey()] = e.GetLayer()
	return nil
}

// at returns the id of the first of the keys that the overlay sets, or else
// that the base sets, or else the id of the service's section in the base.
func (d *draft) at(keys ...string) entryID {
	id := entryID{layer: baseLayer, section: d.header}
	for _, key := range keys {
		layer, set := d.origin[key]
		if set && layer != baseLayer {
			return entryID{layer: layer, section: d.header, key: key}
		}
		if set && id.key == "" {
			id.key = key
		}
	}
	return id
}
