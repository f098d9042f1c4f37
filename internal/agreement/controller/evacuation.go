package controller

import (
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// ErrUnknownDomain means that no instance of the fleet and no overlay names the failure domain
// of an order. Nothing has changed.
var ErrUnknownDomain = errors.New("no instance and no site names this failure domain")

// Fleet is what the control instance knows of the fleet.
type Fleet interface {
	// Unknown reports whether the fleet certainly has no such failure domain, as far as its
	// members and the document tell.
	Unknown(domain string, doc *controlwire.Document) bool
	// Capacity returns the capacity of each service if the given failure domains are
	// evacuated.
	Capacity(evacuated []string) []*controlwire.ServiceCapacity
}

// EvacuationOrder orders that a failure domain be evacuated, or that its evacuation end.
type EvacuationOrder struct {
	FailureDomain string
	Evacuated     bool
	// Unverified accepts a failure domain that the instance does not know.
	Unverified bool
}

// OrderEvacuation carries out an order and returns the evacuated failure domains. It returns
// ErrUnknownDomain or the errors of package voter.
func (c *Controller) OrderEvacuation(ctx context.Context, order EvacuationOrder) (*controlwire.Evacuation, error) {
	if order.Evacuated && !order.Unverified && c.unknownDomain(order.FailureDomain) {
		return nil, fmt.Errorf("%w: %q", ErrUnknownDomain, order.FailureDomain)
	}
	return c.voter.SetEvacuated(ctx, order.FailureDomain, order.Evacuated)
}

// unknownDomain reports whether the fleet certainly has no such failure domain. One that is
// evacuated already is known.
func (c *Controller) unknownDomain(domain string) bool {
	state := c.voter.Local()
	if c.fleet == nil || state == nil || slices.Contains(state.Evacuation().GetFailureDomains(), domain) {
		return false
	}
	return c.fleet.Unknown(domain, state.Version().GetDocument())
}

// StartEvacuation implements controlwireconnect.ControlHandler.
func (c *Controller) StartEvacuation(
	ctx context.Context, req *connect.Request[controlwire.EvacuationRequest],
) (*connect.Response[controlwire.EvacuationResponse], error) {
	return c.serveEvacuation(ctx, req.Msg, true)
}

// EndEvacuation implements controlwireconnect.ControlHandler.
func (c *Controller) EndEvacuation(
	ctx context.Context, req *connect.Request[controlwire.EvacuationRequest],
) (*connect.Response[controlwire.EvacuationResponse], error) {
	return c.serveEvacuation(ctx, req.Msg, false)
}

func (c *Controller) serveEvacuation(
	ctx context.Context, req *controlwire.EvacuationRequest, evacuated bool,
) (*connect.Response[controlwire.EvacuationResponse], error) {
	evacuation, err := c.OrderEvacuation(ctx, EvacuationOrder{
		FailureDomain: req.GetFailureDomain(),
		Evacuated:     evacuated,
		Unverified:    req.GetUnverified(),
	})
	if err != nil {
		return nil, submitError(err)
	}
	return connect.NewResponse(&controlwire.EvacuationResponse{Evacuation: evacuation}), nil
}

// ReadEvacuation implements controlwireconnect.ControlHandler.
func (c *Controller) ReadEvacuation(
	ctx context.Context, req *connect.Request[controlwire.ReadEvacuationRequest],
) (*connect.Response[controlwire.EvacuationResponse], error) {
	state, err := c.voter.Current(ctx)
	if errors.Is(err, voter.ErrStale) {
		return nil, staleError(c.voter.Status())
	}
	if err != nil {
		return nil, connect.NewError(codeOf(err), err)
	}
	resp := &controlwire.EvacuationResponse{Evacuation: state.Evacuation()}
	if c.fleet != nil {
		resp.Capacity = c.fleet.Capacity(slices.Concat(state.Evacuation().GetFailureDomains(), req.Msg.GetAssumed()))
	}
	return connect.NewResponse(resp), nil
}
