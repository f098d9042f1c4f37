package controller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/banyanscale/banyanscale/internal/agreement/controller"
	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// rejectedKey is a key that fakeChecker rejects.
const rejectedKey = "refused"

type fakeChecker struct{}

func (fakeChecker) Check(doc *controlwire.Document) error {
	for _, e := range doc.GetEntries() {
		if e.GetKey() == rejectedKey {
			return errors.New("rejected key")
		}
	}
	return nil
}

// fakeLedger keeps the counters of the last report. Report returns err.
type fakeLedger struct {
	counters []*controlwire.UsageCounter
	err      error
}

func (l *fakeLedger) Report(counters []*controlwire.UsageCounter) error {
	l.counters = counters
	return l.err
}

func (l *fakeLedger) Usage(*controlwire.UsageRequest) *controlwire.UsageResponse {
	return &controlwire.UsageResponse{Counters: l.counters}
}

// digest returns the number of entries, as a readable digest.
func digest(doc *controlwire.Document) []byte { return fmt.Append(nil, len(doc.GetEntries())) }

// unreachableTransport is a transport that reaches no peer.
type unreachableTransport struct{}

func (unreachableTransport) Peer(string) voter.Peer {
	return voter.NewConnectTransport(http.DefaultClient).Peer("127.0.0.1:1")
}

