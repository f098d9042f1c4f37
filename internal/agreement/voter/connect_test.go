package voter_test

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// digest replaces the compiler's digest of a document.
func digest(doc *controlwire.Document) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(doc)
	sum := sha256.Sum256(data)
	return sum[:]
}

// document returns a document of the given entries, each a section, a key and a
// value.
func document(entries ...string) *controlwire.Document {
	doc := &controlwire.Document{}
	for i := 0; i < len(entries); i += 3 {
		doc.Entries = append(doc.Entries, &controlwire.Entry{Section: entries[i], Key: entries[i+1], Value: entries[i+2]})
	}
	return doc
}

// unsyncedFS is a file system that does not wait for the disk: other programs may keep that busy for
// seconds, longer than a call between voters may take.
type unsyncedFS struct{ journaler.OS }

// unsyncedFile is a file of an unsyncedFS.
type unsyncedFile struct{ journaler.File }

func (unsyncedFile) Sync() error { return nil }

func (unsyncedFS) SyncFolder(string) error { return nil }

func (fs unsyncedFS) Create(path string) (journaler.File, error) {
	f, err := fs.OS.Create(path)
	return unsyncedFile{f}, err
}

func (fs unsyncedFS) OpenAppend(path string) (journaler.File, error) {
	f, err := fs.OS.OpenAppend(path)
	return unsyncedFile{f}, err
}

// startTCPVoters starts three voters that call each other over TCP with the given
// client and store their journals in files.
func startTCPVoters(t testing.TB, fs journaler.FS, client *http.Client) []*voter.Voter {
	t.Helper()
	const n = 3
	listeners := make([]net.Listener, n)
	addresses := make([]string, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i], addresses[i] = l, l.Addr().String()
	}
	voters := make([]*voter.Voter, n)
	for i := range n {
		store, err := journaler.Open(fs, t.TempDir())
		assert.NilError(t, err)
		journal, err := store.OpenJournal("voter")
		assert.NilError(t, err)
		v, err := voter.New(voter.Config{
			Address:       addresses[i],
			InitialVoters: addresses,
			Journal:       journal,
			Transport:     voter.NewConnectTransport(client),
			Digest:        digest,
			Log:           zerolog.Nop(),
			Scope:         tally.NoopScope,
		})
		assert.NilError(t, err)
		mux := http.NewServeMux()
		mux.Handle(v.Handler())
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listeners[i]) }()
		v.Start()
		t.Cleanup(func() {
			assert.NilError(t, v.Stop())
			assert.NilError(t, server.Close())
		})
		voters[i] = v
	}
	for _, v := range voters {
		awaitGroup(t, v)
	}
	return voters
}

func awaitGroup(t testing.TB, v *voter.Voter) {
	t.Helper()
	for {
		_, err := v.Current(context.Background())
		if err == nil {
			return
		}
		assert.Assert(t, errors.Is(err, voter.ErrNoGroup), err)
		time.Sleep(10 * time.Millisecond)
	}
}

func TestConnectedVoters(t *testing.T) {
	voters := startTCPVoters(t, unsyncedFS{}, &http.Client{})
	ctx := context.Background()
	first := &controlwire.SubmitRequest{ChangeId: "a", Operator: "ana", Document: document("service x", "slots", "3")}
	resp, err := voters[2].Submit(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, resp.GetVersion(), uint64(1))
	state, err := voters[1].Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, state.Version().GetDigest().GetNumber(), uint64(1))
	resp, err = voters[0].Submit(ctx, &controlwire.SubmitRequest{ChangeId: "b", Document: document("service x", "slots", "4")})
	assert.NilError(t, err)
	assert.Equal(t, resp.GetResult(), controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT)
	assert.Equal(t, resp.GetWinner().GetChangeId(), "a")
	again, err := voters[1].Submit(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, again.GetVersion(), uint64(1))
}
