package compiler

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// baseLayer is the layer name of the base file. Other layers have a site's name.
const baseLayer = ""

// entryID identifies an entry of a document. With an empty key it identifies a
// section, and with an empty section a layer.
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

// canonicalEntries returns the document's entries in canonical order: sorted by
// layer, section and key. It does not change the document.
func canonicalEntries(doc *controlwire.Document) []*controlwire.Entry {
	entries := doc.GetEntries()
	if slices.IsSortedFunc(entries, compareEntries) {
		return entries
	}
	entries = slices.Clone(entries)
	slices.SortFunc(entries, compareEntries)
	return entries
}

// Digest returns the SHA-256 hash of the document in canonical order. Each string
// is prefixed with its length, so that no two documents have the same encoding.
func Digest(doc *controlwire.Document) []byte {
	var encoded []byte
	for _, e := range canonicalEntries(doc) {
		encoded = appendLengthPrefixed(encoded, e.GetLayer())
		encoded = appendLengthPrefixed(encoded, e.GetSection())
		encoded = appendLengthPrefixed(encoded, e.GetKey())
		encoded = appendLengthPrefixed(encoded, e.GetValue())
	}
	sum := sha256.Sum256(encoded)
	return sum[:]
}

func appendLengthPrefixed(encoded []byte, text string) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(text)))
	return append(encoded, text...)
}
