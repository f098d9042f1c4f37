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

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// dialTimeout bounds how long a connection to a control instance takes to open.
const dialTimeout = 2 * time.Second

// controlClient is what the config commands ask of the control instances.
type controlClient interface {
	// Submit proposes a change. An error that is errNoEffect proves that the
	// call changed nothing.
	Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error)
	// Current returns the version in force.
	Current(ctx context.Context) (*controlwire.Version, error)
	// History returns the latest changes, newest first. With an error it
	// returns those that a stale instance knows, if one told any.
	History(ctx context.Context, limit uint32) ([]*controlwire.HistoryEntry, error)
}

// errNoEffect reports that each control instance refused the call or could
// not be connected to.
var errNoEffect = errors.New("no control instance took the call")

// remoteControl asks control instances in turn until one answers. Each call
// may reach several of them: reads change nothing, and a change that comes
// again under its change id gets its first answer.
type remoteControl struct {
	addresses []netip.AddrPort
	clients   []controlwireconnect.ControlClient
	timeout   time.Duration
}

func newRemoteControl(addresses []netip.AddrPort, timeout time.Duration) *remoteControl {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	c := &remoteControl{addresses: addresses, timeout: timeout}
	for _, addr := range addresses {
		client := controlwireconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+addr.String())
		c.clients = append(c.clients, client)
	}
	return c
}

// Submit implements controlClient.
func (c *remoteControl) Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	return ask(ctx, c, req, controlwireconnect.ControlClient.Submit)
}

// Current implements controlClient.
func (c *remoteControl) Current(ctx context.Context) (*controlwire.Version, error) {
	resp, err := ask(ctx, c, &controlwire.CurrentRequest{}, controlwireconnect.ControlClient.Current)
	return resp.GetVersion(), err
}

// History implements controlClient.
func (c *remoteControl) History(ctx context.Context, limit uint32) ([]*controlwire.HistoryEntry, error) {
	var known []*controlwire.HistoryEntry
	call := func(client controlwireconnect.ControlClient, ctx context.Context, req *connect.Request[controlwire.HistoryRequest]) (*connect.Response[controlwire.HistoryResponse], error) {
		resp, err := client.History(ctx, req)
		if entries := knownHistory(err); newestOf(entries) > newestOf(known) {
			known = entries
		}
		return resp, err
	}
	resp, err := ask(ctx, c, &controlwire.HistoryRequest{Limit: limit}, call)
	if err != nil {
		return known, err
	}
	return resp.GetEntries(), nil
}

// knownHistory returns what the error of a stale instance tells of the changes.
func knownHistory(err error) []*controlwire.HistoryEntry {
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return nil
	}
	for _, detail := range refusal.Details() {
		message, err := detail.Value()
		if history, ok := message.(*controlwire.HistoryResponse); err == nil && ok {
			return history.GetEntries()
		}
	}
	return nil
}

// newestOf returns the number of the newest change of a history, or 0.
func newestOf(entries []*controlwire.HistoryEntry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return entries[0].GetNumber()
}

// Status returns what the first control instance that answers knows of the voters.
func (c *remoteControl) Status(ctx context.Context) (*controlwire.StatusResponse, error) {
	return ask(ctx, c, &controlwire.StatusRequest{}, controlwireconnect.ControlClient.Status)
}

// ask calls the control instances in turn until one answers or refuses what
// all would refuse.
func ask[Req, Resp any](
	ctx context.Context, c *remoteControl, req *Req,
	call func(controlwireconnect.ControlClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	mayHaveEffect := false
	var last error
	for i, client := range c.clients {
		attempt, cancel := context.WithTimeout(ctx, c.timeout)
		resp, err := call(client, attempt, connect.NewRequest(req))
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		last = fmt.Errorf("ask control instance %s: %w", c.addresses[i], err)
		mayHaveEffect = mayHaveEffect || !hadNoEffect(err)
		if connect.CodeOf(err) == connect.CodeInvalidArgument || ctx.Err() != nil {
			break
		}
	}
	if !mayHaveEffect {
		return nil, fmt.Errorf("%w: %w", errNoEffect, last)
	}
	return nil, last
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

// outcomeOf returns what a control instance told of a submission that failed.
func outcomeOf(err error) classifier.Outcome {
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return classifier.Unknown
	}
	outcome, err := classifier.ParseOutcome(refusal.Meta().Get(classifier.HeaderOutcome))
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
