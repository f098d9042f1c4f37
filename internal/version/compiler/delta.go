package compiler

import (
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// ErrBase reports changes that do not fit the document that they are applied to.
var ErrBase = errors.New("the change does not fit the document")

// Diff returns the changes that lead from one document to another, in
// canonical order. A nil document is empty.
func Diff(old, next *controlwire.Document) []*controlwire.EntryChange {
	before, after := values(old), values(next)
	changed := make(map[entryID]string)
	for id, value := range before {
		if _, kept := after[id]; !kept {
			changed[id] = value
		}
	}
	for id, value := range after {
		if previous, known := before[id]; !known || previous != value {
			changed[id] = value
		}
	}
	var changes []*controlwire.EntryChange
	for _, id := range sortedIDs(changed) {
		_, kept := after[id]
		changes = append(changes, &controlwire.EntryChange{Entry: newEntry(id, changed[id]), Removed: !kept})
	}
	return changes
}

// Apply returns the document that the changes lead to, in canonical order. It
// returns ErrBase if a change removes an entry that is not in the document.
func Apply(doc *controlwire.Document, changes []*controlwire.EntryChange) (*controlwire.Document, error) {
	m := values(doc)
	for _, change := range changes {
		id := idOf(change.GetEntry())
		if !change.GetRemoved() {
			m[id] = change.GetEntry().GetValue()
			continue
		}
		if _, found := m[id]; !found {
			return nil, errors.Wrapf(ErrBase, "%s: %s is not there to be removed", describe(id), id.key)
		}
		delete(m, id)
	}
	return canonical(m), nil
}
