package compiler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// layer holds the entries of the base file or of one overlay, by section header.
type layer struct {
	name     string
	sections map[string]*section
}

// section holds the entries of one section of a layer, sorted by key.
type section struct {
	id      entryID
	entries []*controlwire.Entry
}

// newLayers returns the document's layers by name. The base layer is always present.
func newLayers(doc *controlwire.Document) map[string]*layer {
	layers := map[string]*layer{baseLayer: {name: baseLayer, sections: make(map[string]*section)}}
	for _, e := range canonicalEntries(doc) {
		l := layers[e.GetLayer()]
		if l == nil {
			l = &layer{name: e.GetLayer(), sections: make(map[string]*section)}
			layers[l.name] = l
		}
		l.add(e)
	}
	return layers
}

func (l *layer) add(e *controlwire.Entry) {
	s := l.sections[e.GetSection()]
	if s == nil {
		s = &section{id: entryID{layer: l.name, section: e.GetSection()}}
		l.sections[e.GetSection()] = s
	}
	s.entries = append(s.entries, e)
}

// sortedSections returns the sections, sorted by header.
func (l *layer) sortedSections() []*section {
	list := make([]*section, 0, len(l.sections))
	for _, s := range l.sections {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *section) int { return cmp.Compare(a.id.section, b.id.section) })
	return list
}

// sectionNames returns the names of the sections of one kind, sorted. The header of
// a named section is its kind and its name.
func (l *layer) sectionNames(kind string) []string {
	var names []string
	for header := range l.sections {
		if k, name, named := strings.Cut(header, " "); named && k == kind {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// value returns the value of a key, and whether it is set.
func (l *layer) value(header, key string) (string, bool) {
	s := l.sections[header]
	if s == nil {
		return "", false
	}
	for _, e := range s.entries {
		if e.GetKey() == key {
			return e.GetValue(), true
		}
	}
	return "", false
}
