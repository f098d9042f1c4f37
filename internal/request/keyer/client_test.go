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

func TestClient(t *testing.T) {
	k := keyer.New(keyer.Config{Instance: "kwishyura-0", Started: 7, MaxKeys: 1, MaxBytes: 1 << 10})
	s := httptest.NewServer(k.Handler(func() time.Duration { return retention }))
	defer s.Close()
	peer := netip.MustParseAddrPort(s.Listener.Addr().String())
	client := keyer.NewClient(s.Client())
	record := keyer.Record{
		Key: "a", Fingerprint: keyer.NewFingerprint("POST", "/pay", []byte("1000")), State: keyer.StateDone,
		Answer:  &keyer.Answer{Status: 201, Header: http.Header{"Etag": {`"1"`}}, Body: []byte("paid")},
		Expires: time.Now().Add(time.Hour),
	}
	transfer := keyer.TransferRequest{From: "kwishyura-1", Incarnation: 3, Records: []keyer.Record{record}}

	assert.NilError(t, client.Transfer(t.Context(), peer, transfer))
	resp, err := client.Claim(t.Context(), peer, keyer.ClaimRequest{Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Started, uint64(7))
	assert.Equal(t, resp.Record.State, keyer.StateDone)
	assert.DeepEqual(t, resp.Record.Answer, record.Answer)
	run, answer, err := begin(k, "a", "1000")
	assertRepeated(t, run, answer, err)
	_, _, err = begin(k, "a", "2000")
	assertRefused(t, err, classifier.ReasonKeyMismatch)

	transfer.Records[0].Key = "one too many"
	assert.ErrorContains(t, client.Transfer(t.Context(), peer, transfer), "507")
	resp, err = client.Claim(t.Context(), peer, keyer.ClaimRequest{Key: "cannot be kept from running"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Record.State, keyer.StateUnknown)
}

// transfers records what is handed over.
type transfers struct{ requests []keyer.TransferRequest }

func (*transfers) Claim(context.Context, netip.AddrPort, keyer.ClaimRequest) (keyer.ClaimResponse, error) {
	return keyer.ClaimResponse{}, nil
}

func (tr *transfers) Transfer(_ context.Context, _ netip.AddrPort, req keyer.TransferRequest) error {
	tr.requests = append(tr.requests, req)
	return nil
}

func TestLargeHandOver(t *testing.T) {
	const records = 12_000
	var sent transfers
	k := keyer.New(keyer.Config{Instance: "kwishyura-0", Started: 7, Client: &sent, MaxKeys: records})
	var taken keyer.TransferRequest
	for i := range records {
		taken.Records = append(taken.Records, keyer.Record{Key: strconv.Itoa(i), State: keyer.StateDone, Expires: time.Now().Add(time.Hour)})
	}
	assert.NilError(t, k.Transfer(taken))
	next := registrar.NewInstance(registrar.Spec{ID: "kwishyura-1", State: registrar.StateReady})
	assert.NilError(t, k.HandOver(t.Context(), []*registrar.Instance{next}, retention))
	total := 0
	for i, req := range sent.requests {
		total += len(req.Records)
		assert.Equal(t, req.Incarnation > 0, i == len(sent.requests)-1, "message %d", i)
	}
	assert.Equal(t, total, records)
	assert.Equal(t, len(sent.requests), 3)
}
