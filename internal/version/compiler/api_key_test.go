package compiler_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// TestAPIKeysAreNotDisplayed checks what operators see, other than the files for the next edit.
func TestAPIKeysAreNotDisplayed(t *testing.T) {
	before := mustParse(t, base+organisations)
	after := mustParse(t, base+strings.Replace(organisations, "k1, k2", "k2, k4", 1))
	var shown strings.Builder
	for _, e := range compiler.Effects(before, after) {
		fmt.Fprintln(&shown, e, e.Before(), e.After())
	}
	for _, changes := range [][]*controlwire.EntryChange{compiler.Diff(nil, before), compiler.Diff(before, after)} {
		for _, change := range changes {
			fmt.Fprintln(&shown, compiler.FormatChange(change))
		}
	}
	fmt.Fprintf(&shown, "%s", compiler.FormatEffective(after, "oaxaca"))
	text := shown.String()
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		assert.Assert(t, !strings.Contains(text, key), "%s is shown in\n%s", key, text)
	}
	assert.Assert(t, strings.Contains(text, "api-keys: sha256:6ab9f1eb, sha256:015f7e6b -> sha256:015f7e6b"), text)
	files := compiler.Format(after)
	assert.Assert(t, strings.Contains(string(files[0].Data), "api-keys = k2, k4"), "the file for the next edit lacks the keys")
}
