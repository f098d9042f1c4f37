package compiler

import (
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// layer holds the entries of the base file or of one overlay, by section header.
type layer struct {
	name     string
	sections map[string]*section
	sorted   []*section // The sections, sorted by header.
}

// section holds the entries of one section of a layer, sorted by key.
type section struct {
	id      entryID
	entries []*controlwire.Entry
	parsed  bool // It was parsed without an error for an earlier version.
}

// newLayers returns the document's layers by name. The base layer is always present.
func newLayers(doc *controlwire.Document) map[string]*layer {
	layers := map[string]*layer{baseLayer: {name: baseLayer, sections: make(map[string]*section)}}
	for entries := canonicalEntries(doc); len(entries) > 0; {
		first := entries[0]
		n := 1
		for n < len(entries) && entries[n].GetSection() == first.GetSection() && entries[n].GetLayer() == first.GetLayer() {
			n++
		}
		l := layers[first.GetLayer()]
		if l == nil {
			l = &layer{name: first.GetLayer(), sections: make(map[string]*section)}
			layers[l.name] = l
		}
		s := &section{id: entryID{layer: l.name, section: first.GetSection()}, entries: entries[:n:n]}
		l.sections[s.id.section] = s
		l.sorted = append(l.sorted, s)
		entries = entries[n:]
	}
	return layers
}

// sortedSections returns the sections, sorted by header. The caller must not change the slice.
func (l *layer) sortedSections() []*section { return l.sorted }

// sectionNames returns the names of the sections of one kind, sorted. The header of
// a named section is its kind and its name.
func (l *layer) sectionNames(kind string) []string {
	var names []string
	for _, s := range l.sorted {
		if k, name, named := strings.Cut(s.id.section, " "); named && k == kind {
			names = append(names, name)
		}
	}
	return names // Sorted, since their headers have the same start.
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
