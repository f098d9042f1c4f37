package compiler_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const baseWithRoutes = `[owner tienda]
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

func compileBase(t *testing.T, text string) *compiler.Configuration {
	t.Helper()
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(text)}})
	assert.NilError(t, err)
	cfg, err := compiler.Compile(doc, "oaxaca", 7)
	assert.NilError(t, err)
	return cfg
}

func TestExplicitRoutes(t *testing.T) {
	cfg := compileBase(t, baseWithRoutes)
	assert.Assert(t, cfg.Route("tienda.example", "/otra/") == nil, "services with hosts = none are reached only by explicit routes")
	r := cfg.Route("TIENDA.example", "/pedidos/guias/ocre")
	assert.Equal(t, r.Name(), "pedidos", "a route for the host takes precedence over a longer prefix for any host")
	assert.Assert(t, !r.Idempotent("GET"))
	_, spec := r.Next()
	assert.Equal(t, spec.MaxTimeout, 1200*time.Millisecond)
	assert.Equal(t, spec.MaxAttempts, 2)
	assert.Equal(t, spec.Priority, compiler.PriorityHigh)
	guides := cfg.Route("otra.example", "/pedidos/guias/ocre")
	assert.Equal(t, guides.Name(), "guias")
	assert.Assert(t, guides.LargeResponses() && guides.Idempotent("POST"))
	assert.Equal(t, cfg.Limits().MaxBodyBytes, 1000)
}

// TestSharesMatchWeightsWithinFewRequests checks that the shares of services come close
// to their weights within 200 requests, which random selection would not ensure.
func TestSharesMatchWeightsWithinFewRequests(t *testing.T) {
	r := compileBase(t, baseWithRoutes).Route("tienda.example", "/pedidos/1")
	const n = 200
	counts := make(map[string]int)
	for range n {
		s, _ := r.Next()
		counts[s.Name()]++
	}
	assert.Assert(t, math.Abs(float64(counts["vitrina"])/n-0.05) < 0.02, "%v", counts)
}

func TestRouteErrors(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"services missing":    {"[route x]\npath-prefix = /x/\n", "the key services is missing"},
		"unknown service":     {"[route x]\nservices = nadie\n", "unknown service"},
		"weights add up to 0": {"[route x]\nservices = vitrina:0\n", "add up to 0"},
		"duplicate service":   {"[route x]\nservices = vitrina:1, vitrina:2\n", "more than once"},
		"same host and path":  {"[route x]\nhost = tienda.example\npath-prefix = /pedidos/\nservices = vitrina\n", "the same route"},
		"kind":                {"[route x]\nservices = vitrina\nkind = often\n", "often"},
		"rank":                {"[route x]\nservices = vitrina\nrank = 10\n", "out of range"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(baseWithRoutes + "\n" + tc.text)}})
			assert.ErrorContains(t, err, tc.want)
		})
	}
}
