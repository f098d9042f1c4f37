package compiler

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

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
	if c := strings.Compare(a.layer, b.layer); c != 0 {
		return c
	}
	if c := strings.Compare(a.section, b.section); c != 0 {
		return c
	}
	return strings.Compare(a.key, b.key)
}

func newEntry(id entryID, value string) *controlwire.Entry {
	return &controlwire.Entry{Layer: id.layer, Section: id.section, Key: id.key, Value: value}
}

func compareEntries(a, b *controlwire.Entry) int {
	if c := compareIDs(idOf(a), idOf(b)); c != 0 {
		return c
	}
	return strings.Compare(a.GetValue(), b.GetValue())
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

// digestChunk is the number of encoded bytes that Digest hashes at once.
const digestChunk = 4 << 10

// Digest returns the SHA-256 hash of the document in canonical order. Each string
// is prefixed with its length, so that no two documents have the same encoding.
func Digest(doc *controlwire.Document) []byte {
	hash := sha256.New()
	encoded := make([]byte, 0, 2*digestChunk)
	for _, e := range canonicalEntries(doc) {
		encoded = appendLengthPrefixed(encoded, e.GetLayer())
		encoded = appendLengthPrefixed(encoded, e.GetSection())
		encoded = appendLengthPrefixed(encoded, e.GetKey())
		encoded = appendLengthPrefixed(encoded, e.GetValue())
		if len(encoded) >= digestChunk {
			_, _ = hash.Write(encoded) // Never fails.
			encoded = encoded[:0]
		}
	}
	_, _ = hash.Write(encoded)
	return hash.Sum(nil)
}

func appendLengthPrefixed(encoded []byte, text string) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(text)))
	return append(encoded, text...)
}
