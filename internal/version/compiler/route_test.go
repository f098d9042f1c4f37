package compiler_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const routedBase = `[owner tienda]
idle-rate = 1
currency = MXN

[service almacen]
owner = tienda
hosts = none

[service vitrina]
owner = tienda
hosts = none

[route pedidos]
host = tienda.example
path-prefix = /pedidos/
services = almacen:95, vitrina:5
kind = non-idempotent
timeout = 1200ms
latency-goal = 400ms
rank = 1
max-attempts = 2

[route guias]
path-prefix = /pedidos/guias/
services = vitrina
kind = download

[limits]
max-body-bytes = 1000
`

func parseRouted(t *testing.T, text string) *compiler.Configuration {
	t.Helper()
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(text)}})
	assert.NilError(t, err)
	cfg, err := compiler.Compile(doc, "oaxaca", 7)
	assert.NilError(t, err)
	return cfg
}

func TestRoutes(t *testing.T) {
	cfg := parseRouted(t, routedBase)
	assert.Assert(t, cfg.Route("tienda.example", "/otra/") == nil, "services without hosts are reached by routes alone")
	r := cfg.Route("TIENDA.example", "/pedidos/guias/ocre")
	assert.Equal(t, r.Name(), "pedidos", "a route that names the host goes first")
	assert.Assert(t, !r.Idempotent("GET"))
	_, spec := r.Next()
	assert.Equal(t, spec.MaxTimeout, 1200*time.Millisecond)
	assert.Equal(t, spec.MaxAttempts, 2)
	assert.Equal(t, spec.Priority, compiler.PriorityHigh)
	guides := cfg.Route("otra.example", "/pedidos/guias/ocre")
	assert.Equal(t, guides.Name(), "guias")
	assert.Assert(t, guides.Large() && guides.Idempotent("POST"))
	assert.Equal(t, cfg.Limits().MaxBodyBytes, 1000)
}

// TestWeights checks that each service gets its share also of few requests.
func TestWeights(t *testing.T) {
	r := parseRouted(t, routedBase).Route("tienda.example", "/pedidos/1")
	const n = 200
	counts := make(map[string]int)
	for range n {
		s, _ := r.Next()
		counts[s.Name()]++
	}
	assert.Assert(t, math.Abs(float64(counts["vitrina"])/n-0.05) < 0.02, "%v", counts)
}

func TestRouteFaults(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"no services":     {"[route x]\npath-prefix = /x/\n", "the key services is missing"},
		"unknown service": {"[route x]\nservices = nadie\n", "unknown service"},
		"no weight":       {"[route x]\nservices = vitrina:0\n", "add up to 0"},
		"doubled":         {"[route x]\nservices = vitrina:1, vitrina:2\n", "twice"},
		"same place":      {"[route x]\nhost = tienda.example\npath-prefix = /pedidos/\nservices = vitrina\n", "the same route"},
		"kind":            {"[route x]\nservices = vitrina\nkind = often\n", "often"},
		"rank":            {"[route x]\nservices = vitrina\nrank = 10\n", "out of range"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(routedBase + "\n" + tc.text)}})
			assert.ErrorContains(t, err, tc.want)
		})
	}
}
