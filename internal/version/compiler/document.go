package compiler

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// baseLayer is the layer of the base file's entries.
const baseLayer = ""

// entryID names one entry of a document. An id without a key names a section,
// and one without a section a layer.
type entryID struct{ layer, section, key string }

func idOf(e *controlwire.Entry) entryID {
	return entryID{layer: e.GetLayer(), section: e.GetSection(), key: e.GetKey()}
}

func compareIDs(a, b entryID) int {
	return cmp.Or(cmp.Compare(a.layer, b.layer), cmp.Compare(a.section, b.section), cmp.Compare(a.key, b.key))
}

// values returns the document's entries by their ids.
func values(doc *controlwire.Document) map[entryID]string {
	m := make(map[entryID]string, len(doc.GetEntries()))
	for _, e := range doc.GetEntries() {
		m[idOf(e)] = e.GetValue()
	}
	return m
}

// canonical returns the document with the given entries in canonical order:
// by layer, section and key.
func canonical(m map[entryID]string) *controlwire.Document {
	doc := &controlwire.Document{Entries: make([]*controlwire.Entry, 0, len(m))}
	for _, id := range sortedIDs(m) {
		doc.Entries = append(doc.Entries, newEntry(id, m[id]))
	}
	return doc
}

func newEntry(id entryID, value string) *controlwire.Entry {
	return &controlwire.Entry{Layer: id.layer, Section: id.section, Key: id.key, Value: value}
}

func sortedIDs(m map[entryID]string) []entryID {
	ids := make([]entryID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// Digest returns the SHA-256 of the document in canonical order. Each text is
// preceded by its length, so that no two documents share an encoding.
func Digest(doc *controlwire.Document) []byte {
	entries := slices.Clone(doc.GetEntries())
	slices.SortFunc(entries, func(a, b *controlwire.Entry) int {
		return cmp.Or(compareIDs(idOf(a), idOf(b)), cmp.Compare(a.GetValue(), b.GetValue()))
	})
	var encoded []byte
	for _, e := range entries {
		for _, text := range []string{e.GetLayer(), e.GetSection(), e.GetKey(), e.GetValue()} {
			encoded = binary.AppendUvarint(encoded, uint64(len(text)))
			encoded = append(encoded, text...)
		}
	}
	sum := sha256.Sum256(encoded)
	return sum[:]
}
