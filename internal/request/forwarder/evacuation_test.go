package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// newEvacuatedFleet returns a fleet whose instances are in the failure domains d-1 and d-2. The
// entry node learns that domains are evacuated while the first upstream runs its first request.
func newEvacuatedFleet(handle func(http.ResponseWriter, *http.Request, int64), domains ...string) *fleet {
	f := newFleet()
	for i, in := range f.instances {
		spec := in.Spec()
		spec.FailureDomain = fmt.Sprintf("d-%d", i+1)
		f.instances[i] = registrar.NewInstance(spec)
	}
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, run int64) {
		if run == 1 {
			f.entryPublisher.SetView(registrar.NewView(f.instances).WithEvacuation(registrar.NewEvacuation(1, domains)))
		}
		handle(w, r, run)
	}
	return f
}

// TestLaterAttemptsLeaveEvacuatedInstancesOut checks that a request that had started before an
// evacuation is not sent to an evacuated instance by a retry, a hedge or a resumption.
func TestLaterAttemptsLeaveEvacuatedInstancesOut(t *testing.T) {
	for name, tc := range map[string]struct {
		handle     func(http.ResponseWriter, *http.Request, int64)
		hedgeAfter time.Duration
		fault      fault
	}{
		"retry": {handle: func(w http.ResponseWriter, _ *http.Request, _ int64) {
			w.WriteHeader(http.StatusBadGateway)
		}},
		"hedge": {hedgeAfter: 10 * time.Millisecond, handle: func(http.ResponseWriter, *http.Request, int64) {
			time.Sleep(100 * time.Millisecond)
		}},
		"resumption": {handle: serveRanges(`"v1"`), fault: fault{address: firstNodeAddress, step: finish, kind: reset}},
	} {
		for _, domain := range []string{"d-2", "elsewhere"} {
			t.Run(name+" with "+domain, func(t *testing.T) {
				f := newEvacuatedFleet(tc.handle, domain)
				f.spec.HedgeAfter = tc.hedgeAfter
				f.network.fault = tc.fault
				f.run(t, func(t *testing.T) {
					_, _, err := f.call(t.Context(), request(http.MethodGet))
					time.Sleep(time.Second) // Lets the loser of a hedge end.
					if domain == "d-2" {
						assert.Equal(t, f.runs.Load(), int64(1))
						return
					}
					assert.Check(t, err)
					assert.Equal(t, f.runs.Load(), int64(2))
				})
			})
		}
	}
}

// TestEvacuatedFirstInstanceIsLeftOut checks that a request goes to the instance that is not
// evacuated, and is refused at once if there is none.
func TestEvacuatedFirstInstanceIsLeftOut(t *testing.T) {
	f := newEvacuatedFleet(func(w http.ResponseWriter, _ *http.Request, _ int64) { w.WriteHeader(http.StatusOK) })
	f.run(t, func(t *testing.T) {
		evacuate := func(revision uint64, domains ...string) {
			f.entryPublisher.SetView(registrar.NewView(f.instances).WithEvacuation(registrar.NewEvacuation(revision, domains)))
		}
		evacuate(2, "d-1")
		resp, _, err := f.call(t.Context(), request(http.MethodPost))
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(classifier.HeaderInstance), "almacen-2")
		evacuate(3, "d-1", "d-2")
		start := time.Now()
		resp, _, err = f.call(t.Context(), request(http.MethodPost))
		assertRefused(t, resp, err, classifier.NotRun, classifier.ReasonEvacuated)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
