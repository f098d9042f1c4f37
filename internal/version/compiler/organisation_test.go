package compiler_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const organisations = `[organisation boleteria]
api-keys = k1, k2
rank = 0
rate = 2.5
burst = 10
[organisation gradas]
api-keys = k3
`

func TestOrganisationsByAPIKey(t *testing.T) {
	cfg, err := compiler.Compile(mustParse(t, base+organisations), "oaxaca", 1)
	assert.NilError(t, err)
	byKey := map[string]string{"k1": "boleteria", "k2": "boleteria", "k3": "gradas", "": "", "k": "", strings.Repeat("k", 10_000): ""}
	for key, want := range byKey {
		got := ""
		if o := cfg.Organisations().ByAPIKey(key); o != nil {
			got = o.Name()
		}
		assert.Equal(t, got, want, "key %.10q", key)
	}
	limited := cfg.Organisations().ByName("boleteria")
	assert.Equal(t, limited.Rate(), 2.5)
	assert.Equal(t, limited.Burst(), 10.0)
	assert.Equal(t, limited.Priority(compiler.PriorityLow), compiler.PriorityHigh)
	unlimited := cfg.Organisations().ByName("gradas")
	assert.Assert(t, !unlimited.Limited())
	assert.Equal(t, unlimited.Priority(compiler.PriorityLow), compiler.PriorityLow)
}

func TestConfigurationWithoutOrganisations(t *testing.T) {
	cfg, err := compiler.Compile(mustParse(t, base), "oaxaca", 1)
	assert.NilError(t, err)
	assert.Assert(t, cfg.Organisations().Empty())
	assert.Assert(t, cfg.Organisations().ByAPIKey("k1") == nil)
}

func TestOrganisationErrors(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"shared key":    {organisations + "[organisation otra]\napi-keys = k2\n", "organisation boleteria has the same API key"},
		"key twice":     {"[organisation otra]\napi-keys = k9, k9\n", "an API key is listed twice"},
		"empty key":     {"[organisation otra]\napi-keys = k9,,k8\n", "the list of API keys contains an empty item"},
		"long key":      {"[organisation otra]\napi-keys = " + strings.Repeat("k", 300) + "\n", "an API key is longer than 256 bytes"},
		"negative rate": {"[organisation otra]\nrate = -1\n", "-1 is out of range"},
		"no number":     {"[organisation otra]\nburst = NaN\n", `"NaN" is not a number without a unit`},
		"unknown key":   {"[organisation otra]\nquota = 1\n", "unknown key"},
		"rank":          {"[organisation otra]\nrank = 10\n", "10 is out of range: 0 to 9"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := compiler.Parse(sources(base + tc.text))
			assert.ErrorContains(t, err, tc.want)
			assert.Assert(t, !strings.Contains(err.Error(), "k2") && !strings.Contains(err.Error(), "k9"), "the error shows an API key")
		})
	}
}

func TestOrganisationsAloneAreTheSame(t *testing.T) {
	doc := mustParse(t, base+organisations)
	cfg, err := compiler.Compile(doc, "oaxaca", 1)
	assert.NilError(t, err)
	alone, err := compiler.CompileOrganisations(doc)
	assert.NilError(t, err)
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		assert.DeepEqual(t, alone.ByAPIKey(key), cfg.Organisations().ByAPIKey(key), cmp.AllowUnexported(compiler.Organisation{}))
	}
	none, err := compiler.CompileOrganisations(mustParse(t, base))
	assert.NilError(t, err)
	assert.Assert(t, none.Empty())
}
