package forwarder_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestFullInstancesAreNotTriedOneByOne plays two instances without room before one with room. At
// least cost a request with an API key, which is a caller's, is refused after two refusals for lack
// of room, since more would cost messages and the caller's time. Requests that may be calls of running
// ones, refusals for other reasons and services in arrival order are tried further.
func TestFullInstancesAreNotTriedOneByOne(t *testing.T) {
	for name, tc := range map[string]struct {
		overload compiler.Overload
		reason   classifier.Reason
		keyed    bool
		nested   bool
		served   bool
	}{
		"least cost":              {overload: compiler.OverloadLeastCost, reason: classifier.ReasonGoal, keyed: true},
		"call at least cost":      {overload: compiler.OverloadLeastCost, reason: classifier.ReasonGoal, keyed: true, nested: true, served: true},
		"call that tells nothing": {overload: compiler.OverloadLeastCost, reason: classifier.ReasonGoal, served: true},
		"another reason":          {overload: compiler.OverloadLeastCost, reason: classifier.ReasonCold, keyed: true, served: true},
		"arrival order":           {overload: compiler.OverloadArrivalOrder, reason: classifier.ReasonQueueFull, keyed: true, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := organisationFleet(t, &fakeQuota{left: 9})
			f.configuration = mustCompile(t, strings.Replace(organisationsBase, "hosts = none\n", "hosts = none\noverload = "+tc.overload.String()+"\n", 1))
			f.upstreamHandler = newFleet().upstreamHandler
			f.admissionErr = refusalError(tc.reason)
			full := netip.MustParseAddrPort(firstNodeAddress)
			f.instances = []*registrar.Instance{
				registrar.NewInstance(registrar.Spec{ID: "almacen-1-full", State: registrar.StateReady, Service: "almacen", HTTP: full}),
				registrar.NewInstance(registrar.Spec{ID: "almacen-1-too", State: registrar.StateReady, Service: "almacen", HTTP: full}),
				f.instances[1],
			}
			f.run(t, func(t *testing.T) {
				req := request(http.MethodGet)
				req.Host = "pedidos.example"
				if tc.keyed {
					req.Header.Set("X-Key", "k1")
				}
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
