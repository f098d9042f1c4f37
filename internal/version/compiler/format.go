package compiler

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	baseName      = "base"
	fileExtension = ".ini"
)

// FileName returns the name that Format gives to the file of a site's overlay, or to
// the base file if site is empty.
func FileName(site string) string {
	if site == baseLayer {
		site = baseName
	}
	return site + fileExtension
}

// Format returns the document as files, the base file first, then the overlays
// sorted by site. Parse turns them into the same document again. A document has no
// comments, so those of the original files are lost.
func Format(doc *controlwire.Document) []Source {
	var files []Source
	entries := slices.Clone(canonicalEntries(doc))
	for len(entries) > 0 {
		layer := entries[0].GetLayer()
		n := slices.IndexFunc(entries, func(e *controlwire.Entry) bool { return e.GetLayer() != layer })
		if n < 0 {
			n = len(entries)
		}
		files = append(files, Source{Name: FileName(layer), Data: formatLayer(entries[:n])})
		entries = entries[n:]
	}
	return files
}

// formatLayer formats the entries of one layer, the section [site] first.
func formatLayer(entries []*controlwire.Entry) []byte {
	slices.SortStableFunc(entries, func(a, b *controlwire.Entry) int {
		return cmp.Compare(sectionOrder(a), sectionOrder(b))
	})
	var text bytes.Buffer
	section := ""
	for _, e := range entries {
		if e.GetSection() != section {
			if section != "" {
				text.WriteByte('\n')
			}
			section = e.GetSection()
			fmt.Fprintf(&text, "[%s]\n", section)
		}
		fmt.Fprintf(&text, "%s = %s\n", e.GetKey(), e.GetValue())
	}
	return text.Bytes()
}

// sectionOrder returns the sort key by which formatLayer orders sections.
func sectionOrder(e *controlwire.Entry) int {
	if e.GetSection() == kindSite {
		return 0
	}
	return 1
}

// FormatEffective formats all settings in force at a site, defaults included, like a
// base file. The result is for display: it may have a section [site], so that Parse
// would not accept it, and it has no API keys.
func FormatEffective(doc *controlwire.Document, site string) []byte {
	c := newChecker(doc)
	m := c.effectiveEntries(site)
	for id, value := range c.sharedEntries() {
		m[id] = value
	}
	doc = &controlwire.Document{}
	for _, id := range sortedIDs(m) {
		doc.Entries = append(doc.Entries, newEntry(id, displayValue(id.key, m[id])))
	}
	return Format(doc)[0].Data
}

// FormatChange formats a change as one line, without API keys.
func FormatChange(change *controlwire.EntryChange) string {
	id := idOf(change.GetEntry())
	if change.GetRemoved() {
		return fmt.Sprintf("%s: %s removed", describeLocation(id), id.key)
	}
	return fmt.Sprintf("%s: %s = %s", describeLocation(id), id.key, displayValue(id.key, change.GetEntry().GetValue()))
}
