package compiler_test

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// assertRoundTrips asserts that a valid document stays the same when it is formatted
// and parsed again, and that it compiles for each site.
func assertRoundTrips(t *testing.T, doc *controlwire.Document) {
	t.Helper()
	again, err := compiler.Parse(compiler.Format(doc))
	assert.NilError(t, err)
	assert.DeepEqual(t, compiler.Digest(again), compiler.Digest(doc))
	for _, site := range append(compiler.Sites(doc), "elsewhere") {
		_, err := compiler.Compile(doc, site, 1)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(compiler.Effects(doc, again)), 0)
}

func FuzzParse(f *testing.F) {
	f.Add(base, overlay)
	f.Add(base+"repeatable-methods = none\n", "[site]\nname = base\n")
	f.Add("[service a]\nowner = b\n", "[owner b]\nidle-rate = 1\ncurrency = MXN\n")
	f.Fuzz(func(t *testing.T, one, other string) {
		doc, err := compiler.Parse(sources(one, other))
		if err != nil {
			assert.Assert(t, doc == nil)
			return
		}
		assertRoundTrips(t, doc)
	})
}

// FuzzDecodedMessages checks documents and applies deltas that are decoded from
// arbitrary bytes, as received from another process.
func FuzzDecodedMessages(f *testing.F) {
	base, err := compiler.Parse(sources(base, overlay))
	assert.NilError(f, err)
	for _, seed := range []proto.Message{base, &controlwire.Delta{Changes: compiler.Diff(nil, base)},
		&controlwire.Delta{Changes: compiler.Diff(base, nil)}, &controlwire.Delta{Changes: []*controlwire.EntryChange{{}}}} {
		data, err := proto.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, delta := &controlwire.Document{}, &controlwire.Delta{}
		if proto.Unmarshal(data, doc) == nil && compiler.CheckAll(doc) == nil {
			assertRoundTrips(t, doc)
		}
		if proto.Unmarshal(data, delta) != nil {
			return
		}
		next, err := compiler.Apply(base, delta.GetChanges())
		if err == nil {
			assert.Assert(t, !slices.Contains(next.GetEntries(), nil))
			again, err := compiler.Apply(base, compiler.Diff(base, next))
			assert.NilError(t, err)
			assert.DeepEqual(t, compiler.Digest(again), compiler.Digest(next))
		}
	})
}
