package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/pacer"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	entryAddress          = "192.0.2.1:80"
	firstNodeAddress      = "192.0.2.2:80" // Picked first.
	secondNodeAddress     = "192.0.2.3:80"
	firstUpstreamAddress  = "127.0.0.2:80"
	secondUpstreamAddress = "127.0.0.3:80"

	responseSize = 8 << 10
	deadline     = 5 * time.Second
	// nodeAge is how long ago the entry node started.
	nodeAge = time.Minute
)

// fleet is an entry node and two serving nodes with an upstream each.
type fleet struct {
	network *network
	spec    compiler.ServiceSpec
	// upstreamHandler handles the requests at both upstreams; run counts them from 1. By
	// default it responds with responseSize bytes.
	upstreamHandler func(w http.ResponseWriter, r *http.Request, run int64)
	// admissionErr is the error of the first serving node's admitter.
	admissionErr error
	instances    []*registrar.Instance
	// localUpstream makes the entry node serve the first upstream in process.
	localUpstream bool
	// local replaces the first serving node in process, if not nil.
	local forwarder.LocalServer
	// starting makes the entry node one that has just started and knows nothing yet. By
	// default it started some time ago.
	starting bool
	// rateLimited makes the picker report that all upstreams advertise rate limits.
	rateLimited bool
	// keys makes the entry node store idempotency keys, if not nil.
	keys *deduplicator.Deduplicator
	// configuration replaces that of spec, if not nil.
	configuration *compiler.Configuration
	// quota and headers are those of the entry node.
	quota   forwarder.Quota
	headers forwarder.OrganisationHeaders
	// link schedules the large request bodies of the entry node, if not nil.
	link forwarder.Link
	// logs receives the log lines of the entry node, if not nil.
	logs io.Writer
	// unreadBody lets upstreams respond before they have read the body.
	unreadBody bool

	runs            atomic.Int64
	retriedRequests atomic.Int64
	publisher       *publisher.Publisher
	entryPublisher  *publisher.Publisher // Provides the entry node's snapshots.
	explainer       *explainer.Explainer
	servers         []*server.Server
	entry           *forwarder.Forwarder
	closers         []io.Closer
}

func newFleet() *fleet {
	f := &fleet{network: &network{listeners: make(map[string]*listener)}, publisher: publisher.New(), explainer: explainer.New(16)}
	f.spec = compiler.DefaultServiceSpec("almacen")
	f.spec.Timeout = deadline
	f.spec.HedgeAfter = 0 // Tests of hedging set it.
	f.upstreamHandler = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Write(bytes.Repeat([]byte("x"), responseSize)) //nolint:errcheck // May fail by the injected fault.
	}
	for i, address := range []string{firstNodeAddress, secondNodeAddress} {
		f.instances = append(f.instances, registrar.NewInstance(registrar.Spec{
			ID: "almacen-" + strconv.Itoa(i+1), State: registrar.StateReady, Service: "almacen", HTTP: netip.MustParseAddrPort(address),
		}))
	}
	return f
}

// run starts the fleet in a synctest bubble, and closes it after the test.
func (f *fleet) run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		if f.configuration == nil {
			f.configuration = compiler.NewConfiguration(1, "oaxaca", []*compiler.Service{compiler.NewService(f.spec)})
		}
		f.publisher.SetConfiguration(f.configuration)
		f.publisher.SetView(registrar.NewView(f.instances))
		f.entryPublisher = f.publisher
		if f.starting {
			f.entryPublisher = publisher.New()
		}
		f.startNode("almacen-1", firstNodeAddress, firstUpstreamAddress, f.admissionErr)
		f.startNode("almacen-2", secondNodeAddress, secondUpstreamAddress, nil)
		cfg := forwarder.Config{
			Instance: "vitrina-1", Snapshots: f.entryPublisher, Picker: firstPicker{f.rateLimited}, Observer: noopObserver{}, Requester: f.newPool(),
			Explainer: f.explainer, Scope: tally.NoopScope, Log: zerolog.Nop(), Quota: f.quota, Headers: f.headers,
		}
		if f.keys != nil {
			cfg.Keys = f.keys
		}
		cfg.Link = f.link
		if f.logs != nil {
			cfg.Log = zerolog.New(f.logs)
		}
		if f.localUpstream {
			cfg.Instance = "almacen-1"
			cfg.Local = f.servers[0]
		}
		if f.local != nil {
			cfg.Instance = "almacen-1"
			cfg.Local = f.local
		}
		f.entry = forwarder.New(cfg)
		if !f.starting {
			time.Sleep(nodeAge)
		}
		f.listen(entryAddress, f.entry)
		defer func() {
			for _, c := range f.closers {
				c.Close()
			}
			time.Sleep(time.Second) // net/http closes some connections 500 ms later.
		}()
		test(t)
	})
}

