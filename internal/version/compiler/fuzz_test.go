package compiler_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// assertSound asserts what holds for each document without faults: it is
// written and read again as the same, and it compiles for each site.
func assertSound(t *testing.T, doc *controlwire.Document) {
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

func FuzzSources(f *testing.F) {
	f.Add(base, overlay)
	f.Add(base+"repeatable-methods = none\n", "[site]\nname = base\n")
	f.Add("[service a]\nowner = b\n", "[owner b]\nidle-rate = 1\ncurrency = MXN\n")
	f.Fuzz(func(t *testing.T, one, other string) {
		doc, err := compiler.Parse(sources(one, other))
		if err != nil {
			assert.Assert(t, doc == nil)
			return
		}
		assertSound(t, doc)
	})
}

func FuzzDocument(f *testing.F) {
	doc, err := compiler.Parse(sources(base, overlay))
	assert.NilError(f, err)
	seed, err := proto.Marshal(doc)
	assert.NilError(f, err)
	f.Add(seed)
	f.Add(append(seed, seed...))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc := &controlwire.Document{}
		if proto.Unmarshal(data, doc) == nil && compiler.CheckAll(doc) == nil {
			assertSound(t, doc)
		}
	})
}
