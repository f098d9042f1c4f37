package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestRequestsThatOutlastTheNodeAreRefused guards against requests that a stopping node passes on and can't answer.
func TestRequestsThatOutlastTheNodeAreRefused(t *testing.T) {
	f := newFleet()
	f.run(t, func(t *testing.T) {
		f.entry.ServeUntil(time.Now().Add(deadline / 2))
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			resp, _, err := f.call(t.Context(), request(method))
			assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonLeaving)
		}
		assert.Equal(t, f.runs.Load(), int64(0))
		short := request(http.MethodPost)
		short.Header.Set(classifier.HeaderTimeout, "2000")
		resp, body, err := f.call(t.Context(), short)
		assertResponse(t, resp, body, err)
	})
}
