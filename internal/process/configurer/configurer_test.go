package configurer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/version/parser"
)

const (
	node = `[node]
instance = vitrina-1
service = vitrina
owner = talleres
site = oaxaca
region = sur
failure-domain = oax-centro
http-address = 10.0.0.7:7000
peer-address = 10.0.0.7:7001
upstream-address = 127.0.0.1:8080
slots = 6
control-addresses = 10.0.0.1:7100, 10.0.0.2:7100
`
	control = `[control]
instance = control-1
site = oaxaca
region = sur
failure-domain = oax-centro
peer-address = 10.0.0.1:7100
data-folder = /var/lib/banyanscale/
voters = 10.0.0.1:7100, 10.0.0.2:7100, 10.0.0.3:7100
log-level = debug
`
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadNode(t *testing.T) {
	n, err := configurer.LoadNode(writeSettings(t, node))
	assert.NilError(t, err)
	assert.Equal(t, n.Instance(), "vitrina-1")
	assert.Equal(t, n.HTTPAddress().String(), "10.0.0.7:7000")
	assert.Equal(t, n.Slots(), 6)
	assert.Equal(t, n.Connections(), 0)
	assert.Equal(t, len(n.ControlAddresses()), 2)
	assert.Equal(t, n.Policy(), configurer.PolicyLeastExpectedLatency)
	assert.Equal(t, n.LogLevel(), zerolog.InfoLevel)
}

func TestLoadControl(t *testing.T) {
	c, err := configurer.LoadControl(writeSettings(t, control))
	assert.NilError(t, err)
	assert.Equal(t, c.DataFolder(), "/var/lib/banyanscale")
	assert.Equal(t, len(c.Voters()), 3)
	assert.Equal(t, c.LogLevel(), zerolog.DebugLevel)
}

func TestInvalidSettings(t *testing.T) {
	loadNode := func(path string) error { _, err := configurer.LoadNode(path); return err }
	loadControl := func(path string) error { _, err := configurer.LoadControl(path); return err }
	for name, tc := range map[string]struct {
		load                   func(string) error
		text, old, replacement string
		want                   string
	}{
		"unknown key":     {loadNode, node, "slots", "slot", ":11: slot: unknown key (nearest valid key: slots)"},
		"missing key":     {loadNode, node, "region = sur\n", "", ":1: region: the key is missing"},
		"host name":       {loadNode, node, "10.0.0.7:7001", "node-1:7001", `:9: peer-address: "node-1:7001" is not an IP address with a port`},
		"same address":    {loadNode, node, "7001", "7000", ":9: peer-address: the address is already used as http-address"},
		"no seeds":        {loadNode, node, "control-addresses = 10.0.0.1:7100, 10.0.0.2:7100", "policy = random", ":1: seeds: neither seeds nor control-addresses are set"},
		"policy":          {loadNode, node, "slots = 6", "policy = randon", `:11: policy: "randon": unknown value (nearest valid value: random)`},
		"other section":   {loadNode, node, "slots = 6", "[nodes]", ":11: nodes: unknown section (nearest valid section: node)"},
		"no section":      {loadNode, control, "", "", "node: the section is missing"},
		"syntax":          {loadNode, node, "slots = 6", "slots", ":11: slots: neither a [section]"},
		"relative folder": {loadControl, control, "/var", "var", `:7: data-folder: "var/lib/banyanscale/" is not an absolute path`},
		"log level":       {loadControl, control, "debug", "loud", `:9: log-level: "loud": unknown value`},
	} {
		t.Run(name, func(t *testing.T) {
			err := tc.load(writeSettings(t, strings.Replace(tc.text, tc.old, tc.replacement, 1)))
			assert.ErrorContains(t, err, "settings.ini")
			assert.ErrorContains(t, err, tc.want)
			var errs parser.Errors
			assert.Assert(t, errors.As(err, &errs))
		})
	}
	assert.ErrorContains(t, loadNode("/nonexistent.ini"), "no such file")
}

func FuzzLoad(f *testing.F) {
	path := filepath.Join(f.TempDir(), "settings.ini")
	f.Add(node)
	f.Add(control)
	f.Fuzz(func(t *testing.T, text string) {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		n, nodeErr := configurer.LoadNode(path)
		c, controlErr := configurer.LoadControl(path)
		assert.Assert(t, (n == nil) == (nodeErr != nil) && (c == nil) == (controlErr != nil))
		assert.Assert(t, n == nil || c == nil, "one file is valid for both a node and a control instance")
	})
}
