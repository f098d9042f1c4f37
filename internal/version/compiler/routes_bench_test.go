package compiler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// documentWithRoutes returns a document with n routes, in canonical order.
func documentWithRoutes(n int) *controlwire.Document {
	doc := &controlwire.Document{}
	add := func(section string, values map[string]string) {
		for key, value := range values {
			doc.Entries = append(doc.Entries, &controlwire.Entry{Section: section, Key: key, Value: value})
		}
	}
	add("owner tienda", map[string]string{"idle-rate": "1", "currency": "MXN"})
	add("service vitrina", map[string]string{"owner": "tienda", "hosts": "none"})
	for i := range n {
		add(fmt.Sprintf("route r-%d", i), map[string]string{
			"host": "tienda.example", "path-prefix": fmt.Sprintf("/p%d/", i), "services": "vitrina", "kind": "idempotent",
			"timeout": "1s", "latency-goal": "300ms", "rank": "2", "max-attempts": "2",
		})
	}
	sorted, err := compiler.Apply(&controlwire.Document{}, compiler.Diff(&controlwire.Document{}, doc))
	if err != nil {
		panic(err)
	}
	return sorted
}

func BenchmarkCompileManyRoutes(b *testing.B) {
	doc := documentWithRoutes(1300)
	for b.Loop() {
		_, err := compiler.Compile(doc, "oaxaca", 7)
		assert.NilError(b, err)
	}
}

func BenchmarkDigestManyRoutes(b *testing.B) {
	doc := documentWithRoutes(1300)
	for b.Loop() {
		compiler.Digest(doc)
	}
}

func BenchmarkDiffAndApplyManyRoutes(b *testing.B) {
	old, next := documentWithRoutes(20), documentWithRoutes(1300)
	for b.Loop() {
		_, err := compiler.Apply(old, compiler.Diff(old, next))
		assert.NilError(b, err)
	}
}