// startNode starts a serving node and its upstream.
func (f *fleet) startNode(id, nodeAddress, upstreamAddress string, admissionErr error) {
	s := server.New(server.Config{
		Link:     pacer.New(0),
		Instance: id, Service: "almacen", Upstream: netip.MustParseAddrPort(upstreamAddress),
		Requester: f.newPool(), Admitter: fakeAdmitter{admissionErr, &f.retriedRequests}, Snapshots: f.publisher, Scope: tally.NoopScope,
	})
	f.servers = append(f.servers, s)
	f.listen(nodeAddress, s)
	f.listen(upstreamAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run := f.runs.Add(1)
		if f.unreadBody {
			f.upstreamHandler(w, r, run)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			f.upstreamHandler(w, r, run)
		}
	}))
}

func (f *fleet) newPool() *requester.Pool {
	pool := requester.New(requester.Config{Dialer: f.network})
	f.closers = append(f.closers, pool)
	return pool
}

func (f *fleet) listen(address string, handler http.Handler) {
	s := &http.Server{Handler: handler}
	l := f.network.listen(address)
	go s.Serve(l) //nolint:errcheck // Ends when the server is closed.
	f.closers = append(f.closers, s)
}

// call sends a request to the entry node and returns the response and its body.
func (f *fleet) call(ctx context.Context, req *http.Request) (*http.Response, string, error) {
	return f.callAt(ctx, netip.MustParseAddrPort(entryAddress), req)
}

// callAt is like call, but sends the request to the given entry node.
func (f *fleet) callAt(ctx context.Context, entry netip.AddrPort, req *http.Request) (*http.Response, string, error) {
	resp, err := f.newPool().Do(ctx, entry, req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func request(method string) *http.Request {
	req, _ := http.NewRequest(method, "http://almacen.example/pedidos", nil)
	if method == http.MethodPost {
		const order = "12 litres of linseed oil"
		req.Body = requester.NewBytesBody([]byte(order))
		req.ContentLength = int64(len(order))
	}
	return req
}

func assertRefused(t *testing.T, resp *http.Response, err error, outcome classifier.Outcome, reason classifier.Reason) {
	t.Helper()
	assert.NilError(t, err)
	verdict := classifier.FromResponse(resp, nil)
	assert.Equal(t, verdict.Reason(), reason)
	assert.Equal(t, verdict.Outcome(), outcome)
}

func assertResponse(t *testing.T, resp *http.Response, body string, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, classifier.FromResponse(resp, nil).Outcome(), classifier.Done)
	assert.Equal(t, body, strings.Repeat("x", responseSize))
}

// firstPicker picks the first untried instance.
type firstPicker struct{ rateLimited bool }

func (p firstPicker) Pick(q forwarder.Query) (forwarder.Choice, bool) {
	for _, in := range q.Instances {
		if in.State().Routable() && !strings.Contains(strings.Join(q.Exclude, " "), in.ID()) {
			return forwarder.Choice{Instance: in, RateLimited: p.rateLimited}, true
		}
	}
	return forwarder.Choice{}, false
}

type noopObserver struct{}

func (noopObserver) ObserveLoad(string, uint64, string, time.Time) {}
func (noopObserver) AttemptSent(string)                            {}
func (noopObserver) AttemptFinished(string, forwarder.Result)      {}

// fakeAdmitter admits all requests or refuses them with a fixed error. It counts retried
// requests.
type fakeAdmitter struct {
	refusal error
	retried *atomic.Int64
}

func (a fakeAdmitter) Admit(_ context.Context, req server.AdmissionRequest) (server.Permit, error) {
	if req.Retried {
		a.retried.Add(1)
	}
	return fakePermit{}, a.refusal
}
func (fakeAdmitter) Load() string { return "load" }
func (fakeAdmitter) Leave()       {}

type fakePermit struct{}

func (fakePermit) UnslowedLatency(latency time.Duration) (time.Duration, bool) { return latency, true }

func (fakePermit) Done(server.Result) {}

// refusalError is a server.AdmissionRefusal with a fixed reason.
type refusalError classifier.Reason

func (r refusalError) Error() string             { return string(r) }
func (r refusalError) Reason() classifier.Reason { return classifier.Reason(r) }
func (refusalError) RetryAfter() time.Duration   { return time.Second }
