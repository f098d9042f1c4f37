package forwarder_test

import (
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestResentKeyOutcomeIsUnknownBeforeLookup guards against a false not-run: a caller lost
// the first response and resends its key, and the node refuses the request before it
// looked up the key's first run.
func TestResentKeyOutcomeIsUnknownBeforeLookup(t *testing.T) {
	resend := func(t *testing.T, f *fleet, change func(), reason classifier.Reason) {
		t.Helper()
		runKeyedFleet(t, f, func(t *testing.T) {
			_, body, err := f.call(t.Context(), keyedRequest(""))
			assert.NilError(t, err)
			assert.Equal(t, body, "paid")
			change()
			resp, _, err := f.call(t.Context(), keyedRequest(""))
			assertRefused(t, resp, err, classifier.Unknown, reason)
			assert.Assert(t, resp.Header.Get(classifier.HeaderRetryAfter) != "")
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	}
	t.Run("no instance left", func(t *testing.T) {
		f := newFleet()
		resend(t, f, func() { f.publisher.SetView(registrar.NewView(nil)) }, classifier.ReasonNoInstance)
	})
	t.Run("service removed from the configuration", func(t *testing.T) {
		f := newFleet()
		resend(t, f, func() { f.publisher.SetConfiguration(compiler.NewConfiguration(2, "oaxaca", nil)) }, classifier.ReasonNoService)
	})
	t.Run("invalid header", func(t *testing.T) {
		f := newFleet()
		runKeyedFleet(t, f, func(t *testing.T) {
			req := keyedRequest("")
			req.Header.Set(classifier.HeaderTimeout, "soon")
			resp, _, err := f.call(t.Context(), req)
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonBadRequest)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		})
	})
	t.Run("home instance reads no heads", func(t *testing.T) {
		f := newFleet()
		runKeyedFleet(t, f, func(t *testing.T) {
			const homeAddress = "192.0.2.8:80"
			other := f.startOtherEntry()
			f.listen(homeAddress, http.HandlerFunc(refuseUnread))
			home := registrar.NewInstance(registrar.Spec{
				ID: "vitrina-1", State: registrar.StateReady, Service: "almacen", HTTP: netip.MustParseAddrPort(homeAddress),
			})
			f.publisher.SetView(registrar.NewView([]*registrar.Instance{home}))
			resp, _, err := f.callAt(t.Context(), other, keyedRequest(""))
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonCrowded)
			req := keyedRequest("")
			req.Header.Del(classifier.HeaderIdempotencyKey)
			resp, _, err = f.callAt(t.Context(), other, req)
			assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonCrowded)
		})
	})
}

// refuseUnread refuses a request as a node does that has not read its head.
func refuseUnread(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(classifier.HeaderOutcome, classifier.Unknown.String())
	w.Header().Set(classifier.HeaderReason, string(classifier.ReasonCrowded))
	w.WriteHeader(http.StatusServiceUnavailable)
}
