package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const upstreamWork = 90 * time.Millisecond

// workingUpstream reads a request and responds after upstreamWork.
type workingUpstream struct{}

func (workingUpstream) DoLimited(_ context.Context, _ netip.AddrPort, req *http.Request, _ requester.Limits) (*http.Response, error) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	time.Sleep(upstreamWork)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// latencyAdmitter admits all requests and records the latency of the last one.
type latencyAdmitter struct{ latency time.Duration }

func (a *latencyAdmitter) Admit(context.Context, AdmissionRequest) (Permit, error) { return a, nil }
func (*latencyAdmitter) Load() string                                              { return "" }
func (*latencyAdmitter) Leave()                                                    {}
func (*latencyAdmitter) UnslowedLatency(latency time.Duration) (time.Duration, bool) {
	return latency, true
}
func (a *latencyAdmitter) Done(r Result) { a.latency = r.Latency }

// slowBody is a body that arrives over a slow link.
type slowBody struct{ io.Reader }

func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return b.Reader.Read(p[:min(len(p), 8<<10)])
}

func (slowBody) Close() error { return nil }

// TestTimeOnTheLinkIsNotWork guards against uploads whose upstream is taken for slow, and so gets less work, since their bodies take long on a link.
func TestTimeOnTheLinkIsNotWork(t *testing.T) {
	for name, body := range map[string]io.ReadCloser{
		"slow link": slowBody{strings.NewReader(strings.Repeat("x", 360_000))},
		"in memory": requester.NewBytesBody([]byte("order")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &latencyAdmitter{}
				s := New(Config{Requester: workingUpstream{}, Admitter: a, Snapshots: publisher.New(), Scope: tally.NoopScope})
				req := httptest.NewRequest(http.MethodPost, "http://almacen.example/planos", nil)
				req.Body = body
				resp, err := s.Exchange(t.Context(), req) //nolint:bodyclose // It is http.NoBody.
				assert.NilError(t, err)
				assert.Equal(t, resp.Header.Get(classifier.HeaderWork), "90")
				assert.Equal(t, a.latency, upstreamWork)
			})
		})
	}
}
