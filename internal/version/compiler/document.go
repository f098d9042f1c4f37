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

func newEntry(id entryID, value string) *controlwire.Entry {
	return &controlwire.Entry{Layer: id.layer, Section: id.section, Key: id.key, Value: value}
}

func compareEntries(a, b *controlwire.Entry) int {
	return cmp.Or(compareIDs(idOf(a), idOf(b)), cmp.Compare(a.GetValue(), b.GetValue()))
}

// canonical returns the document's entries in canonical order: by layer,
// section and key. It does not change the document.
func canonical(doc *controlwire.Document) []*controlwire.Entry {
	entries := doc.GetEntries()
	if slices.IsSortedFunc(entries, compareEntries) {
		return entries
	}
	entries = slices.Clone(entries)
	slices.SortFunc(entries, compareEntries)
	return entries
}

// Digest returns the SHA-256 of the document in canonical order. Each text is
// preceded by its length, so that no two documents share an encoding.
func Digest(doc *controlwire.Document) []byte {
	var encoded []byte
	for _, e := range canonical(doc) {
		encoded = appendText(encoded, e.GetLayer())
		encoded = appendText(encoded, e.GetSection())
		encoded = appendText(encoded, e.GetKey())
		encoded = appendText(encoded, e.GetValue())
	}
	sum := sha256.Sum256(encoded)
	return sum[:]
}

func appendText(encoded []byte, text string) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(text)))
	return append(encoded, text...)
}
