package compiler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// TestCompilerAgreesWithCompile guards against a version that differs by the versions before it.
func TestCompilerAgreesWithCompile(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	const routes = 12
	document := func() *controlwire.Document {
		doc := &controlwire.Document{Entries: []*controlwire.Entry{
			{Section: "owner x", Key: "currency", Value: "MXN"}, {Section: "owner x", Key: "idle-rate", Value: "1"},
			{Section: "service a", Key: "hosts", Value: "none"}, {Section: "service a", Key: "owner", Value: "x"},
			{Section: "service a", Key: "slots", Value: fmt.Sprint(1 + random.IntN(3))},
		}}
		add := func(section, key, value string) {
			doc.Entries = append(doc.Entries, &controlwire.Entry{Section: section, Key: key, Value: value})
		}
		if random.IntN(3) > 0 {
			add("service b", "hosts", "none")
			add("service b", "owner", "x")
		}
		for i := range routes {
			if random.IntN(3) == 0 {
				continue
			}
			section := fmt.Sprintf("route r-%d", i)
			add(section, "path-prefix", fmt.Sprintf("/%d/", i+random.IntN(20)/19))
			add(section, "services", []string{"a", "a", "a", "b", "a:1, b:2"}[random.IntN(5)])
			add(section, "timeout", []string{"1s", "2s", "2s", "3s"}[random.IntN(4)])
			if random.IntN(40) == 0 {
				add(section, "rank", "many")
			}
		}
		doc.Entries = append([]*controlwire.Entry(nil), doc.Entries...)
		sorted, err := compiler.ApplyJoined(nil, compiler.JoinChanges(compiler.Diff(nil, doc)))
		assert.NilError(t, err)
		return sorted
	}
	c := compiler.NewCompiler("oaxaca")
	valid := 0
	for number := range uint64(2000) {
		doc := document()
		want, wantErr := compiler.Compile(doc, "oaxaca", number)
		got, err := c.Compile(doc, number)
		assert.Equal(t, fmt.Sprint(err), fmt.Sprint(wantErr))
		if err != nil {
			continue
		}
		valid++
		for i := range routes + 1 {
			path := fmt.Sprintf("/%d/", i)
			wantRoute, gotRoute := want.Route("", path), got.Route("", path)
			assert.Equal(t, gotRoute == nil, wantRoute == nil, path)
			if wantRoute != nil {
				assert.DeepEqual(t, gotRoute.Spec(), wantRoute.Spec())
				service, spec := gotRoute.Next()
				assert.Assert(t, got.Service(service.Name()) == service)
				assert.Equal(t, spec.Slots, service.Spec().Slots)
			}
		}
	}
	assert.Assert(t, valid > 100)
}
