package controller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/controller"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// fakeFleet knows one failure domain, with one instance of one service.
type fakeFleet struct{ domain string }

func (f fakeFleet) Unknown(domain string, _ *controlwire.Document) bool { return domain != f.domain }

func (f fakeFleet) Capacity(evacuated []string) []*controlwire.ServiceCapacity {
	c := &controlwire.ServiceCapacity{Service: "vitrina", Instances: 1}
	if !slices.Contains(evacuated, f.domain) {
		c.RemainingInstances = 1
	}
	return []*controlwire.ServiceCapacity{c}
}

// startWithFleet starts a controller that knows the failure domain oax-istmo.
func startWithFleet(t *testing.T) controlwireconnect.ControlClient {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(controller.New(newVoter(t, "127.0.0.1:1"), fakeChecker{}, &fakeLedger{}, fakeFleet{"oax-istmo"}, retainer.DefaultBytes).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return controlwireconnect.NewControlClient(server.Client(), server.URL)
}

// order orders an evacuation and returns the resulting list.
func order(t *testing.T, client controlwireconnect.ControlClient, domain string, unverified bool) ([]string, error) {
	t.Helper()
	resp, err := client.StartEvacuation(context.Background(), connect.NewRequest(&controlwire.EvacuationRequest{FailureDomain: domain, Unverified: unverified}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetEvacuation().GetFailureDomains(), nil
}

func TestUnknownFailureDomainIsRefused(t *testing.T) {
	client := startWithFleet(t)
	_, err := order(t, client, "oax-itsmo", false)
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
	assert.Equal(t, errorOutcome(err), classifier.NotRun.String())
	assertEvacuatedDomains(t, client)
	domains, err := order(t, client, "oax-itsmo", true)
	assert.NilError(t, err)
	assert.DeepEqual(t, domains, []string{"oax-itsmo"})
	domains, err = order(t, client, "oax-itsmo", false) // Known by now.
	assert.NilError(t, err)
	assert.DeepEqual(t, domains, []string{"oax-itsmo"})
}

func errorOutcome(err error) string {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return ""
	}
	return connectErr.Meta().Get(classifier.HeaderOutcome)
}

func assertEvacuatedDomains(t *testing.T, client controlwireconnect.ControlClient, want ...string) {
	t.Helper()
	read, err := client.ReadEvacuation(context.Background(), connect.NewRequest(&controlwire.ReadEvacuationRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(read.Msg.GetEvacuation().GetFailureDomains(), want), "%v", read.Msg.GetEvacuation())
}

func TestEvacuationIsReadBack(t *testing.T) {
	client := startWithFleet(t)
	_, err := order(t, client, "oax-istmo", false)
	assert.NilError(t, err)
	assertEvacuatedDomains(t, client, "oax-istmo")
	for _, packed := range []bool{false, true} { // As a node reads it that starts.
		current, err := client.Current(context.Background(), connect.NewRequest(&controlwire.CurrentRequest{Packed: packed}))
		assert.NilError(t, err)
		assert.DeepEqual(t, current.Msg.GetEvacuation().GetFailureDomains(), []string{"oax-istmo"})
	}
	status, err := client.Status(context.Background(), connect.NewRequest(&controlwire.StatusRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, status.Msg.GetEvacuation().GetRevision(), uint64(1))
	ended, err := client.EndEvacuation(context.Background(), connect.NewRequest(&controlwire.EvacuationRequest{FailureDomain: "oax-istmo"}))
	assert.NilError(t, err)
	assert.Equal(t, ended.Msg.GetEvacuation().GetRevision(), uint64(2))
	assertEvacuatedDomains(t, client)
}

func TestAssumedEvacuationChangesNothing(t *testing.T) {
	client := startWithFleet(t)
	read, err := client.ReadEvacuation(context.Background(), connect.NewRequest(&controlwire.ReadEvacuationRequest{Assumed: []string{"oax-istmo"}}))
	assert.NilError(t, err)
	assert.Equal(t, read.Msg.GetCapacity()[0].GetRemainingInstances(), uint32(0))
	assertEvacuatedDomains(t, client)
}

func TestEvacuationWithoutMajority(t *testing.T) {
	client := startWithNewVoter(t, &fakeLedger{}, "127.0.0.1:1", "127.0.0.1:2")
	_, err := order(t, client, "oax-istmo", false)
	assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	_, err = client.ReadEvacuation(context.Background(), connect.NewRequest(&controlwire.ReadEvacuationRequest{}))
	assert.Assert(t, err != nil)
}
