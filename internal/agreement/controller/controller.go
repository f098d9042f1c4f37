// Package controller serves the calls of operators and nodes at a control instance.
//
// # Usage
//
//	c := controller.New(v, checker, ledger, fleet, retainer.BytesFor(settings.MemoryMB()))
//	path, handler := c.Handler()
//	mux.Handle(path, handler)
//
// Submit, Current and the calls for evacuations need a majority of voters. The other calls are served from local
// state, but History fails while the instance is stale. Errors have connect codes:
//
//	invalid-argument     the change can never be accepted as it is
//	failed-precondition  the instance belongs to no group, the replaced version
//	                     does not exist yet or is too old to determine the
//	                     outcome, or an instance that would become a voter is
//	                     not ready
//	unavailable          no majority, too few voters, the outcome is unknown, the
//	                     instance is stale, or it cannot store reported usage
//	not-found            no instance and no site names the failure domain
//	resource-exhausted   too many failure domains are evacuated, or as much is being sent
//	                     to other processes as fits in memory
//	internal             the response cannot be compressed
//
// The error of a failed submission has the header classifier.HeaderOutcome: "not-run" if
// the change was not proposed, else "unknown". The error of a stale instance has its
// status as a detail; that of History has the locally known history as a second detail.
package controller

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Voter represents the instance in the consensus on the configuration.
type Voter interface {
	Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error)
	SubmitDerived(ctx context.Context, req *controlwire.SubmitRequest, derive voter.DocumentFunc) (*controlwire.SubmitResponse, error)
	Current(ctx context.Context) (*voter.State, error)
	SetEvacuated(ctx context.Context, domain string, evacuated bool) (*controlwire.Evacuation, error)
	Local() *voter.State
	Status() *controlwire.StatusResponse
}

// Checker validates a document for every site.
type Checker interface {
	Check(doc *controlwire.Document) error
}

// Ledger stores the usage counters of all instances.
type Ledger interface {
	// Report merges the counters of a node. It fails if they cannot be stored.
	Report(counters []*controlwire.UsageCounter) error
	// Usage returns the counters that the request selects.
	Usage(req *controlwire.UsageRequest) *controlwire.UsageResponse
}

// Controller implements the Control service.
type Controller struct {
	voter          Voter
	checker        Checker
	ledger         Ledger
	fleet          Fleet // Nil if it is not known; every failure domain is then accepted.
	versionReports *versionReports
	cache          responseCache
	responses      *retainer.Gate // Of the versions that are sent to other processes.
}

// errManyResponses is returned to a process that should ask another instance, or later.
var errManyResponses = errors.New("other processes are being sent as much as fits in memory")

// New returns a controller. What it keeps for processes that are behind, and what it sends them at
// the same time, takes up to catchUpBytes bytes of memory, each.
func New(v Voter, checker Checker, ledger Ledger, fleet Fleet, catchUpBytes int) *Controller {
	return &Controller{
		voter:          v,
		checker:        checker,
		ledger:         ledger,
		fleet:          fleet,
		versionReports: newVersionReports(),
		cache:          responseCache{maxBytes: catchUpBytes},
		responses:      retainer.NewGate(catchUpBytes),
	}
}

// Handler returns the HTTP handler of the service and its path.
func (c *Controller) Handler() (string, http.Handler) {
	return controlwireconnect.NewControlHandler(c, connect.WithReadMaxBytes(packer.MaxResponseBytes))
}

// Submit implements controlwireconnect.ControlHandler.
func (c *Controller) Submit(ctx context.Context, req *connect.Request[controlwire.SubmitRequest]) (*connect.Response[controlwire.SubmitResponse], error) {
	if err := c.checker.Check(req.Msg.GetDocument()); err != nil {
		return nil, submitError(fmt.Errorf("%w: %w", voter.ErrInvalid, err))
	}
	resp, err := c.voter.Submit(ctx, req.Msg)
	if err != nil {
		return nil, submitError(err)
	}
	return connect.NewResponse(resp), nil
}

// SubmitDerived proposes a change whose document is derived from the version that it
// replaces, as voter.SubmitDerived does, and checks that document. It returns the errors of
// package voter.
func (c *Controller) SubmitDerived(ctx context.Context, req *controlwire.SubmitRequest, derive voter.DocumentFunc) (*controlwire.SubmitResponse, error) {
	return c.voter.SubmitDerived(ctx, req, func(replaced *controlwire.Document) (*controlwire.Document, error) {
		doc, err := derive(replaced)
		if err != nil {
			return nil, err
		}
		return doc, c.checker.Check(doc)
	})
}

// ReadCurrent returns the newest accepted version, confirmed by a majority of the voters.
// It returns the errors of package voter.
func (c *Controller) ReadCurrent(ctx context.Context) (*controlwire.Version, error) {
	state, err := c.voter.Current(ctx)
	if err != nil {
		return nil, err
	}
	return state.Version(), nil
}

// Current implements controlwireconnect.ControlHandler.
func (c *Controller) Current(ctx context.Context, req *connect.Request[controlwire.CurrentRequest]) (*connect.Response[controlwire.CurrentResponse], error) {
	state, err := c.voter.Current(ctx)
	if errors.Is(err, voter.ErrStale) {
		return nil, staleError(c.voter.Status())
	}
	if err != nil {
		return nil, connect.NewError(codeOf(err), err)
	}
	resp := &controlwire.CurrentResponse{Version: state.Version(), Evacuation: state.Evacuation()}
	if req.Msg.GetPacked() {
		cached, err := c.cache.currentResponse(state.Version())
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		resp.Version, resp.Packed = cached.GetVersion(), cached.GetPacked()
	}
	if !c.responses.Enter(ctx, proto.Size(resp)) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errManyResponses)
	}
	return connect.NewResponse(resp), nil
}

