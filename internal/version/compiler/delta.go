package compiler

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// ErrNotApplicable means that changes cannot be applied to the given document.
var ErrNotApplicable = errors.New("the change does not apply to the document")

// Diff returns the changes that turn old into next, in canonical order. A nil
// document is empty. Both documents must be valid.
func Diff(old, next *controlwire.Document) []*controlwire.EntryChange {
	before, after := canonicalEntries(old), canonicalEntries(next)
	var changes []*controlwire.EntryChange
	for len(before) > 0 || len(after) > 0 {
		switch order := compareHeads(before, after); {
		case order < 0:
			changes = append(changes, &controlwire.EntryChange{Entry: before[0], Removed: true})
			before = before[1:]
		case order > 0:
			changes = append(changes, &controlwire.EntryChange{Entry: after[0]})
			after = after[1:]
		default:
			if before[0].GetValue() != after[0].GetValue() {
				changes = append(changes, &controlwire.EntryChange{Entry: after[0]})
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// compareHeads compares the ids of the first entries of two lists. An empty list
// sorts last.
func compareHeads(a, b []*controlwire.Entry) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return compareIDs(idOf(a[0]), idOf(b[0]))
}

// Apply returns the changed document in canonical order. It shares unchanged entries
// with doc. It returns ErrNotApplicable if a change removes an entry that the document
// does not have, if two changes are for the same entry, or if a change has no entry.
func Apply(doc *controlwire.Document, changes []*controlwire.EntryChange) (*controlwire.Document, error) {
	return applyChanges(doc, changes, true)
}

// ApplyJoined is Apply for changes from JoinChanges: the removal of an entry that the document
// does not have changes nothing. The caller must check the digest of the result.
func ApplyJoined(doc *controlwire.Document, changes []*controlwire.EntryChange) (*controlwire.Document, error) {
	return applyChanges(doc, changes, false)
}

func applyChanges(doc *controlwire.Document, changes []*controlwire.EntryChange, removedMustExist bool) (*controlwire.Document, error) {
	changes = slices.Clone(changes)
	slices.SortFunc(changes, func(a, b *controlwire.EntryChange) int { return compareEntries(a.GetEntry(), b.GetEntry()) })
	entries := canonicalEntries(doc)
	next := make([]*controlwire.Entry, 0, len(entries)+len(changes))
	for i, change := range changes {
		id := idOf(change.GetEntry())
		if change.GetEntry() == nil {
			return nil, errors.Wrap(ErrNotApplicable, "a change has no entry")
		}
		if i > 0 && idOf(changes[i-1].GetEntry()) == id {
			return nil, errors.Wrapf(ErrNotApplicable, "%s: %s is changed twice", describeLocation(id), id.key)
		}
		n, found := slices.BinarySearchFunc(entries, id, func(e *controlwire.Entry, id entryID) int {
			return compareIDs(idOf(e), id)
		})
		next = append(next, entries[:n]...)
		entries = entries[n:]
		if found {
			entries = entries[1:]
		}
		switch {
		case !change.GetRemoved():
			next = append(next, change.GetEntry())
		case !found && removedMustExist:
			return nil, errors.Wrapf(ErrNotApplicable, "%s: %s cannot be removed, as it does not exist", describeLocation(id), id.key)
		}
	}
	return &controlwire.Document{Entries: append(next, entries...)}, nil
}
