package watcher

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/fieldchecker"
)

// endpoint returns the response to read n, counted from 1.
type endpoint func(r *http.Request, n int) (status int, err error)

func TestHealthReader(t *testing.T) {
	status := func(code int) endpoint { return func(*http.Request, int) (int, error) { return code, nil } }
	hang := func(r *http.Request, _ int) (int, error) {
		<-r.Context().Done()
		return 0, r.Context().Err()
	}
	for name, tc := range map[string]struct {
		endpoint endpoint
		path     string
		allowed  int // Reads that the budget allows.
		reads    int
		want     []bool
	}{
		"healthy":         {status(http.StatusOK), "/health", 9, 4, []bool{true, true, true, true}},
		"unhealthy":       {status(http.StatusServiceUnavailable), "/health", 9, 4, []bool{false, false, false, false}},
		"wrong path":      {status(http.StatusNotFound), "/health", 9, 4, nil},
		"status 0":        {status(0), "/health", 9, 4, nil},
		"status 99":       {status(99), "/health", 9, 4, nil},
		"status 600":      {status(600), "/health", 9, 4, nil},
		"hangs":           {hang, "/health", 9, 3, nil},
		"no path":         {status(http.StatusOK), "", 9, 0, nil},
		"budget is spent": {status(http.StatusOK), "/health", 2, 2, []bool{true, true}},
		"hangs once": {func(r *http.Request, n int) (int, error) {
			if n == 1 {
				return hang(r, n)
			}
			return http.StatusBadGateway, nil
		}, "/health", 9, 4, []bool{false, false, false}},
		"cannot be reached": {func(*http.Request, int) (int, error) { return 0, errors.New("refused") }, "/health", 9, 4, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []bool
				reads, reserved := 0, 0
				h := NewHealthReader(HealthConfig{
					Upstream: netip.MustParseAddrPort("10.0.0.1:80"),
					Path:     func() string { return tc.path },
					Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
						assert.Equal(t, r.URL.String(), "http://10.0.0.1:80/health")
						reads++
						code, err := tc.endpoint(r, reads)
						return &http.Response{StatusCode: code, Body: http.NoBody}, err
					}),
					Reserve: func(bytes int) bool {
						reserved += bytes
						return reserved <= tc.allowed*healthReadBytes
					},
					OnHealth: func(healthy bool) { got = append(got, healthy) },
					Scope:    tally.NoopScope,
				})
				h.Start()
				time.Sleep(22 * time.Second)
				assert.NilError(t, h.Stop())
				assert.DeepEqual(t, got, tc.want)
				assert.Equal(t, reads, tc.reads)
			})
		})
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestMalformedHealthResponseIsInconclusive guards against a head that is none of HTTP and passes as a healthy one.
func TestMalformedHealthResponseIsInconclusive(t *testing.T) {
	h := NewHealthReader(HealthConfig{
		Upstream: netip.MustParseAddrPort("10.0.0.1:80"),
		Transport: roundTripper(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Header: http.Header{"X Odd": {"1"}}}, nil
		}),
		Scope: tally.NoopScope,
	})
	_, err := h.read("/health")
	assert.ErrorIs(t, err, fieldchecker.ErrMalformed)
}