// Fetch implements controlwireconnect.ControlHandler.
func (c *Controller) Fetch(ctx context.Context, req *connect.Request[controlwire.FetchRequest]) (*connect.Response[controlwire.FetchResponse], error) {
	state := c.voter.Local()
	if state == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, voter.ErrNoGroup)
	}
	resp, err := c.cache.fetchResponse(state, req.Msg.GetHave())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if !c.responses.Enter(ctx, proto.Size(resp)) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errManyResponses)
	}
	return connect.NewResponse(resp), nil
}

// History implements controlwireconnect.ControlHandler.
func (c *Controller) History(_ context.Context, req *connect.Request[controlwire.HistoryRequest]) (*connect.Response[controlwire.HistoryResponse], error) {
	state := c.voter.Local()
	if state == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, voter.ErrNoGroup)
	}
	entries := slices.Clone(state.History())
	slices.Reverse(entries)
	if limit := int(req.Msg.GetLimit()); limit > 0 {
		entries = entries[:min(limit, len(entries))]
	}
	resp := &controlwire.HistoryResponse{Entries: entries}
	if status := c.voter.Status(); status.GetStale() {
		return nil, staleError(status, resp)
	}
	return connect.NewResponse(resp), nil
}

// Status implements controlwireconnect.ControlHandler.
func (c *Controller) Status(context.Context, *connect.Request[controlwire.StatusRequest]) (*connect.Response[controlwire.StatusResponse], error) {
	status := c.voter.Status()
	status.InForce = c.versionReports.list(time.Now())
	return connect.NewResponse(status), nil
}

// ReportUsage implements controlwireconnect.ControlHandler.
func (c *Controller) ReportUsage(_ context.Context, req *connect.Request[controlwire.ReportUsageRequest]) (*connect.Response[controlwire.ReportUsageResponse], error) {
	if inForce := req.Msg.GetInForce(); inForce != nil {
		c.versionReports.add(inForce, time.Now())
	}
	if err := c.ledger.Report(req.Msg.GetCounters()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&controlwire.ReportUsageResponse{}), nil
}

// Usage implements controlwireconnect.ControlHandler.
func (c *Controller) Usage(_ context.Context, req *connect.Request[controlwire.UsageRequest]) (*connect.Response[controlwire.UsageResponse], error) {
	return connect.NewResponse(c.ledger.Usage(req.Msg)), nil
}

// staleError returns the error of a stale instance, with its status and the given messages
// as details.
func staleError(status *controlwire.StatusResponse, extra ...proto.Message) *connect.Error {
	staleFor := ""
	if ms := status.GetStaleForMs(); ms > 0 {
		staleFor = fmt.Sprintf(" for %s", (time.Duration(ms) * time.Millisecond).Round(time.Second))
	}
	status.Stale = true
	err := fmt.Errorf("%w%s; it knows changes up to version %d", voter.ErrStale, staleFor, status.GetVersion())
	result := connect.NewError(connect.CodeUnavailable, err)
	for _, message := range append([]proto.Message{status}, extra...) {
		if detail, err := connect.NewErrorDetail(message); err == nil {
			result.AddDetail(detail)
		}
	}
	return result
}

// submitError returns the error of a failed submission with its outcome.
func submitError(err error) *connect.Error {
	result := connect.NewError(codeOf(err), err)
	result.Meta().Set(classifier.HeaderOutcome, outcomeOf(err).String())
	return result
}

// outcomeOf returns NotRun if err proves that the submitted change was not proposed, else
// Unknown.
func outcomeOf(err error) classifier.Outcome {
	if errors.Is(err, voter.ErrOutcomeUnknown) {
		return classifier.Unknown
	}
	for _, notProposed := range []error{
		voter.ErrInvalid, voter.ErrTooOld, voter.ErrBaseTooNew, voter.ErrNoGroup, voter.ErrNoMajority, voter.ErrTooFewVoters, voter.ErrVoterNotReady,
		voter.ErrTooManyEvacuated, voter.ErrAbandoned, ErrUnknownDomain,
	} {
		if errors.Is(err, notProposed) {
			return classifier.NotRun
		}
	}
	return classifier.Unknown
}

// codeOf returns the connect code of a voter's error.
func codeOf(err error) connect.Code {
	switch {
	case errors.Is(err, voter.ErrInvalid):
		return connect.CodeInvalidArgument
	case errors.Is(err, ErrUnknownDomain):
		return connect.CodeNotFound
	case errors.Is(err, voter.ErrTooManyEvacuated):
		return connect.CodeResourceExhausted
	case errors.Is(err, voter.ErrOutcomeUnknown):
		return connect.CodeUnavailable
	case errors.Is(err, voter.ErrTooOld), errors.Is(err, voter.ErrBaseTooNew), errors.Is(err, voter.ErrNoGroup), errors.Is(err, voter.ErrVoterNotReady):
		return connect.CodeFailedPrecondition
	default:
		return connect.CodeUnavailable
	}
}
