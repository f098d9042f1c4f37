package forwarder_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestFullInstancesAreNotTriedOneByOne plays two instances without room before one with room. At
// least cost a caller's request is refused after two refusals for lack of room, since more would
// cost messages and the caller's time. Calls of running requests, refusals for other reasons and
// services in arrival order are tried further.
func TestFullInstancesAreNotTriedOneByOne(t *testing.T) {
	for name, tc := range map[string]struct {
		overload compiler.Overload
		reason   classifier.Reason
		nested   bool
		served   bool
	}{
		"least cost":         {overload: compiler.OverloadLeastCost, reason: classifier.ReasonGoal},
		"call at least cost": {overload: compiler.OverloadLeastCost, reason: classifier.ReasonGoal, nested: true, served: true},
		"another reason":     {overload: compiler.OverloadLeastCost, reason: classifier.ReasonCold, served: true},
		"arrival order":      {overload: compiler.OverloadArrivalOrder, reason: classifier.ReasonQueueFull, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.spec.Overload = tc.overload
			f.admissionErr = refusalError(tc.reason)
			full := netip.MustParseAddrPort(firstNodeAddress)
			f.instances = []*registrar.Instance{
				registrar.NewInstance(registrar.Spec{ID: "almacen-1-full", State: registrar.StateReady, Service: "almacen", HTTP: full}),
				registrar.NewInstance(registrar.Spec{ID: "almacen-1-too", State: registrar.StateReady, Service: "almacen", HTTP: full}),
				f.instances[1],
			}
			f.run(t, func(t *testing.T) {
				req := request(http.MethodPost)
				if tc.nested {
					req.Header.Set(classifier.HeaderDepth, "1")
				}
				resp, body, err := f.call(context.Background(), req)
				if tc.served {
					assertResponse(t, resp, body, err)
					return
				}
				assertRefused(t, resp, err, classifier.NotRun, tc.reason)
			})
		})
	}
}
