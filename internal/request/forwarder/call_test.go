package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// TestNodeHeadersOfCallersAreRemoved guards against a caller that sets headers reserved
// for nodes: the key's home instance, the latency goal, the expected work and the
// preference for a local instance.
func TestNodeHeadersOfCallersAreRemoved(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/prices", http.NoBody)
	for _, name := range nodeHeaders {
		r.Header.Set(name, "1")
	}
	r.Header.Set("Accept-Language", "es")
	spec := compiler.DefaultServiceSpec("vitrina")
	trace := explainer.NewTrace("a", r.Method, r.URL.Path, time.Now())
	open := tracker.New().Begin("a", r.Method, r.URL.Path)
	c := newCall(context.Background(), &Forwarder{budgets: retrier.NewBudgets()}, r, route{spec: &spec}, trace, open)
	for _, name := range nodeHeaders {
		assert.Equal(t, c.header.Get(name), "")
	}
	assert.Equal(t, c.header.Get("Accept-Language"), "es")
}
