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

	"github.com/banyanscale/banyanscale/internal/process/voter"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// fakeControl is a control instance without voters, disk or clock.
type fakeControl struct {
	controlwireconnect.UnimplementedControlHandler
	mu       sync.Mutex
	doc      *controlwire.Document
	history  []*controlwire.HistoryEntry // Newest first.
	answers  map[string]*controlwire.SubmitResponse
	loseNext bool
	stale    bool
	behind   bool
	refusing bool
}

var fakes sync.Map // By script.

// startFakeControl returns a fake and the address at which it serves.
func startFakeControl(atEnd func(func())) (f *fakeControl, address string) {
	f = &fakeControl{answers: make(map[string]*controlwire.SubmitResponse)}
	mux := http.NewServeMux()
	mux.Handle(controlwireconnect.NewControlHandler(f, connect.WithInterceptors(connect.UnaryInterceptorFunc(f.serialize))))
	server := httptest.NewServer(mux)
	atEnd(server.Close)
	return f, server.Listener.Addr().String()
}

// runFakeControl is the script command "control": "start" sets $CONTROL, "lose"
// breaks the connection after the next change was accepted, "stale" refuses
// calls, "behind" hides the newest change from the history, "refusing" proposes
// no change, "fresh" ends these, "dead" sets $DEAD to an address with nobody.
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

func (f *fakeControl) set(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = f.loseNext || fault == "lose"
	f.stale = fault == "stale"
	f.behind = fault == "behind"
	f.refusing = fault == "refusing"
}

// serialize handles one call at a time, and none while the instance is stale.
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
	if f.refusing {
		err := connect.NewError(connect.CodeUnavailable, voter.ErrNoMajority)
		err.Meta().Set(classifier.HeaderOutcome, classifier.NotRun.String())
		return nil, err
	}
	answer, known := f.answers[r.Msg.GetChangeId()]
	if !known {
		answer = f.decide(r.Msg)
		f.answers[r.Msg.GetChangeId()] = answer
	}
	if f.loseNext {
		f.loseNext = false
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(answer), nil
}

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
	if f.behind {
		entries = entries[1:]
	}
	if limit := int(r.Msg.GetLimit()); limit > 0 {
		entries = entries[:min(limit, len(entries))]
	}
	return connect.NewResponse(&controlwire.HistoryResponse{Entries: entries}), nil
}
