package voter

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Where a document names the addresses of the voters.
const (
	controlSection = "control"
	votersKey      = "voters"
)

// entryKey names an entry of a document.
type entryKey struct{ layer, section, key string }

func keyOf(e *controlwire.Entry) entryKey {
	return entryKey{layer: e.GetLayer(), section: e.GetSection(), key: e.GetKey()}
}

func compareKeys(a, b entryKey) int {
	return cmp.Or(cmp.Compare(a.layer, b.layer), cmp.Compare(a.section, b.section), cmp.Compare(a.key, b.key))
}

// doubled returns an entry that the document has twice, or nil.
func doubled(doc *controlwire.Document) *controlwire.Entry {
	seen := make(map[entryKey]bool, len(doc.GetEntries()))
	for _, e := range doc.GetEntries() {
		if seen[keyOf(e)] {
			return e
		}
		seen[keyOf(e)] = true
	}
	return nil
}

// netChange is what several changes do to one entry.
type netChange struct {
	last         *controlwire.EntryChange
	firstRemoved bool // The first of them removed the entry, so that it was there.
}

// merger sums up changes that follow each other.
type merger map[entryKey]*netChange

// add takes in the next change.
func (m merger) add(change *controlwire.EntryChange) {
	key := keyOf(change.GetEntry())
	if net, ok := m[key]; ok {
		net.last = change
		return
	}
	m[key] = &netChange{last: change, firstRemoved: change.GetRemoved()}
}

// changes returns the sum, in the order of the entries. It reports false if it
// can't tell whether an entry that is gone was there at the start.
func (m merger) changes() ([]*controlwire.EntryChange, bool) {
	list := make([]*controlwire.EntryChange, 0, len(m))
	for _, net := range m {
		if net.last.GetRemoved() && !net.firstRemoved {
			return nil, false
		}
		list = append(list, net.last)
	}
	slices.SortFunc(list, func(a, b *controlwire.EntryChange) int {
		return compareKeys(keyOf(a.GetEntry()), keyOf(b.GetEntry()))
	})
	return list, true
}

// voterAddresses returns the addresses of the voters that the document names,
// in order and each once, or none.
func voterAddresses(doc *controlwire.Document) []string {
	for _, e := range doc.GetEntries() {
		if keyOf(e) == (entryKey{section: controlSection, key: votersKey}) {
			return splitAddresses(e.GetValue())
		}
	}
	return nil
}

func splitAddresses(value string) []string {
	list := strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
	slices.Sort(list)
	return slices.Compact(list)
}
