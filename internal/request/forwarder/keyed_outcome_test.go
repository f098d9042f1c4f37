package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// A caller whose first answer was lost must not be told not-run on a resend by
// a node that does not know about the first run.
func TestResentKeyIsNotCalledNotRunByThoseWhoCannotKnow(t *testing.T) {
	resend := func(t *testing.T, f *fleet, change func(), reason classifier.Reason) {
		t.Helper()
		runKeyed(t, f, func(t *testing.T) {
			_, body, err := f.call(t.Context(), keyed(""))
			assert.NilError(t, err)
			assert.Equal(t, body, "paid")
			change()
			resp, _, err := f.call(t.Context(), keyed(""))
			assertRefused(t, resp, err, classifier.Unknown, reason)
			assert.Assert(t, resp.Header.Get(classifier.HeaderRetryAfter) != "")
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	}
	t.Run("no instance is known any more", func(t *testing.T) {
		f := newFleet()
		resend(t, f, func() { f.publisher.SetView(registrar.NewView(nil)) }, classifier.ReasonNoInstance)
	})
	t.Run("the service is not configured any more", func(t *testing.T) {
		f := newFleet()
		resend(t, f, func() { f.publisher.SetConfiguration(compiler.NewConfiguration(2, "oaxaca", nil)) }, classifier.ReasonNoService)
	})
	t.Run("a header cannot be read", func(t *testing.T) {
		f := newFleet()
		runKeyed(t, f, func(t *testing.T) {
			req := keyed("")
			req.Header.Set(classifier.HeaderTimeout, "soon")
			resp, _, err := f.call(t.Context(), req)
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonBadRequest)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		})
	})
}
