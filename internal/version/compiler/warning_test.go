package compiler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

func assertWarnings(t *testing.T, texts []string, want ...string) {
	t.Helper()
	var got []string
	for _, w := range compiler.Warnings(mustParse(t, texts...)) {
		got = append(got, w.String())
	}
	assert.DeepEqual(t, got, want)
}

func TestWarnings(t *testing.T) {
	const route = "[route r]\nservices = almacen\n"
	for name, tc := range map[string]struct{ text, want string }{
		"goal beyond timeout":      {route + "timeout = 1s\nlatency-goal = 2s\n", "base [route r]: latency-goal: the goal 2s is longer than the timeout 1s"},
		"escaped path":             {route + "path-prefix = /caf%C3%A9\n", "base [route r]: path-prefix: no path matches it: paths are compared after their escapes are decoded"},
		"public, no organisations": {route + "public = yes\n", "base [route r]: public: it has no effect without organisations"},
		"unused owner":             {"[owner otra]\nidle-rate = 0\ncurrency = MXN\n", "base [owner otra]: no service has this owner"},
		"no route":                 {"[service s]\nowner = talleres\nhosts = none\n", "base [service s]: no route leads to it"},
		"weight 0":                 {"[service s]\nowner = talleres\nhosts = none\n[route r]\nservices = s:0, almacen:1\n", "base [service s]: no route leads to it"},
		"late hedge":               {"[service s]\nowner = talleres\ntimeout = 1s\nmax-timeout = 1s\nhedge-after = 1s\n", "base [service s]: hedge-after: no second attempt starts: requests end after 1s"},
		"one attempt":              {"[service s]\nowner = talleres\nhedge-after = 1s\nmax-attempts = 1\n", "base [service s]: hedge-after: no second attempt starts: there is only one attempt"},
		"late stall timeout":       {"[service s]\nowner = talleres\nstall-timeout = 1m\n", "base [service s]: stall-timeout: it never ends: requests end after 30s"},
		"few connections":          {"[service s]\nowner = talleres\nslots = 9\nconnections = 4\n", "base [service s]: connections: 4 connections use no more than 4 of 9 slots"},
		"short retention":          {"[service s]\nowner = talleres\nkey-retention = 5s\n", "base [service s]: key-retention: an idempotency key is forgotten before requests end after 30s"},
		"cold rate, never cold":    {"[service s]\nowner = talleres\ncold-rate = 5\ncold-start = 0s\n", "base [service s]: cold-rate: it has no effect: the cold start lasts 0s"},
		"no API key":               {"[organisation o]\nrate = 5\nburst = 5\n", "base [organisation o]: it has no API key, so that no request belongs to it"},
		"burst without rate":       {"[organisation o]\napi-keys = k\nburst = 5\n", "base [organisation o]: burst: it has no effect without a rate"},
		"rate without burst":       {"[organisation o]\napi-keys = k\nrate = 5\n", "base [organisation o]: rate: without a burst of at least 1, requests that come together are refused"},
	} {
		t.Run(name, func(t *testing.T) { assertWarnings(t, []string{base + tc.text}, tc.want) })
	}
}

func TestWarningOfEvenNumberOfVoters(t *testing.T) {
	assertWarnings(t, []string{"[control]\nvoters = 10.0.0.1:1, 10.0.0.2:1\n" + base[len("[control]\nvoters = 10.0.0.1:7100, 10.0.0.2:7100, 10.0.0.3:7100\n"):]},
		"base [control]: voters: 2 voters bear the loss of no more than 1 do")
}

func TestNoWarnings(t *testing.T) {
	assertWarnings(t, []string{base, overlay})
	assertWarnings(t, []string{base + organisations})
}

func TestWarningsOfOverlays(t *testing.T) {
	assertWarnings(t, []string{base, overlay + "[service almacen]\npriority = high\nslots = 300\n"},
		"site oaxaca [service almacen]: priority: the base sets the same value",
		"site oaxaca [service almacen]: slots: 240 connections use no more than 240 of 300 slots")
}
