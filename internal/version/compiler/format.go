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

// FileName returns the name of the file that Format writes for a site's
// overlay, or for the base file if site is empty.
func FileName(site string) string {
	if site == baseLayer {
		site = baseName
	}
	return site + fileExtension
}

// Format writes the document as files that Parse reads again into the same
// document: the base file first, then the overlays by site. Comments are not
// kept in a document.
func Format(doc *controlwire.Document) []Source {
	var files []Source
	entries := slices.Clone(canonical(doc))
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

// formatLayer writes the entries of one layer, the section [site] first.
func formatLayer(entries []*controlwire.Entry) []byte {
	slices.SortStableFunc(entries, func(a, b *controlwire.Entry) int {
		return cmp.Compare(rank(a), rank(b))
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

func rank(e *controlwire.Entry) int {
	if e.GetSection() == kindSite {
		return 0
	}
	return 1
}

// FormatEffective writes all settings that hold at a site, defaults included,
// in the form of a base file. It is for reading.
func FormatEffective(doc *controlwire.Document, site string) []byte {
	c := newChecker(doc)
	m := c.effective(site)
	for id, value := range c.common() {
		m[id] = value
	}
	doc = &controlwire.Document{}
	for _, id := range sortedIDs(m) {
		doc.Entries = append(doc.Entries, newEntry(id, m[id]))
	}
	return Format(doc)[0].Data
}

// FormatChange writes one change as one line.
func FormatChange(change *controlwire.EntryChange) string {
	id := idOf(change.GetEntry())
	if change.GetRemoved() {
		return fmt.Sprintf("%s: %s removed", describe(id), id.key)
	}
	return fmt.Sprintf("%s: %s = %s", describe(id), id.key, change.GetEntry().GetValue())
}