// newVoter starts the first voter of the given group. A group of one has formed when it
// returns.
func newVoter(t *testing.T, group ...string) *voter.Voter {
	t.Helper()
	store, err := journaler.Open(journaler.OS{}, t.TempDir())
	assert.NilError(t, err)
	journal, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	v, err := voter.New(voter.Config{
		Address: group[0], InitialVoters: group, Journal: journal, Transport: unreachableTransport{},
		Digest: digest, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	v.Start()
	t.Cleanup(func() { assert.NilError(t, v.Stop()) })
	for len(group) == 1 && v.Local() == nil {
		_, _ = v.Current(context.Background())
	}
	return v
}

// startWithNewVoter starts a controller with a new voter of the given group and returns a
// client. A group of one has accepted version 1 when it returns.
func startWithNewVoter(t *testing.T, ledger *fakeLedger, group ...string) controlwireconnect.ControlClient {
	t.Helper()
	client := startWithVoter(t, newVoter(t, group...), ledger)
	if len(group) == 1 {
		assert.NilError(t, submit(client, "one", 0, "a", "1", "b", "1"))
	}
	return client
}

// startWithVoter starts a controller with the given voter and returns a client.
func startWithVoter(t *testing.T, v controller.Voter, ledger *fakeLedger) controlwireconnect.ControlClient {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(controller.New(v, fakeChecker{}, ledger, nil, retainer.DefaultBytes).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return controlwireconnect.NewControlClient(server.Client(), server.URL)
}

// submit submits a document with the given keys and values as change id.
func submit(client controlwireconnect.ControlClient, id string, replaces uint64, entries ...string) error {
	doc := &controlwire.Document{}
	for i := 0; i < len(entries); i += 2 {
		doc.Entries = append(doc.Entries, &controlwire.Entry{Section: "service x", Key: entries[i], Value: entries[i+1]})
	}
	_, err := client.Submit(context.Background(), connect.NewRequest(&controlwire.SubmitRequest{
		ChangeId: id, Replaces: replaces, Document: doc,
	}))
	return err
}

func assertCode(t *testing.T, err error, code connect.Code) {
	t.Helper()
	assert.Assert(t, err != nil)
	assert.Equal(t, connect.CodeOf(err), code, err.Error())
}

// fetch returns the response to a process that holds the given version.
func fetch(t *testing.T, client controlwireconnect.ControlClient, number uint64, sum string) *controlwire.FetchResponse {
	t.Helper()
	have := &controlwire.VersionDigest{Number: number, Digest: []byte(sum)}
	resp, err := client.Fetch(context.Background(), connect.NewRequest(&controlwire.FetchRequest{Have: have}))
	assert.NilError(t, err)
	return resp.Msg
}

func TestErrorCodes(t *testing.T) {
	client := startWithNewVoter(t, &fakeLedger{}, "v0")
	assertCode(t, submit(client, "two", 1, rejectedKey, "1"), connect.CodeInvalidArgument)
	assertCode(t, submit(client, "", 1), connect.CodeInvalidArgument)
	assertCode(t, submit(client, "two", 7), connect.CodeFailedPrecondition)
	assertCode(t, submit(client, "two", 1, "a", "1", "a", "2"), connect.CodeInvalidArgument)
	unformed := startWithNewVoter(t, &fakeLedger{err: errors.New("disk is full")}, "v0", "v1")
	assertCode(t, submit(unformed, "one", 0), connect.CodeFailedPrecondition)
	_, err := unformed.Fetch(context.Background(), connect.NewRequest(&controlwire.FetchRequest{}))
	assertCode(t, err, connect.CodeFailedPrecondition)
	_, err = unformed.ReportUsage(context.Background(), connect.NewRequest(&controlwire.ReportUsageRequest{}))
	assertCode(t, err, connect.CodeUnavailable)
}

// failingVoter fails every submission.
type failingVoter struct {
	controller.Voter
	err error
}

func (v failingVoter) Submit(context.Context, *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	return nil, fmt.Errorf("submit change: %w", v.err)
}

// TestSubmitOutcomes checks that only errors which prove that a change was not proposed
// have the outcome not-run.
func TestSubmitOutcomes(t *testing.T) {
	for err, want := range map[error]classifier.Outcome{
		voter.ErrNoMajority:     classifier.NotRun,
		voter.ErrNoGroup:        classifier.NotRun,
		voter.ErrInvalid:        classifier.NotRun,
		voter.ErrTooOld:         classifier.NotRun,
		voter.ErrBaseTooNew:     classifier.NotRun,
		voter.ErrVoterNotReady:  classifier.NotRun,
		voter.ErrOutcomeUnknown: classifier.Unknown,
		fmt.Errorf("%w: %w", voter.ErrOutcomeUnknown, voter.ErrBaseTooNew): classifier.Unknown,
		errors.New("other"): classifier.Unknown,
	} {
		t.Run(err.Error(), func(t *testing.T) {
			var submitErr *connect.Error
			assert.Assert(t, errors.As(submit(startWithVoter(t, failingVoter{err: err}, &fakeLedger{}), "one", 0), &submitErr))
			assert.Equal(t, submitErr.Meta().Get(classifier.HeaderOutcome), want.String())
		})
	}
}

func TestFetchReturnsDeltaOrSnapshot(t *testing.T) {
	client := startWithNewVoter(t, &fakeLedger{}, "v0")
	assert.NilError(t, submit(client, "two", 1, "a", "2", "b", "1", "c", "1"))
	assert.NilError(t, submit(client, "three", 2, "a", "3", "c", "1"))
	assert.Equal(t, fetch(t, client, 0, "").GetSnapshot().GetDigest().GetNumber(), uint64(3))
	assert.Equal(t, len(fetch(t, client, 3, "2").GetDelta().GetChanges()), 0)
	assert.Equal(t, fetch(t, client, 3, "other").GetSnapshot().GetDigest().GetNumber(), uint64(3))
	assert.Equal(t, fetch(t, client, 9, "").GetSnapshot().GetDigest().GetNumber(), uint64(3))
	delta := fetch(t, client, 1, "2").GetDelta()
	assert.Equal(t, delta.GetTarget().GetNumber(), uint64(3))
	want := []*controlwire.EntryChange{
		{Entry: &controlwire.Entry{Section: "service x", Key: "a", Value: "3"}},
		{Entry: &controlwire.Entry{Section: "service x", Key: "b", Value: "1"}, Removed: true},
		{Entry: &controlwire.Entry{Section: "service x", Key: "c", Value: "1"}},
	}
	assertChanges(t, delta, want)
	// Entry c was added and removed after version 1: the changes do not show whether
	// version 1 had it too, so the delta removes it in any case.
	assert.NilError(t, submit(client, "four", 3, "a", "3"))
	want[2] = &controlwire.EntryChange{Entry: &controlwire.Entry{Section: "service x", Key: "c", Value: "1"}, Removed: true}
	delta = fetch(t, client, 1, "2").GetDelta()
	assert.Equal(t, delta.GetTarget().GetNumber(), uint64(4))
	assertChanges(t, delta, want)
	assert.Equal(t, len(fetch(t, client, 3, "2").GetDelta().GetChanges()), 1)
}

func assertChanges(t *testing.T, delta *controlwire.Delta, want []*controlwire.EntryChange) {
	t.Helper()
	assert.Equal(t, len(delta.GetChanges()), len(want))
	for i, change := range delta.GetChanges() {
		assert.Assert(t, proto.Equal(change, want[i]), "%v", change)
	}
}

func TestHistoryAndCurrent(t *testing.T) {
	client := startWithNewVoter(t, &fakeLedger{}, "v0")
	assert.NilError(t, submit(client, "two", 1))
	assert.NilError(t, submit(client, "three", 2, "a", "1"))
	resp, err := client.History(context.Background(), connect.NewRequest(&controlwire.HistoryRequest{Limit: 2}))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Msg.GetEntries()), 2)
	assert.Equal(t, resp.Msg.GetEntries()[0].GetChangeId(), "three")
	current, err := client.Current(context.Background(), connect.NewRequest(&controlwire.CurrentRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, current.Msg.GetVersion().GetDigest().GetNumber(), uint64(3))
}

// TestCurrentIsPackedOnce checks that a large version is sent compressed to requesters that
// accept it, with the same bytes to all of them until the next change.
func TestCurrentIsPackedOnce(t *testing.T) {
	client := startWithNewVoter(t, &fakeLedger{}, "v0")
	read := func(packed bool) *controlwire.CurrentResponse {
		t.Helper()
		resp, err := client.Current(context.Background(), connect.NewRequest(&controlwire.CurrentRequest{Packed: packed}))
		assert.NilError(t, err)
		return resp.Msg
	}
	assert.Assert(t, read(true).GetPacked() == nil, "a small version is not packed")
	for number, fill := range []string{"a", "b"} {
		base := uint64(number + 1)
		assert.NilError(t, submit(client, "large-"+fill, base, fill, strings.Repeat(fill, 64<<10)))
		first, second := read(true), read(true)
		assert.Assert(t, len(first.GetPacked()) > 0 && first.GetVersion() == nil)
		assert.DeepEqual(t, first.GetPacked(), second.GetPacked())
		plain, err := packer.Unpack(&controlwire.FetchResponse{Packed: first.GetPacked()})
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(plain.GetSnapshot(), read(false).GetVersion()))
		assert.Equal(t, plain.GetSnapshot().GetDigest().GetNumber(), base+1)
	}
}

// TestLargeChangesArePackedOnce checks that a large delta is sent compressed, with the same
// bytes to all requesters that hold the same version.
func TestLargeChangesArePackedOnce(t *testing.T) {
	client := startWithNewVoter(t, &fakeLedger{}, "v0")
	have := fetch(t, client, 0, "").GetSnapshot().GetDigest()
	assert.NilError(t, submit(client, "large", 1, "a", strings.Repeat("a", 64<<10)))
	read := func() *controlwire.FetchResponse {
		resp, err := client.Fetch(context.Background(), connect.NewRequest(&controlwire.FetchRequest{Have: have}))
		assert.NilError(t, err)
		return resp.Msg
	}
	first, second := read(), read()
	assert.Assert(t, len(first.GetPacked()) > 0)
	assert.DeepEqual(t, first.GetPacked(), second.GetPacked())
	plain, err := packer.Unpack(first)
	assert.NilError(t, err)
	assert.Equal(t, plain.GetDelta().GetTarget().GetNumber(), uint64(2))
}

// staleVoter is a voter at version 1 that has reached no majority for 5 s.
type staleVoter struct{ controller.Voter }

func (staleVoter) Current(context.Context) (*voter.State, error) {
	return nil, fmt.Errorf("read newest version: %w", voter.ErrStale)
}

func (staleVoter) Status() *controlwire.StatusResponse {
	return &controlwire.StatusResponse{Stale: true, StaleForMs: 5000, Version: 1}
}

// TestStaleInstance checks that a stale instance returns an error with its status and, for
// History, with the history that it knows.
func TestStaleInstance(t *testing.T) {
	client := startWithVoter(t, staleVoter{newVoter(t, "v0")}, &fakeLedger{})
	_, err := client.Current(context.Background(), connect.NewRequest(&controlwire.CurrentRequest{}))
	assertStale(t, err, &controlwire.StatusResponse{Stale: true, StaleForMs: 5000, Version: 1})
	_, err = client.History(context.Background(), connect.NewRequest(&controlwire.HistoryRequest{}))
	assertStale(t, err, &controlwire.StatusResponse{Stale: true, StaleForMs: 5000, Version: 1}, &controlwire.HistoryResponse{})
}

// assertStale checks the text and the details of a stale instance's error.
func assertStale(t *testing.T, err error, details ...proto.Message) {
	t.Helper()
	assertCode(t, err, connect.CodeUnavailable)
	assert.ErrorContains(t, err, "for 5s; it knows changes up to version 1")
	var staleErr *connect.Error
	assert.Assert(t, errors.As(err, &staleErr))
	assert.Equal(t, len(staleErr.Details()), len(details))
	for i, detail := range staleErr.Details() {
		got, err := detail.Value()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, details[i]), "%v", got)
	}
}

