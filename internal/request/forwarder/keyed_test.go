package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// key is an idempotency key whose home instance is the entry node.
const key = "k5"

// runKeyedFleet runs a fleet whose entry node belongs to the service and is the home
// instance of key.
func runKeyedFleet(t *testing.T, f *fleet, test func(t *testing.T)) {
	t.Helper()
	f.upstreamHandler = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, "paid")
	}
	f.keys = deduplicator.New(deduplicator.Config{Instance: "vitrina-1", MaxKeys: 8, MaxBytes: 1 << 20})
	f.instances = append(f.instances, registrar.NewInstance(registrar.Spec{
		ID: "vitrina-1", State: registrar.StateReady, Service: "almacen", HTTP: netip.MustParseAddrPort(entryAddress),
	}))
	f.run(t, func(t *testing.T) {
		f.keys.Observe(f.instances, f.spec.KeyRetention)
		time.Sleep(time.Hour)
		home := deduplicator.Home(f.instances, key, f.spec.KeyRetention, time.Now())
		assert.Equal(t, home.ID(), "vitrina-1")
		test(t)
	})
}

// startOtherEntry starts an entry node that is the home instance of no key, and returns
// its address.
func (f *fleet) startOtherEntry() netip.AddrPort {
	const address = "192.0.2.9:80"
	f.listen(address, forwarder.New(forwarder.Config{
		Instance: "biblioteca-1", Snapshots: f.publisher, Picker: firstPicker{}, Observer: noopObserver{}, Requester: f.newPool(),
		Keys: deduplicator.New(deduplicator.Config{Instance: "biblioteca-1"}), Explainer: f.explainer, Scope: tally.NoopScope, Log: zerolog.Nop(),
	}))
	return netip.MustParseAddrPort(address)
}

func keyedRequest(query string) *http.Request {
	req := request(http.MethodPost)
	req.Header.Set(classifier.HeaderIdempotencyKey, key)
	req.URL.RawQuery = query
	return req
}

func TestKeyedRequest(t *testing.T) {
	t.Run("returns the stored response without a second run", func(t *testing.T) {
		f := newFleet()
		runKeyedFleet(t, f, func(t *testing.T) {
			for range 3 {
				resp, body, err := f.call(t.Context(), keyedRequest(""))
				assert.NilError(t, err)
				assert.Equal(t, body, "paid")
				assert.Equal(t, resp.Header.Get(classifier.HeaderOutcome), "done")
			}
			resp, _, err := f.call(t.Context(), keyedRequest("other"))
			assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonKeyMismatch)
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	})
	t.Run("continues when the caller disconnects", func(t *testing.T) {
		f := newFleet()
		runKeyedFleet(t, f, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
			defer cancel()
			_, _, err := f.call(ctx, keyedRequest(""))
			assert.ErrorContains(t, err, string(classifier.ReasonTimeout))
			resp, _, err := f.call(t.Context(), keyedRequest(""))
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonKeyRunning)
			time.Sleep(time.Second)
			_, body, err := f.call(t.Context(), keyedRequest(""))
			assert.NilError(t, err)
			assert.Equal(t, body, "paid")
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	})
	t.Run("never runs again after an unknown outcome", func(t *testing.T) {
		f := newFleet()
		f.network.fault = fault{address: firstUpstreamAddress, step: receiveHead, kind: reset}
		runKeyedFleet(t, f, func(t *testing.T) {
			resp, _, err := f.call(t.Context(), keyedRequest(""))
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonTruncated)
			resp, _, err = f.call(t.Context(), keyedRequest(""))
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonKeyUnknown)
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	})
	t.Run("runs again after a proved not-run", func(t *testing.T) {
		f := newFleet()
		f.spec.MaxAttempts = 1
		f.network.fault = fault{address: firstNodeAddress, step: connect, kind: refuse}
		runKeyedFleet(t, f, func(t *testing.T) {
			resp, _, err := f.call(t.Context(), keyedRequest(""))
			assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonConnect)
			_, body, err := f.call(t.Context(), keyedRequest(""))
			assert.NilError(t, err)
			assert.Equal(t, body, "paid")
		})
	})
	t.Run("is forwarded to the home instance", func(t *testing.T) {
		f := newFleet()
		f.network.fault = fault{address: entryAddress, step: receiveHead, kind: reset}
		runKeyedFleet(t, f, func(t *testing.T) {
			var depth string
			respond := f.upstreamHandler
			f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
				depth = r.Header.Get(classifier.HeaderDepth)
				respond(w, r, run)
			}
			entry := f.startOtherEntry()
			resp, _, err := f.callAt(t.Context(), entry, keyedRequest(""))
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonTruncated)
			_, body, err := f.callAt(t.Context(), entry, keyedRequest(""))
			assert.NilError(t, err)
			assert.Equal(t, body, "paid")
			resp, _, err = f.callAt(t.Context(), entry, keyedRequest("other"))
			assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonKeyMismatch)
			assert.Equal(t, f.runs.Load(), int64(1))
			assert.Equal(t, depth, "1")
		})
	})
	t.Run("is refused by a node that disagrees about the home instance", func(t *testing.T) {
		f := newFleet()
		runKeyedFleet(t, f, func(t *testing.T) {
			req := keyedRequest("")
			req.Header.Set(classifier.HeaderKeyHome, "biblioteca-1")
			resp, _, err := f.callAt(t.Context(), f.startOtherEntry(), req)
			assertRefused(t, resp, err, classifier.Unknown, classifier.ReasonWrongInstance)
			assert.Equal(t, f.runs.Load(), int64(0))
		})
	})
}
