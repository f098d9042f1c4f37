package voter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// Size of the document in the benchmarks, for which the product is designed.
const (
	benchServices       = 190
	benchKeys           = 12
	benchSites          = 2
	benchOverlayEntries = 2 // Entries of each service in each overlay.
)

// benchDocument returns a document of the size above. note is the value of the
// entry that changes.
func benchDocument(note string) *controlwire.Document {
	doc := &controlwire.Document{}
	add := func(layer string, service, key int, value string) {
		doc.Entries = append(doc.Entries, &controlwire.Entry{
			Layer: layer, Section: fmt.Sprintf("service service-%03d", service),
			Key: fmt.Sprintf("some-setting-%02d", key), Value: value,
		})
	}
	for s := range benchServices {
		for k := range benchKeys {
			add("", s, k, "1500ms")
		}
		for site := range benchSites {
			for k := range benchOverlayEntries {
				add(fmt.Sprintf("site-%d", site), s, k, "2500ms")
			}
		}
	}
	doc.Entries[0].Value = note
	return doc
}

// submitChange submits a change of one entry that replaces version n.
func submitChange(b testing.TB, v *voter.Voter, n uint64) {
	req := &controlwire.SubmitRequest{
		ChangeId: fmt.Sprintf("0123456789abcdef-%d", n), Operator: "ana", Message: "more slots",
		Replaces: n, Document: benchDocument(fmt.Sprint(n)),
	}
	resp, err := v.Submit(context.Background(), req)
	assert.NilError(b, err)
	assert.Equal(b, resp.GetVersion(), n+1)
}

// clientMeter counts the requests of an HTTP client and the bytes on its
// connections.
type clientMeter struct{ requests, bytes atomic.Int64 }

func (m *clientMeter) client() *http.Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &meteredConn{Conn: conn, meter: m}, err
	}}
	return &http.Client{Transport: &meteredRoundTripper{transport, m}}
}

type meteredRoundTripper struct {
	http.RoundTripper
	meter *clientMeter
}

func (t *meteredRoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	t.meter.requests.Add(1)
	return t.RoundTripper.RoundTrip(req)
}

type meteredConn struct {
	net.Conn
	meter *clientMeter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// BenchmarkSubmit measures a change of the document by three voters over TCP with
// journals in files.
func BenchmarkSubmit(b *testing.B) {
	var m clientMeter
	voters := startTCPVoters(b, journaler.OS{}, m.client())
	submitChange(b, voters[0], 0)
	requests, bytes := m.requests.Load(), m.bytes.Load()
	n := uint64(1)
	for b.Loop() {
		submitChange(b, voters[0], n)
		n++
	}
	b.ReportMetric(float64(m.requests.Load()-requests)/float64(n-1), "requests/op")
	b.ReportMetric(float64(m.bytes.Load()-bytes)/float64(n-1), "network-B/op")
}

// BenchmarkHeartbeats measures the traffic of three idle voters per second.
func BenchmarkHeartbeats(b *testing.B) {
	var m clientMeter
	voters := startTCPVoters(b, journaler.OS{}, m.client())
	submitChange(b, voters[0], 0)
	requests, bytes := m.requests.Load(), m.bytes.Load()
	n := 0
	for b.Loop() {
		time.Sleep(time.Second)
		n++
	}
	b.ReportMetric(float64(m.requests.Load()-requests)/float64(n), "requests/op")
	b.ReportMetric(float64(m.bytes.Load()-bytes)/float64(n), "network-B/op")
}

// BenchmarkCurrent measures a read that a majority confirms.
func BenchmarkCurrent(b *testing.B) {
	voters := startTCPVoters(b, journaler.OS{}, &http.Client{})
	submitChange(b, voters[0], 0)
	for b.Loop() {
		_, err := voters[0].Current(context.Background())
		assert.NilError(b, err)
	}
}

// countingJournal counts the synced appends to a journal and their bytes.
type countingJournal struct {
	voter.Journal
	bytes, syncs int64
}

func (j *countingJournal) Append(records ...[]byte) error {
	j.syncs++
	for _, r := range records {
		j.bytes += int64(len(r))
	}
	return j.Journal.Append(records...)
}

// openSingleVoter returns the only voter of a group, with its data in the given
// folder. The voter is not started.
func openSingleVoter(b testing.TB, folder string) (*voter.Voter, *journaler.Store, *countingJournal) {
	b.Helper()
	store, err := journaler.Open(journaler.OS{}, folder)
	assert.NilError(b, err)
	journal, err := store.OpenJournal("voter")
	assert.NilError(b, err)
	counting := &countingJournal{Journal: journal}
	v, err := voter.New(voter.Config{
		Address: "v0", InitialVoters: []string{"v0"}, Journal: counting, Digest: digest,
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	assert.NilError(b, err)
	return v, store, counting
}

// BenchmarkRecovery measures the time to restore the newest version from the data
// folder, for histories of different lengths.
func BenchmarkRecovery(b *testing.B) {
	for _, length := range []uint64{10, 100, 1000, 8100, 16384} {
		b.Run(fmt.Sprintf("changes=%d", length), func(b *testing.B) {
			folder := b.TempDir()
			v, store, _ := openSingleVoter(b, folder)
			v.Start()
			awaitGroup(b, v)
			for n := range length {
				submitChange(b, v, n)
			}
			assert.NilError(b, v.Stop())
			assert.NilError(b, store.Close())
			for b.Loop() {
				v, store, _ := openSingleVoter(b, folder)
				assert.Equal(b, v.Local().Version().GetDigest().GetNumber(), length)
				assert.NilError(b, store.Close())
			}
		})
	}
}

// BenchmarkBytesPerChange counts the syncs and bytes that a voter writes to disk
// per change, and the bytes of a snapshot.
func BenchmarkBytesPerChange(b *testing.B) {
	v, store, journal := openSingleVoter(b, b.TempDir())
	v.Start()
	awaitGroup(b, v)
	submitChange(b, v, 0)
	journal.bytes, journal.syncs = 0, 0
	n := uint64(1)
	for b.Loop() {
		submitChange(b, v, n)
		n++
	}
	b.ReportMetric(float64(journal.bytes)/float64(n-1), "disk-B/op")
	b.ReportMetric(float64(journal.syncs)/float64(n-1), "syncs/op")
	resp, err := v.Peer().FetchState(context.Background(), &voterwire.FetchStateRequest{})
	assert.NilError(b, err)
	b.ReportMetric(float64(proto.Size(resp)), "snapshot-B")
	assert.NilError(b, v.Stop())
	assert.NilError(b, store.Close())
}

// BenchmarkSnapshot measures encoding and decoding the state with the longest
// history.
func BenchmarkSnapshot(b *testing.B) {
	state := &voterwire.State{Version: &controlwire.Version{Document: benchDocument("1")}}
	for n := range uint64(16384) {
		state.History = append(state.History, &controlwire.HistoryEntry{
			Number: n + 1, ChangeId: fmt.Sprintf("0123456789abcdef-%d", n), Operator: "ana",
			Message: "more slots", AcceptedUnixMs: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli(),
		})
	}
	size := 0
	for b.Loop() {
		data, err := proto.Marshal(state)
		assert.NilError(b, err)
		assert.NilError(b, proto.Unmarshal(data, &voterwire.State{}))
		size = len(data)
	}
	b.ReportMetric(float64(size), "B")
}
