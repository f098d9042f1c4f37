package compiler

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// netChange is the combined effect of consecutive changes to one entry.
type netChange struct {
	last         *controlwire.EntryChange
	firstRemoved bool // The first change removed the entry, so it existed before.
}

// MergeChanges combines consecutive changes into one change per entry, in canonical
// order. It returns false if an entry was set and then removed: the changes don't
// show whether it existed before, and so whether its removal must be kept.
func MergeChanges(changes []*controlwire.EntryChange) ([]*controlwire.EntryChange, bool) {
	netByID := make(map[entryID]*netChange)
	for _, change := range changes {
		id := idOf(change.GetEntry())
		if net, ok := netByID[id]; ok {
			net.last = change
			continue
		}
		netByID[id] = &netChange{last: change, firstRemoved: change.GetRemoved()}
	}
	merged := make([]*controlwire.EntryChange, 0, len(netByID))
	for _, net := range netByID {
		if net.last.GetRemoved() && !net.firstRemoved {
			return nil, false
		}
		merged = append(merged, net.last)
	}
	slices.SortFunc(merged, func(a, b *controlwire.EntryChange) int { return compareEntries(a.GetEntry(), b.GetEntry()) })
	return merged, true
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
