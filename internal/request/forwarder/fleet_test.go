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

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/pacer"
	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	entryAddress   = "192.0.2.1:80"
	nodeAddress    = "192.0.2.2:80" // Picked first.
	otherAddress   = "192.0.2.3:80"
	targetAddress  = "127.0.0.2:80"
	anotherAddress = "127.0.0.3:80"

	answerSize = 8 << 10
	deadline   = 5 * time.Second
)

// fleet is an entry node and two serving nodes with an upstream each.
type fleet struct {
	network *network
	spec    compiler.ServiceSpec
	// handle is what both upstreams do; by default they answer with answerSize bytes.
	handle func(w http.ResponseWriter, r *http.Request, run int64)
	// refusal is what the first serving node's admission says.
	refusal   error
	instances []*registrar.Instance
	// local makes the entry node serve the first instance's upstream itself.
	local bool
	// keys makes the entry node the home of all keys, if it is not nil.
	keys *keyer.Keyer

	runs      atomic.Int64
	retried   atomic.Int64
	publisher *publisher.Publisher
	explainer *explainer.Explainer
	servers   []*server.Server
	entry     *forwarder.Forwarder
	closers   []io.Closer
}

func newFleet() *fleet {
	f := &fleet{network: &network{listeners: make(map[string]*listener)}, publisher: publisher.New(), explainer: explainer.New(16)}
	f.spec = compiler.DefaultServiceSpec("almacen")
	f.spec.Timeout = deadline
	f.spec.HedgeAfter = 0 // Tests of hedges set it.
	f.handle = func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Write(bytes.Repeat([]byte("x"), answerSize)) //nolint:errcheck // The fault under test may break it.
	}
	for i, address := range []string{nodeAddress, otherAddress} {
		f.instances = append(f.instances, registrar.NewInstance(registrar.Spec{
			ID: "almacen-" + strconv.Itoa(i+1), State: registrar.StateReady, Service: "almacen", HTTP: netip.MustParseAddrPort(address),
		}))
	}
	return f
}

// run starts the fleet in a bubble of fake time, and ends it after the test.
func (f *fleet) run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.publisher.SetConfiguration(compiler.NewConfiguration(1, "oaxaca", []*compiler.Service{compiler.NewService(f.spec)}))
		f.publisher.SetView(registrar.NewView(f.instances))
		f.serve("almacen-1", nodeAddress, targetAddress, f.refusal)
		f.serve("almacen-2", otherAddress, anotherAddress, nil)
		cfg := forwarder.Config{
			Instance: "vitrina-1", Snapshots: f.publisher, Picker: firstPicker{}, Observer: observer{}, Requester: f.pool(),
			Explainer: f.explainer, Scope: tally.NoopScope, Log: zerolog.Nop(),
		}
		if f.keys != nil {
			cfg.Keys = f.keys
		}
		if f.local {
			cfg.Instance = "almacen-1"
			cfg.Local = f.servers[0]
		}
		f.entry = forwarder.New(cfg)
		f.listen(entryAddress, f.entry)
		defer func() {
			for _, c := range f.closers {
				c.Close()
			}
		}()
		test(t)
	})
}

func (f *fleet) serve(id, nodeAddress, targetAddress string, refusal error) {
	s := server.New(server.Config{
		Link:     pacer.New(0),
		Instance: id, Service: "almacen", Upstream: netip.MustParseAddrPort(targetAddress),
		Requester: f.pool(), Admitter: admitter{refusal, &f.retried}, Snapshots: f.publisher, Scope: tally.NoopScope,
	})
	f.servers = append(f.servers, s)
	f.listen(nodeAddress, s)
	f.listen(targetAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run := f.runs.Add(1)
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			f.handle(w, r, run)
		}
	}))
}

func (f *fleet) pool() *requester.Pool {
	pool := requester.New(requester.Config{Dialer: f.network})
	f.closers = append(f.closers, pool)
	return pool
}

func (f *fleet) listen(address string, handler http.Handler) {
	s := &http.Server{Handler: handler}
	l := f.network.listen(address)
	go s.Serve(l) //nolint:errcheck // Ends with the server.
	f.closers = append(f.closers, s)
}

// call sends a request to the entry node and returns the answer with its whole body.
func (f *fleet) call(ctx context.Context, req *http.Request) (*http.Response, string, error) {
	return f.callAt(ctx, netip.MustParseAddrPort(entryAddress), req)
}

// callAt does what call does at another node.
func (f *fleet) callAt(ctx context.Context, entry netip.AddrPort, req *http.Request) (*http.Response, string, error) {
	resp, err := f.pool().Do(ctx, entry, req)
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

func assertAnswered(t *testing.T, resp *http.Response, body string, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, classifier.FromResponse(resp, nil).Outcome(), classifier.Done)
	assert.Equal(t, body, strings.Repeat("x", answerSize))
}

// firstPicker picks the first instance that was not tried.
type firstPicker struct{}

func (firstPicker) Pick(q forwarder.Query) (forwarder.Choice, bool) {
	for _, in := range q.Instances {
		if in.State().Routable() && !strings.Contains(strings.Join(q.Exclude, " "), in.ID()) {
			return forwarder.Choice{Instance: in}, true
		}
	}
	return forwarder.Choice{}, false
}

type observer struct{}

func (observer) Observe(string, uint64, string, time.Time) {}
func (observer) Sent(string)                               {}
func (observer) Finished(string, forwarder.Result)         {}

// admitter refuses with an error if it has one, and counts retried requests.
type admitter struct {
	refusal error
	retried *atomic.Int64
}

func (a admitter) Admit(_ context.Context, work server.Work) (server.Permit, error) {
	if work.Retried {
		a.retried.Add(1)
	}
	return permit{}, a.refusal
}
func (admitter) Load() string { return "load" }
func (admitter) Leave()       {}

type permit struct{}

func (permit) Work(latency time.Duration) (time.Duration, bool) { return latency, true }

func (permit) Done(server.Result) {}

// admissionRefusal is what an admitter refuses with.
type admissionRefusal classifier.Reason

func (r admissionRefusal) Error() string             { return string(r) }
func (r admissionRefusal) Reason() classifier.Reason { return classifier.Reason(r) }
func (admissionRefusal) RetryAfter() time.Duration   { return time.Second }
