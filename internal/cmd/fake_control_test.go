package cmd_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// fakeControl is an in-memory control instance without voters. Accepted changes
// get fixed times, one minute apart.
type fakeControl struct {
	controlwireconnect.UnimplementedControlHandler
	mu               sync.Mutex
	doc              *controlwire.Document
	history          []*controlwire.HistoryEntry // Newest first.
	responses        map[string]*controlwire.SubmitResponse
	dropNextResponse bool
	stale            bool
	lagging          bool
	noMajority       bool
}

var fakes sync.Map // The *fakeControl of each *testscript.TestScript.

// startFakeControl starts a fake, to be stopped by cleanup, and returns it with its
// address.
func startFakeControl(cleanup func(func())) (f *fakeControl, address string) {
	f = &fakeControl{responses: make(map[string]*controlwire.SubmitResponse)}
	mux := http.NewServeMux()
	mux.Handle(controlwireconnect.NewControlHandler(f, connect.WithInterceptors(connect.UnaryInterceptorFunc(f.serialize))))
	server := httptest.NewServer(mux)
	cleanup(server.Close)
	return f, server.Listener.Addr().String()
}

// runFakeControl is the script command "control". Its argument is one of:
//
//	start     starts a fake and sets $CONTROL to its address
//	dead      sets $DEAD to an address on which nothing listens
//	lose      breaks the connection after the next change is accepted
//	stale     fails all calls for want of a majority
//	behind    leaves the newest change out of the history
//	refusing  refuses submissions with the outcome not-run
//	fresh     ends stale, behind and refusing
func runFakeControl(ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "start":
		f, address := startFakeControl(ts.Defer)
		ts.Setenv("CONTROL", address)
		fakes.Store(ts, f)
	case "dead":
		l, err := net.Listen("tcp", net.JoinHostPort(loopback().String(), "0"))
		ts.Check(err)
		ts.Check(l.Close())
		ts.Setenv("DEAD", l.Addr().String())
	default:
		value, _ := fakes.Load(ts)
		value.(*fakeControl).set(args[0])
	}
}

// set applies an argument of the script command "control".
func (f *fakeControl) set(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropNextResponse = f.dropNextResponse || fault == "lose"
	f.stale = fault == "stale"
	f.lagging = fault == "behind"
	f.noMajority = fault == "refusing"
}

// serialize is an interceptor that handles one call at a time, and fails all calls
// while the instance is stale.
func (f *fakeControl) serialize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stale {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("no majority of voters is reachable"))
		}
		return next(ctx, req)
	}
}

func (f *fakeControl) Submit(_ context.Context, r *connect.Request[controlwire.SubmitRequest]) (*connect.Response[controlwire.SubmitResponse], error) {
	if f.noMajority {
		err := connect.NewError(connect.CodeUnavailable, voter.ErrNoMajority)
		err.Meta().Set(classifier.HeaderOutcome, classifier.NotRun.String())
		return nil, err
	}
	response, known := f.responses[r.Msg.GetChangeId()]
	if !known {
		response = f.decide(r.Msg)
		f.responses[r.Msg.GetChangeId()] = response
	}
	if f.dropNextResponse {
		f.dropNextResponse = false
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(response), nil
}

// decide accepts a change of the newest version and reports a conflict otherwise.
func (f *fakeControl) decide(req *controlwire.SubmitRequest) *controlwire.SubmitResponse {
	number := uint64(len(f.history))
	if req.GetReplaces() != number {
		return &controlwire.SubmitResponse{
			Result: controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT,
			Winner: f.history[number-req.GetReplaces()-1],
		}
	}
	at := time.Date(2026, 12, 3, 9, int(number), 0, 0, time.UTC)
	f.history = append([]*controlwire.HistoryEntry{{
		Number: number + 1, ChangeId: req.GetChangeId(), Operator: req.GetOperator(), Message: req.GetMessage(),
		AcceptedUnixMs: at.UnixMilli(), Changes: compiler.Diff(f.doc, req.GetDocument()),
	}}, f.history...)
	f.doc = req.GetDocument()
	return &controlwire.SubmitResponse{Result: controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED, Version: number + 1}
}

func (f *fakeControl) Current(context.Context, *connect.Request[controlwire.CurrentRequest]) (*connect.Response[controlwire.CurrentResponse], error) {
	digest := &controlwire.VersionDigest{Number: uint64(len(f.history)), Digest: compiler.Digest(f.doc)}
	return connect.NewResponse(&controlwire.CurrentResponse{Version: &controlwire.Version{Digest: digest, Document: f.doc}}), nil
}

func (f *fakeControl) History(_ context.Context, r *connect.Request[controlwire.HistoryRequest]) (*connect.Response[controlwire.HistoryResponse], error) {
	entries := f.history
	if f.lagging {
		entries = entries[1:]
	}
	if limit := int(r.Msg.GetLimit()); limit > 0 {
		entries = entries[:min(limit, len(entries))]
	}
	return connect.NewResponse(&controlwire.HistoryResponse{Entries: entries}), nil
}
