package keyer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func TestClientClaimsAndTransfers(t *testing.T) {
	k := keyer.New(keyer.Config{Instance: "kwishyura-0", StartIncarnation: 7, MaxKeys: 1, MaxBytes: 1 << 10})
	s := httptest.NewServer(k.Handler(func() time.Duration { return retention }))
	defer s.Close()
	peer := netip.MustParseAddrPort(s.Listener.Addr().String())
	client := keyer.NewClient(s.Client())
	record := keyer.Record{
		Key: "a", Fingerprint: keyer.NewFingerprint("POST", "/pay", []byte("1000")), State: keyer.StateDone,
		Response: &keyer.Response{Status: 201, Header: http.Header{"Etag": {`"1"`}}, Body: []byte("paid")},
		Expires:  time.Now().Add(time.Hour),
	}
	transfer := keyer.TransferRequest{From: "kwishyura-1", Incarnation: 3, Records: []keyer.Record{record}}

	assert.NilError(t, client.Transfer(t.Context(), peer, transfer))
	claim, err := client.Claim(t.Context(), peer, keyer.ClaimRequest{Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, claim.StartIncarnation, uint64(7))
	assert.Equal(t, claim.Record.State, keyer.StateDone)
	assert.DeepEqual(t, claim.Record.Response, record.Response)
	run, resp, err := begin(k, "a", "1000")
	assertReplayed(t, run, resp, err)
	_, _, err = begin(k, "a", "2000")
	assertRefused(t, err, classifier.ReasonKeyMismatch)

	transfer.Records[0].Key = "over the limit"
	assert.ErrorContains(t, client.Transfer(t.Context(), peer, transfer), "507")
	claim, err = client.Claim(t.Context(), peer, keyer.ClaimRequest{Key: "not storable"})
	assert.NilError(t, err)
	assert.Equal(t, claim.Record.State, keyer.StateUnknown)
}

// transferRecorder is a client that records transfer requests.
type transferRecorder struct{ requests []keyer.TransferRequest }

func (*transferRecorder) Claim(context.Context, netip.AddrPort, keyer.ClaimRequest) (keyer.ClaimResponse, error) {
	return keyer.ClaimResponse{}, nil
}

func (r *transferRecorder) Transfer(_ context.Context, _ netip.AddrPort, req keyer.TransferRequest) error {
	r.requests = append(r.requests, req)
	return nil
}

func TestLargeHandOverIsSplit(t *testing.T) {
	const records = 12_000
	var recorder transferRecorder
	k := keyer.New(keyer.Config{Instance: "kwishyura-0", StartIncarnation: 7, Client: &recorder, MaxKeys: records})
	var received keyer.TransferRequest
	for i := range records {
		received.Records = append(received.Records, keyer.Record{Key: strconv.Itoa(i), State: keyer.StateDone, Expires: time.Now().Add(time.Hour)})
	}
	assert.NilError(t, k.Transfer(received))
	next := registrar.NewInstance(registrar.Spec{ID: "kwishyura-1", State: registrar.StateReady})
	assert.NilError(t, k.HandOver(t.Context(), []*registrar.Instance{next}, retention))
	total := 0
	for i, req := range recorder.requests {
		total += len(req.Records)
		assert.Equal(t, req.Incarnation > 0, i == len(recorder.requests)-1, "message %d", i)
	}
	assert.Equal(t, total, records)
	assert.Equal(t, len(recorder.requests), 3)
}
