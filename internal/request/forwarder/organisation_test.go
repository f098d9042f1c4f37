package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/quotakeeper"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// organisationsBase is a configuration with an organisation and a public route.
const organisationsBase = `[owner talleres]
idle-rate = 0
currency = MXN
[service almacen]
owner = talleres
hosts = none
priority = high
[organisation gradas]
api-keys = k1
rank = 3
rate = 1
[route pedidos]
host = pedidos.example
services = almacen
kind = idempotent
rank = 0
[route abierta]
host = pedidos.example
path-prefix = /abierta
services = almacen
public = yes
`

// fakeQuota has room for a number of requests.
type fakeQuota struct {
	left int
	// validity is how long a ticket may be used, 0 for any time.
	validity time.Duration
	takenAt  time.Time
}

func (q *fakeQuota) Take(_ context.Context, o *compiler.Organisation) (quotakeeper.Ticket, time.Duration) {
	return q.TakeNow(o), time.Second
}

func (q *fakeQuota) TakeNow(*compiler.Organisation) quotakeeper.Ticket {
	if q.left == 0 {
		return quotakeeper.Ticket{}
	}
	q.left--
	q.takenAt = time.Now()
	return quotakeeper.NewTicket(time.Minute)
}

func (q *fakeQuota) Valid(quotakeeper.Ticket) bool {
	return q.validity == 0 || time.Since(q.takenAt) < q.validity
}

func (q *fakeQuota) Return(*compiler.Organisation, quotakeeper.Ticket) { q.left++ }

// organisationFleet returns a fleet with organisationsBase, and the headers of the last request
// that reached an upstream.
func organisationFleet(t *testing.T, q *fakeQuota) (*fleet, *http.Header) {
	t.Helper()
	f := newFleet()
	f.configuration = mustCompile(t, organisationsBase)
	f.quota = q
	f.headers = forwarder.OrganisationHeaders{APIKey: "X-Key", Organisation: "X-Organisation"}
	received := make(http.Header)
	f.upstreamHandler = func(w http.ResponseWriter, r *http.Request, _ int64) {
		received = r.Header.Clone()
		w.WriteHeader(http.StatusOK)
	}
	return f, &received
}

// request sends a request with the given headers, listed as names and values.
func (f *fleet) request(t *testing.T, path string, headers ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+entryAddress+path, http.NoBody)
	assert.NilError(t, err)
	req.Host = "pedidos.example"
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, _, err := f.call(t.Context(), req)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(classifier.HeaderReason)
}

func TestOrganisationIsIdentifiedByItsKey(t *testing.T) {
	for name, tc := range map[string]struct {
		path         string
		headers      []string
		status       int
		organisation string
	}{
		"key":                  {"/", []string{"X-Key", "k1"}, http.StatusOK, "gradas"},
		"no key":               {"/", nil, http.StatusOK, ""},
		"unknown key":          {"/", []string{"X-Key", "k2"}, http.StatusUnauthorized, ""},
		"empty key":            {"/", []string{"X-Key", ""}, http.StatusUnauthorized, ""},
		"key sent twice":       {"/", []string{"X-Key", "k1", "X-Key", "k1"}, http.StatusUnauthorized, ""},
		"public":               {"/abierta", []string{"X-Key", "k2"}, http.StatusOK, ""},
		"header of the caller": {"/", []string{"X-Organisation", "otra", classifier.HeaderOrganisation, "otra"}, http.StatusOK, ""},
		"both":                 {"/", []string{"X-Key", "k1", "X-Organisation", "otra", classifier.HeaderOrganisation, "otra"}, http.StatusOK, "gradas"},
	} {
		t.Run(name, func(t *testing.T) {
			f, received := organisationFleet(t, &fakeQuota{left: 1})
			f.run(t, func(t *testing.T) {
				status, _ := f.request(t, tc.path, tc.headers...)
				assert.Equal(t, status, tc.status)
				assert.Equal(t, received.Get(classifier.HeaderOrganisation), tc.organisation)
				for _, name := range []string{"X-Key", "X-Organisation", classifier.HeaderAPIKey} {
					assert.Equal(t, received.Get(name), "", "the upstream received %s", name)
				}
			})
		})
	}
}

func TestRankOfOrganisationReplacesThatOfRoute(t *testing.T) {
	f, received := organisationFleet(t, &fakeQuota{left: 1})
	f.run(t, func(t *testing.T) {
		f.request(t, "/")
		assert.Equal(t, received.Get(classifier.HeaderPriority), "high")
		f.request(t, "/", "X-Key", "k1")
		assert.Equal(t, received.Get(classifier.HeaderPriority), "low")
	})
}

