package deduplicator

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// TestOddRecordOfAnotherInstanceEnds guards against a record that is never removed and keeps all later ones, so that
// no key has room any more, or whose response cannot be written.
func TestOddRecordOfAnotherInstanceEnds(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"expires in 80 years":      func(r *Record) { r.Expires = r.Expires.AddDate(80, 0, 0) },
		"status 0":                 func(r *Record) { r.Response.Status = 0 },
		"negative status":          func(r *Record) { r.Response.Status = -200 },
		"informational status":     func(r *Record) { r.Response.Status = http.StatusSwitchingProtocols },
		"status beyond 999":        func(r *Record) { r.Response.Status = math.MaxInt32 },
		"unknown state":            func(r *Record) { r.State = "odd" },
		"response without a run":   func(r *Record) { r.State = StateUnknown },
		"no key":                   func(r *Record) { r.Key = "" },
		"key longer than a header": func(r *Record) { r.Key = strings.Repeat("k", 2<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(Config{Instance: "a", MaxKeys: 100, MaxBytes: 1 << 20})
				sound := Record{Key: "sound", State: StateDone, Response: &Response{Status: 200}, Expires: time.Now().Add(time.Hour)}
				odd := Record{Key: "odd", State: StateDone, Response: &Response{Status: 200}, Expires: time.Now().Add(time.Hour)}
				change(&odd)
				assert.NilError(t, d.Transfer(TransferRequest{From: "b", Records: []Record{odd, sound}}))
				assert.Equal(t, d.store.byKey["sound"].Response.Status, 200)
				if odd.Key == "odd" {
					run, resp, err := d.Begin(t.Context(), Request{Key: "odd", Retention: time.Hour})
					assert.Assert(t, run == nil, "a key that may have run runs")
					assert.Assert(t, err != nil || resp.Status == 200)
				}
				time.Sleep(25 * time.Hour)
				d.store.expire(time.Now())
				assert.Equal(t, len(d.store.byKey), 0)
			})
		})
	}
}

// otherKeyClient returns a record of another key than it was asked for.
type otherKeyClient struct{ Client }

func (otherKeyClient) Claim(context.Context, netip.AddrPort, ClaimRequest) (ClaimResponse, error) {
	return ClaimResponse{Record: Record{Key: "other", State: StateUnknown, Expires: time.Now().AddDate(80, 0, 0)}}, nil
}

// TestClaimedRecordOfAnotherKeyEnds guards against a key that counts as running for good.
func TestClaimedRecordOfAnotherKeyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Instance: "a", MaxKeys: 100, MaxBytes: 1 << 20, Client: otherKeyClient{}})
		former := registrar.NewInstance(registrar.Spec{ID: "b", Incarnation: 1, State: registrar.StateReady, Service: "vitrina"})
		d.Observe([]*registrar.Instance{former}, time.Hour)
		time.Sleep(2 * time.Hour)
		_, _, err := d.Begin(t.Context(), Request{Key: "k", Retention: time.Hour})
		assert.Assert(t, err != nil)
		time.Sleep(25 * time.Hour)
		d.store.expire(time.Now())
		assert.Equal(t, len(d.store.byKey), 0)
	})
}

// TestImpossibleIncarnationHandsNothingOver guards against a message that makes an instance count as one that has
// handed over its keys in each later incarnation, so that a key runs twice.
func TestImpossibleIncarnationHandsNothingOver(t *testing.T) {
	d := New(Config{Instance: "a", MaxKeys: 100, MaxBytes: 1 << 20})
	assert.ErrorIs(t, d.Transfer(TransferRequest{From: "b", Incarnation: math.MaxUint64}), errImpossible)
	assert.Equal(t, d.handedOver["b"], uint64(0))
}
