package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// dialTimeout bounds the time to connect to a control instance.
const dialTimeout = 2 * time.Second

// controlClient is the part of the control API that the config commands use.
type controlClient interface {
	// Submit proposes a change. An error that wraps errNoEffect proves that the
	// call changed nothing.
	Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error)
	// Current returns the version in force.
	Current(ctx context.Context) (*controlwire.Version, error)
	// History returns the latest changes, newest first. Together with an error
	// it returns the changes that a stale instance knows, if any reported them.
	History(ctx context.Context, limit uint32) ([]*controlwire.HistoryEntry, error)
}

// errNoEffect reports that each control instance refused the call or could
// not be connected to.
var errNoEffect = errors.New("no control instance accepted the call")

// failoverClient calls control instances in turn until one responds. A call may
// reach several of them: reads change nothing, and a change that is resent under
// its change id gets the response to its first submission. The next call starts
// with the instance that responded, since each unreachable one costs a timeout.
type failoverClient struct {
	addresses []netip.AddrPort
	clients   []controlwireconnect.ControlClient
	timeout   time.Duration
	preferred int // Index of the instance to call first.
}

func newFailoverClient(addresses []netip.AddrPort, timeout time.Duration) *failoverClient {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	c := &failoverClient{addresses: addresses, timeout: timeout}
	for _, addr := range addresses {
		client := controlwireconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+addr.String(), connect.WithReadMaxBytes(retainer.MaxMessageBytes))
		c.clients = append(c.clients, client)
	}
	return c
}

// Submit implements controlClient.
func (c *failoverClient) Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	return callWithFailover(ctx, c, req, controlwireconnect.ControlClient.Submit)
}

// Current implements controlClient.
func (c *failoverClient) Current(ctx context.Context) (*controlwire.Version, error) {
	resp, err := callWithFailover(ctx, c, &controlwire.CurrentRequest{}, controlwireconnect.ControlClient.Current)
	return resp.GetVersion(), err
}

// History implements controlClient.
func (c *failoverClient) History(ctx context.Context, limit uint32) ([]*controlwire.HistoryEntry, error) {
	var stale []*controlwire.HistoryEntry
	call := func(client controlwireconnect.ControlClient, ctx context.Context, req *connect.Request[controlwire.HistoryRequest]) (*connect.Response[controlwire.HistoryResponse], error) {
		resp, err := client.History(ctx, req)
		if entries := staleHistory(err); newestNumber(entries) > newestNumber(stale) {
			stale = entries
		}
		return resp, err
	}
	resp, err := callWithFailover(ctx, c, &controlwire.HistoryRequest{Limit: limit}, call)
	if err != nil {
		return stale, err
	}
	return resp.GetEntries(), nil
}

// staleHistory returns the changes that a stale instance attached to its error.
func staleHistory(err error) []*controlwire.HistoryEntry {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
		message, err := detail.Value()
		if history, ok := message.(*controlwire.HistoryResponse); err == nil && ok {
			return history.GetEntries()
		}
	}
	return nil
}

// newestNumber returns the version number of the newest change of a history, or 0.
func newestNumber(entries []*controlwire.HistoryEntry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return entries[0].GetNumber()
}

// Status returns the status of the first control instance that responds.
func (c *failoverClient) Status(ctx context.Context) (*controlwire.StatusResponse, error) {
	return callWithFailover(ctx, c, &controlwire.StatusRequest{}, controlwireconnect.ControlClient.Status)
}

// StartEvacuation orders that a failure domain be evacuated. A resent order has the same result.
func (c *failoverClient) StartEvacuation(ctx context.Context, req *controlwire.EvacuationRequest) (*controlwire.EvacuationResponse, error) {
	return callWithFailover(ctx, c, req, controlwireconnect.ControlClient.StartEvacuation)
}

// EndEvacuation orders that the evacuation of a failure domain end.
func (c *failoverClient) EndEvacuation(ctx context.Context, req *controlwire.EvacuationRequest) (*controlwire.EvacuationResponse, error) {
	return callWithFailover(ctx, c, req, controlwireconnect.ControlClient.EndEvacuation)
}

// ReadEvacuation returns the evacuated failure domains and the capacity of the services.
func (c *failoverClient) ReadEvacuation(ctx context.Context, req *controlwire.ReadEvacuationRequest) (*controlwire.EvacuationResponse, error) {
	return callWithFailover(ctx, c, req, controlwireconnect.ControlClient.ReadEvacuation)
}

// callWithFailover calls the control instances in turn until one responds or
// rejects the request as invalid, as all others would.
func callWithFailover[Req, Resp any](
	ctx context.Context, c *failoverClient, req *Req,
	call func(controlwireconnect.ControlClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	mayHaveEffect := false
	var lastErr error
	for n := range c.clients {
		i := (c.preferred + n) % len(c.clients)
		attemptCtx, cancel := context.WithTimeout(ctx, c.timeout)
		resp, err := call(c.clients[i], attemptCtx, connect.NewRequest(req))
		cancel()
		if err == nil {
			c.preferred = i
			return resp.Msg, nil
		}
		lastErr = fmt.Errorf("call control instance %s: %w", c.addresses[i], err)
		mayHaveEffect = mayHaveEffect || !hadNoEffect(err)
		if connect.CodeOf(err) == connect.CodeInvalidArgument || ctx.Err() != nil {
			break
		}
	}
	if !mayHaveEffect {
		return nil, fmt.Errorf("%w: %w", errNoEffect, lastErr)
	}
	return nil, lastErr
}

// hadNoEffect reports whether err proves that a call changed nothing.
func hadNoEffect(err error) bool {
	if outcomeOf(err) == classifier.NotRun {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeUnimplemented:
		return true
	}
	return dialFailed(err)
}

// outcomeOf returns the outcome that a control instance attached to its error.
func outcomeOf(err error) classifier.Outcome {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return classifier.Unknown
	}
	outcome, err := classifier.ParseOutcome(connectErr.Meta().Get(classifier.HeaderOutcome))
	if err != nil {
		return classifier.Unknown
	}
	return outcome
}

// dialFailed reports whether err proves that no byte was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