func TestStatusListsReportOfNewestIncarnation(t *testing.T) {
	ledger := &fakeLedger{}
	client := startWithNewVoter(t, ledger, "v0")
	for _, incarnation := range []uint64{2, 1} {
		_, err := client.ReportUsage(context.Background(), connect.NewRequest(&controlwire.ReportUsageRequest{
			Counters: []*controlwire.UsageCounter{{Instance: "i", Incarnation: incarnation}},
			InForce:  &controlwire.InForce{Instance: "i", Incarnation: incarnation},
		}))
		assert.NilError(t, err)
	}
	// An instance is stale until a majority has responded to it once.
	_, err := client.Current(context.Background(), connect.NewRequest(&controlwire.CurrentRequest{}))
	assert.NilError(t, err)
	status, err := client.Status(context.Background(), connect.NewRequest(&controlwire.StatusRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(status.Msg.GetInForce()), 1)
	assert.Equal(t, status.Msg.GetInForce()[0].GetIncarnation(), uint64(2))
	assert.Assert(t, status.Msg.GetInForce()[0].GetReportedUnixMs() > 0)
	assert.Assert(t, status.Msg.GetVoting())
	usage, err := client.Usage(context.Background(), connect.NewRequest(&controlwire.UsageRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(usage.Msg.GetCounters()), 1)
}

// TestResponsesSentAtOnceAreBoundedInBytes guards against as many large responses at once as there are processes behind.
func TestResponsesSentAtOnceAreBoundedInBytes(t *testing.T) {
	for name, call := range map[string]func(context.Context, *controller.Controller) error{
		"Fetch": func(ctx context.Context, c *controller.Controller) error {
			_, err := c.Fetch(ctx, connect.NewRequest(&controlwire.FetchRequest{}))
			return err
		},
		"Current": func(ctx context.Context, c *controller.Controller) error {
			_, err := c.Current(ctx, connect.NewRequest(&controlwire.CurrentRequest{}))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := controller.New(newVoter(t, "v0"), fakeChecker{}, &fakeLedger{}, nil, 1)
			ctx, sent := context.WithCancel(context.Background())
			assert.NilError(t, call(ctx, c))
			assertCode(t, call(context.Background(), c), connect.CodeResourceExhausted)
			sent()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if err := call(context.Background(), c); err != nil {
					return poll.Continue("refused: %v", err)
				}
				return poll.Success()
			})
		})
	}
}
