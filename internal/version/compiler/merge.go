package compiler

import (
	"maps"
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// JoinChanges combines consecutive changes into one per entry, the last one, in canonical
// order. They don't show whether an entry that was set and then removed existed before them,
// so that the result is for ApplyJoined.
func JoinChanges(changes []*controlwire.EntryChange) []*controlwire.EntryChange {
	last := make(map[entryID]*controlwire.EntryChange, len(changes))
	for _, change := range changes {
		last[idOf(change.GetEntry())] = change
	}
	joined := slices.Collect(maps.Values(last))
	slices.SortFunc(joined, func(a, b *controlwire.EntryChange) int { return compareEntries(a.GetEntry(), b.GetEntry()) })
	return joined
}

// FindDuplicate returns the second of two entries with the same layer, section and
// key, or nil if there are none.
func FindDuplicate(doc *controlwire.Document) *controlwire.Entry {
	seen := make(map[entryID]bool, len(doc.GetEntries()))
	for _, e := range doc.GetEntries() {
		if seen[idOf(e)] {
			return e
		}
		seen[idOf(e)] = true
	}
	return nil
}
