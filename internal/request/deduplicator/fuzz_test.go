package deduplicator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
)

// FuzzHandler sends a transfer and a claim with arbitrary bodies, which must not
// cause a panic.
func FuzzHandler(f *testing.F) {
	f.Add(`{"from":"kwishyura-2","incarnation":7,"records":[{"key":"k","state":"done","expires":"2100-01-01T00:00:00Z"}]}`)
	f.Add(`{"from":"kwishyura-2","records":[{"key":"k","state":"paused","expires":"2100-01-01T00:00:00Z"}]}`)
	f.Add(`{"key":"k"}`)
	f.Fuzz(func(t *testing.T, message string) {
		d := deduplicator.New(deduplicator.Config{Instance: "kwishyura-1", StartIncarnation: 1, MaxKeys: 4, MaxBytes: 1 << 10})
		handler := d.Handler(func() time.Duration { return retention })
		for _, path := range []string{"transfer", "claim"} {
			req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, deduplicator.PathPrefix+path, strings.NewReader(message))
			handler.ServeHTTP(httptest.NewRecorder(), req)
		}
	})
}
