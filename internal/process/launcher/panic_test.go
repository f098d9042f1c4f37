package launcher

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
)

// panickingRequester is a server.Requester that panics for the first requests.
type panickingRequester struct{ panics int }

// DoLimited implements server.Requester.
func (r *panickingRequester) DoLimited(context.Context, netip.AddrPort, *http.Request, requester.Limits) (*http.Response, error) {
	if r.panics > 0 {
		r.panics--
		panic("cannot handle this")
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// TestPanicsDoNotUseUpSlots guards against a request that hangs each node that serves it, since its panics keep the slots of the upstream.
func TestPanicsDoNotUseUpSlots(t *testing.T) {
	n := newTestNode(t, "vitrina-1", "vitrina", netip.MustParseAddrPort("127.0.0.1:9"))
	const slots = 2
	n.assembleAdmitter(zerolog.Nop(), n.service().Spec())
	n.admitter.Update(slots, slots, 0, 0)
	n.assembleServer(zerolog.Nop(), &panickingRequester{panics: 2 * slots})
	for range 2 * slots {
		func() {
			defer func() { assert.Check(t, recover() != nil, "no panic") }()
			_ = sendRequest(n, "1")
		}()
	}
	assert.NilError(t, sendRequest(n, "2"))
	assert.Equal(t, n.server.InFlight(), 0)
}
