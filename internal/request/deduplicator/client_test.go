package deduplicator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func TestClientClaimsAndTransfers(t *testing.T) {
	d := deduplicator.New(deduplicator.Config{Instance: "kwishyura-0", StartIncarnation: 7, MaxKeys: 1, MaxBytes: 1 << 10})
	s := httptest.NewServer(d.Handler(func() time.Duration { return retention }))
	defer s.Close()
	peer := netip.MustParseAddrPort(s.Listener.Addr().String())
	client := deduplicator.NewClient(s.Client())
	record := deduplicator.Record{
		Key: "a", Fingerprint: deduplicator.NewFingerprint("POST", "/pay", []byte("1000")), State: deduplicator.StateDone,
		Response: &deduplicator.Response{Status: 201, Header: http.Header{"Etag": {`"1"`}}, Body: []byte("paid")},
		Expires:  time.Now().Add(time.Hour),
	}
	transfer := deduplicator.TransferRequest{From: "kwishyura-1", Incarnation: 3, Records: []deduplicator.Record{record}}

	assert.NilError(t, client.Transfer(t.Context(), peer, transfer))
	claim, err := client.Claim(t.Context(), peer, deduplicator.ClaimRequest{Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, claim.StartIncarnation, uint64(7))
	assert.Equal(t, claim.Record.State, deduplicator.StateDone)
	assert.DeepEqual(t, claim.Record.Response, record.Response)
	run, resp, err := begin(d, "a", "1000")
	assertReplayed(t, run, resp, err)
	_, _, err = begin(d, "a", "2000")
	assertRefused(t, err, classifier.ReasonKeyMismatch)

	transfer.Records[0].Key = "over the limit"
	assert.ErrorContains(t, client.Transfer(t.Context(), peer, transfer), "507")
	claim, err = client.Claim(t.Context(), peer, deduplicator.ClaimRequest{Key: "not storable"})
	assert.NilError(t, err)
	assert.Equal(t, claim.Record.State, deduplicator.StateUnknown)
}

// transferRecorder is a client that records transfer requests.
type transferRecorder struct {
	requests []deduplicator.TransferRequest
}

func (*transferRecorder) Claim(context.Context, netip.AddrPort, deduplicator.ClaimRequest) (deduplicator.ClaimResponse, error) {
	return deduplicator.ClaimResponse{}, nil
}

func (r *transferRecorder) Transfer(_ context.Context, _ netip.AddrPort, req deduplicator.TransferRequest) error {
	r.requests = append(r.requests, req)
	return nil
}

func TestLargeHandOverIsSplit(t *testing.T) {
	const records = 12_000
	var recorder transferRecorder
	d := deduplicator.New(deduplicator.Config{Instance: "kwishyura-0", StartIncarnation: 7, Client: &recorder, MaxKeys: records})
	var received deduplicator.TransferRequest
	for i := range records {
		received.Records = append(received.Records, deduplicator.Record{Key: strconv.Itoa(i), State: deduplicator.StateDone, Expires: time.Now().Add(time.Hour)})
	}
	assert.NilError(t, d.Transfer(received))
	next := registrar.NewInstance(registrar.Spec{ID: "kwishyura-1", State: registrar.StateReady})
	assert.NilError(t, d.HandOver(t.Context(), []*registrar.Instance{next}, retention))
	total := 0
	for i, req := range recorder.requests {
		total += len(req.Records)
		assert.Equal(t, req.Incarnation > 0, i == len(recorder.requests)-1, "message %d", i)
	}
	assert.Equal(t, total, records)
	assert.Equal(t, len(recorder.requests), 3)
}