func TestRequestsBeyondTheQuotaAreRefused(t *testing.T) {
	q := &fakeQuota{left: 1}
	f, _ := organisationFleet(t, q)
	f.run(t, func(t *testing.T) {
		status, _ := f.request(t, "/", "X-Key", "k1")
		assert.Equal(t, status, http.StatusOK)
		status, reason := f.request(t, "/", "X-Key", "k1")
		assert.Equal(t, status, http.StatusTooManyRequests)
		assert.Equal(t, reason, string(classifier.ReasonQuota))
		status, _ = f.request(t, "/")
		assert.Equal(t, status, http.StatusOK, "without an organisation")
	})
}

func TestRefusedRequestsAreReturnedToTheQuota(t *testing.T) {
	q := &fakeQuota{left: 1}
	f, _ := organisationFleet(t, q)
	f.instances = nil
	f.run(t, func(t *testing.T) {
		status, _ := f.request(t, "/", "X-Key", "k1")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, q.left, 1)
	})
}

// A caller that sends its body slowly, maybe many at once, must not run all requests for which it
// has got tokens in many windows in one of them.
func TestRequestWithASlowBodyIsCountedWhenItRuns(t *testing.T) {
	for left, want := range map[int]int{1: http.StatusTooManyRequests, 2: http.StatusOK} {
		q := &fakeQuota{left: left, validity: time.Second / 4}
		f, _ := organisationFleet(t, q)
		f.run(t, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/", &slowBody{left: 3, delay: time.Second / 5})
			assert.NilError(t, err)
			req.ContentLength = 3
			req.Host = "pedidos.example"
			req.Header.Set("X-Key", "k1")
			resp, _, err := f.call(t.Context(), req)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Check(t, resp.StatusCode == want, "status %d with room for %d", resp.StatusCode, left)
			assert.Equal(t, q.left, 0)
		})
	}
}

// slowBody is a body of some bytes, before each of which it pauses.
type slowBody struct {
	left  int
	delay time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.delay)
	b.left--
	p[0] = 'x'
	return 1, nil
}

// failingHandler answers the first run of a request with an error of the server, and others well.
func failingHandler(w http.ResponseWriter, _ *http.Request, run int64) {
	if run == 1 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// A retry after an attempt that may have run counts as a further request.
func TestRetriesAreTakenFromTheQuota(t *testing.T) {
	for name, tc := range map[string]struct{ left, status, runs, leftAfter int }{
		"room":    {3, http.StatusOK, 2, 1},
		"no room": {1, http.StatusServiceUnavailable, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			q := &fakeQuota{left: tc.left}
			f, _ := organisationFleet(t, q)
			f.upstreamHandler = failingHandler
			f.run(t, func(t *testing.T) {
				status, _ := f.request(t, "/", "X-Key", "k1")
				assert.Equal(t, status, tc.status)
				assert.Equal(t, int(f.runs.Load()), tc.runs)
				assert.Equal(t, q.left, tc.leftAfter)
			})
		})
	}
}

// hedgingBase is a configuration with an organisation and a service that hedges.
const hedgingBase = `[owner talleres]
idle-rate = 0
currency = MXN
[service almacen]
owner = talleres
hosts = pedidos.example
hedge-after = 50ms
retry-percent = 100%
[organisation gradas]
api-keys = k1
rate = 1
`

func mustCompile(t *testing.T, base string) *compiler.Configuration {
	t.Helper()
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(base)}})
	assert.NilError(t, err)
	cfg, err := compiler.Compile(doc, "oaxaca", 2)
	assert.NilError(t, err)
	return cfg
}

// slowHandler answers the first run of a request late.
func slowHandler(w http.ResponseWriter, _ *http.Request, run int64) {
	if run == 1 {
		time.Sleep(500 * time.Millisecond)
	}
	w.WriteHeader(http.StatusOK)
}

// A hedge counts as a further request, and is not sent if there is no room.
func TestHedgesAreTakenFromTheQuota(t *testing.T) {
	for name, tc := range map[string]struct{ left, runs int }{"room": {2, 2}, "no room": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			q := &fakeQuota{left: tc.left}
			f, _ := organisationFleet(t, q)
			f.upstreamHandler = slowHandler
			f.configuration = mustCompile(t, hedgingBase)
			f.run(t, func(t *testing.T) {
				status, _ := f.request(t, "/", "X-Key", "k1")
				time.Sleep(time.Second) // Until the slow run has ended.
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, int(f.runs.Load()), tc.runs)
				assert.Equal(t, q.left, 0)
			})
		})
	}
}
