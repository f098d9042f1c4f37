package forwarder_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestRequestsWaitForStartOfNode sends a request to a node that has just started and
// learns of the configuration and the instances some time later, or never. It checks what
// the caller receives and when.
func TestRequestsWaitForStartOfNode(t *testing.T) {
	const ms = time.Millisecond
	const never = time.Hour
	for name, tc := range map[string]struct {
		configuredAfter, knownAfter time.Duration
		timeout                     string
		wantStatus                  int
		wantReason                  classifier.Reason
		wantAfter                   time.Duration
	}{
		"configuration is late":                 {200 * ms, 0, "4000", http.StatusOK, "", 200 * ms},
		"instances are late":                    {0, 200 * ms, "4000", http.StatusOK, "", 200 * ms},
		"both are late":                         {200 * ms, 400 * ms, "4000", http.StatusOK, "", 400 * ms},
		"no configuration":                      {never, 0, "4000", http.StatusServiceUnavailable, classifier.ReasonNoConfiguration, 500 * ms},
		"no instance":                           {0, never, "4000", http.StatusServiceUnavailable, classifier.ReasonNoInstance, 500 * ms},
		"no configuration within short timeout": {never, 0, "300", http.StatusServiceUnavailable, classifier.ReasonNoConfiguration, 100 * ms},
		"no instance within short timeout":      {0, never, "300", http.StatusServiceUnavailable, classifier.ReasonNoInstance, 100 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.starting = true
			upstreamTimeout := make(chan string, 1)
			respond := f.upstreamHandler
			f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
				upstreamTimeout <- r.Header.Get(classifier.HeaderTimeout)
				respond(w, r, run)
			}
			f.run(t, func(t *testing.T) {
				started := time.Now()
				configured := compiler.NewConfiguration(1, "oaxaca", []*compiler.Service{compiler.NewService(f.spec)})
				time.AfterFunc(tc.configuredAfter, func() { f.entryPublisher.SetConfiguration(configured) })
				time.AfterFunc(tc.knownAfter, func() { f.entryPublisher.SetView(registrar.NewView(f.instances)) })
				req := request(http.MethodGet)
				req.Header.Set(classifier.HeaderTimeout, tc.timeout)
				resp, _, err := f.call(context.Background(), req)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, tc.wantStatus)
				assert.Equal(t, resp.Header.Get(classifier.HeaderReason), string(tc.wantReason))
				assert.Equal(t, time.Since(started).Round(10*ms), tc.wantAfter)
				if tc.wantReason != "" {
					assert.Equal(t, resp.Header.Get(classifier.HeaderRetryAfterMS), "300")
					return
				}
				left, err := strconv.Atoi(<-upstreamTimeout)
				assert.NilError(t, err)
				assert.Assert(t, time.Duration(left)*ms <= 4000*ms-tc.wantAfter, "the upstream has %d ms", left)
			})
		})
	}
}
