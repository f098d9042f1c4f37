package compiler

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// netChange is what several changes do to one entry.
type netChange struct {
	last         *controlwire.EntryChange
	firstRemoved bool // The first of them removed the entry, so that it was there.
}

// Merge returns what changes that follow each other do together, in canonical
// order. It reports false if it can't tell whether an entry that is gone was
// there at the start.
func Merge(changes []*controlwire.EntryChange) ([]*controlwire.EntryChange, bool) {
	byID := make(map[entryID]*netChange)
	for _, change := range changes {
		id := idOf(change.GetEntry())
		if net, ok := byID[id]; ok {
			net.last = change
			continue
		}
		byID[id] = &netChange{last: change, firstRemoved: change.GetRemoved()}
	}
	merged := make([]*controlwire.EntryChange, 0, len(byID))
	for _, net := range byID {
		if net.last.GetRemoved() && !net.firstRemoved {
			return nil, false
		}
		merged = append(merged, net.last)
	}
	slices.SortFunc(merged, func(a, b *controlwire.EntryChange) int { return compareEntries(a.GetEntry(), b.GetEntry()) })
	return merged, true
}

// Doubled returns an entry that the document has twice, or nil.
func Doubled(doc *controlwire.Document) *controlwire.Entry {
	seen := make(map[entryID]bool, len(doc.GetEntries()))
	for _, e := range doc.GetEntries() {
		if seen[idOf(e)] {
			return e
		}
		seen[idOf(e)] = true
	}
	return nil
}
