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

// compareEntries orders entries by layer, section and key.
func compareEntries(a, b *controlwire.Entry) int {
	return cmp.Or(
		strings.Compare(a.GetLayer(), b.GetLayer()),
		strings.Compare(a.GetSection(), b.GetSection()),
		strings.Compare(a.GetKey(), b.GetKey()),
	)
}

// canonical returns the document with its entries in order.
func canonical(doc *controlwire.Document) *controlwire.Document {
	entries := slices.Clone(doc.GetEntries())
	slices.SortStableFunc(entries, compareEntries)
	return &controlwire.Document{Entries: entries}
}

// diff returns the changes that lead from one canonical document to another.
func diff(from, to *controlwire.Document) []*controlwire.EntryChange {
	var changes []*controlwire.EntryChange
	a, b := from.GetEntries(), to.GetEntries()
	for len(a) > 0 || len(b) > 0 {
		switch order := compareHeads(a, b); {
		case order < 0:
			changes = append(changes, &controlwire.EntryChange{Entry: a[0], Removed: true})
			a = a[1:]
		case order > 0:
			changes = append(changes, &controlwire.EntryChange{Entry: b[0]})
			b = b[1:]
		default:
			if a[0].GetValue() != b[0].GetValue() {
				changes = append(changes, &controlwire.EntryChange{Entry: b[0]})
			}
			a, b = a[1:], b[1:]
		}
	}
	return changes
}

// compareHeads compares the first entries of two lists; an empty list comes last.
func compareHeads(a, b []*controlwire.Entry) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return compareEntries(a[0], b[0])
	}
}

// patch returns the canonical document to which the changes lead. The changes
// are ordered as diff orders them.
func patch(doc *controlwire.Document, changes []*controlwire.EntryChange) *controlwire.Document {
	entries := make([]*controlwire.Entry, 0, len(doc.GetEntries())+len(changes))
	rest := doc.GetEntries()
	for _, change := range changes {
		for len(rest) > 0 && compareEntries(rest[0], change.GetEntry()) < 0 {
			entries = append(entries, rest[0])
			rest = rest[1:]
		}
		if len(rest) > 0 && compareEntries(rest[0], change.GetEntry()) == 0 {
			rest = rest[1:]
		}
		if !change.GetRemoved() {
			entries = append(entries, change.GetEntry())
		}
	}
	return &controlwire.Document{Entries: append(entries, rest...)}
}

// voterAddresses returns the addresses of the voters that the document names,
// in order and each once, or none.
func voterAddresses(doc *controlwire.Document) []string {
	for _, e := range doc.GetEntries() {
		if e.GetLayer() == "" && e.GetSection() == controlSection && e.GetKey() == votersKey {
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
