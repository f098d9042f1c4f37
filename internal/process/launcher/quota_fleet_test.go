package launcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/voter"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/testbed/switcher"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// quotaControls are the peer addresses of the control instances.
	quotaControls = "198.51.100.1:7000, 198.51.100.2:7000, 198.51.100.3:7000"
	// quotaWindow, quotaOverage and quotaSlack are the settings' defaults.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// apiKey is the key of the organisation with a quota.
	apiKey = "k-gradas"
)

// quotaFleet is a service whose callers belong to organisations.
type quotaFleet struct {
	nodes    []*Node
	controls []*controlQuota
	network  *switcher.Switcher
	start    time.Time
	number   uint64 // Of the version in force.

	mu  sync.Mutex // Guards the field below.
	ran map[string][]time.Duration
}

// fixedElectorate is a group of voters that does not change.
type fixedElectorate struct{}

func (fixedElectorate) Electorate() voter.Electorate {
	return voter.NewElectorate(1, strings.Split(quotaControls, ", "))
}

func (fixedElectorate) AcceptedEpoch() uint64 { return 1 }

// quotaConfiguration returns a configuration with an organisation that has a quota.
func quotaConfiguration(t *testing.T, number uint64, key string, rate float64) *compiler.Configuration {
	t.Helper()
	text := fmt.Sprintf(`[owner tienda]
idle-rate = 0
currency = MXN
[service vitrina]
owner = tienda
hosts = vitrina.oax
[organisation gradas]
api-keys = %s
rate = %g
burst = 10
[organisation libre]
api-keys = k-libre
`, key, rate)
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(text)}})
	assert.NilError(t, err)
	cfg, err := compiler.Compile(doc, "s", number)
	assert.NilError(t, err)
	return cfg
}

// runQuotaFleet runs a test in fake time.
func runQuotaFleet(t *testing.T, size int, test func(t *testing.T, f *quotaFleet)) {
	t.Helper()
	f := &quotaFleet{ran: make(map[string][]time.Duration)}
	var instances []*registrar.Instance
	for i := range size {
		n := newTestNode(t, "vitrina-"+strconv.Itoa(i+1), "vitrina", netip.MustParseAddrPort("127.0.0.1:9"), "control-addresses = "+quotaControls)
		f.nodes = append(f.nodes, n)
		instances = append(instances, readyInstance(n))
	}
	settings := make([]*configurer.Control, 0, 3)
	for _, address := range parseAddresses(strings.Split(quotaControls, ", ")) {
		settings = append(settings, quotaControlSettings(t, address))
	}
	synctest.Test(t, func(t *testing.T) {
		f.start, f.network = time.Now(), switcher.New(1)
		view := registrar.NewView(instances)
		for _, s := range settings {
			f.controls = append(f.controls, newControlQuota(controlQuotaConfig{
				settings: s, voters: fixedElectorate{}, transport: f.network.Endpoint(s.PeerAddress()),
				view: func() *registrar.View { return view }, now: f.now, scope: tally.NoopScope, log: zerolog.Nop(),
			}))
		}
		for _, n := range f.nodes {
			f.startNode(t, n, view)
		}
		for _, c := range f.controls {
			c.start()
		}
		test(t, f)
		for _, n := range f.nodes {
			assert.Check(t, n.quotaKeeper.Stop())
		}
		for _, c := range f.controls {
			assert.Check(t, c.stop())
		}
		time.Sleep(time.Second) // Datagrams on their way.
	})
}

// startNode assembles the parts of a node that use time.
func (f *quotaFleet) startNode(t *testing.T, n *Node, view *registrar.View) {
	t.Helper()
	n.snapshots.SetView(view)
	n.assembleAdmitter(zerolog.Nop(), n.service().Spec())
	n.assembleServer(zerolog.Nop(), quotaUpstream{f})
	n.assembleQuota(zerolog.Nop(), f.network.Endpoint(n.settings.PeerAddress()), f.now)
	instancePicker, err := n.newPicker()
	assert.NilError(t, err)
	n.assembleForwarder(zerolog.Nop(), instancePicker, f)
	n.quotaKeeper.Start()
}

func quotaControlSettings(t *testing.T, address netip.AddrPort) *configurer.Control {
	t.Helper()
	text := fmt.Sprintf("[control]\ninstance = control\nsite = s\nregion = r\nfailure-domain = d\npeer-address = %s\ndata-folder = /unused\nvoters = %s\n", address, quotaControls)
	path := filepath.Join(t.TempDir(), "control.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	settings, err := configurer.LoadControl(path)
	assert.NilError(t, err)
	return settings
}

func (f *quotaFleet) now() time.Duration { return time.Since(f.start) + time.Hour }

// publish puts a configuration in force at all nodes, and its limits at the control instances.
func (f *quotaFleet) publish(t *testing.T, key string, rate float64) {
	t.Helper()
	f.number++
	cfg := quotaConfiguration(t, f.number+1, key, rate)
	for _, n := range f.nodes {
		n.publish(cfg)
	}
	for _, c := range f.controls {
		c.setLimits(cfg.Organisations())
	}
}

// quotaUpstream runs each request at once and notes its organisation.
type quotaUpstream struct{ fleet *quotaFleet }

// DoLimited implements server.Requester.
func (u quotaUpstream) DoLimited(_ context.Context, _ netip.AddrPort, req *http.Request, _ requester.Limits) (*http.Response, error) {
	f := u.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	name := req.Header.Get(classifier.HeaderOrganisation)
	f.ran[name] = append(f.ran[name], f.now())
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// DoLimited implements forwarder.Requester: it passes a request to the node at addr.
func (f *quotaFleet) DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, _ requester.Limits) (*http.Response, error) {
	w := httptest.NewRecorder()
	for _, n := range f.nodes {
		if n.settings.HTTPAddress() == addr {
			n.server.ServeHTTP(w, req.WithContext(ctx))
		}
	}
	return w.Result(), nil
}

// send sends a request with a key to a node.
func (f *quotaFleet) send(entry int, key string) *http.Response {
	r := httptest.NewRequest(http.MethodGet, "http://vitrina.oax/", http.NoBody)
	if key != "" {
		r.Header.Set(classifier.HeaderAPIKey, key)
	}
	r.Header.Set(classifier.HeaderTimeout, "3000")
	w := httptest.NewRecorder()
	f.nodes[entry].forwarder.ServeHTTP(w, r)
	return w.Result()
}

// load sends requests with a key to random nodes, and returns how many there were of each status.
func (f *quotaFleet) load(seed uint64, key string, perSecond float64, length time.Duration) map[int]int {
	random := rand.New(rand.NewPCG(1, seed))
	statuses := make(map[int]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		entry := random.IntN(len(f.nodes))
		wg.Go(func() {
			resp := f.send(entry, key)
			_, _ = io.Copy(io.Discard, resp.Body)
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	wg.Wait()
	return statuses
}

// mostIn returns the largest number of requests of an organisation that ran in one window that
// begins after the given time.
func (f *quotaFleet) mostIn(name string, after time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := f.ran[name]
	for len(ran) > 0 && ran[0] <= after {
		ran = ran[1:]
	}
	most, first := 0, 0
	for i, at := range ran {
		for ran[first] <= at-quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowedInWindow(rate, burst float64) int {
	return int((rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack)
}

func TestQuotaHoldsOverAllNodes(t *testing.T) {
	runQuotaFleet(t, 8, func(t *testing.T, f *quotaFleet) {
		f.publish(t, apiKey, 40)
		time.Sleep(3 * time.Second)
		statuses := f.load(1, apiKey, 12*40, 12*time.Second)
		assert.Assert(t, statuses[http.StatusOK] >= 12*40*95/100, "%v", statuses)
		assert.Assert(t, statuses[http.StatusTooManyRequests] > 0, "%v", statuses)
		assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], sum(statuses))
		most := f.mostIn("gradas", 0)
		assert.Assert(t, most <= allowedInWindow(40, 10), "%d in a window", most)
		unlimited := f.load(2, "k-libre", 300, 2*time.Second)
		assert.Equal(t, unlimited[http.StatusOK], sum(unlimited))
	})
}

func sum(counts map[int]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func TestRefusalsOfQuotasSayWhenThereIsRoom(t *testing.T) {
	runQuotaFleet(t, 2, func(t *testing.T, f *quotaFleet) {
		f.publish(t, apiKey, 0.5)
		time.Sleep(10 * time.Second)
		var refused *http.Response
		for range 60 {
			if resp := f.send(0, apiKey); resp.StatusCode == http.StatusTooManyRequests {
				refused = resp
			}
		}
		assert.Assert(t, refused != nil)
		assert.Equal(t, refused.Header.Get(classifier.HeaderOutcome), classifier.NotRun.String())
		assert.Equal(t, refused.Header.Get(classifier.HeaderReason), string(classifier.ReasonQuota))
		wait, err := strconv.Atoi(refused.Header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, wait >= 1 && wait <= 2, "%d s, but one request fits in each 2 s", wait)
		time.Sleep(time.Duration(wait) * time.Second)
		assert.Equal(t, f.send(0, apiKey).StatusCode, http.StatusOK, "there was no room after %d s", wait)
	})
}

func TestLowerLimitHoldsOneWindowLater(t *testing.T) {
	runQuotaFleet(t, 8, func(t *testing.T, f *quotaFleet) {
		f.publish(t, apiKey, 200)
		time.Sleep(3 * time.Second)
		f.load(1, apiKey, 400, 6*time.Second)
		f.publish(t, apiKey, 10)
		lowered := f.now()
		f.load(2, apiKey, 400, 15*time.Second)
		most := f.mostIn("gradas", lowered+quotaWindow)
		assert.Assert(t, most <= allowedInWindow(10, 10), "%d in a window", most)
		assert.Assert(t, most >= 10*4, "%d in a window", most)
	})
}

// A key that was withdrawn is refused by the next request, on whatever connection it comes.
func TestWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	runQuotaFleet(t, 2, func(t *testing.T, f *quotaFleet) {
		f.publish(t, apiKey, 100)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.send(0, apiKey).StatusCode, http.StatusOK)
		f.publish(t, apiKey+", k-new", 100)
		assert.Equal(t, f.send(0, apiKey).StatusCode, http.StatusOK)
		assert.Equal(t, f.send(0, "k-new").StatusCode, http.StatusOK)
		f.publish(t, "k-new", 100)
		assert.Equal(t, f.send(0, apiKey).StatusCode, http.StatusUnauthorized)
		assert.Equal(t, f.send(0, "k-new").StatusCode, http.StatusOK)
	})
}

// Without quotas, nothing is sent for them.
func TestNothingIsSentWithoutQuotas(t *testing.T) {
	runQuotaFleet(t, 2, func(t *testing.T, f *quotaFleet) {
		f.publish(t, apiKey, 0)
		time.Sleep(3 * time.Second)
		statuses := f.load(1, apiKey, 100, 3*time.Second)
		assert.Equal(t, statuses[http.StatusOK], sum(statuses))
		for _, n := range f.nodes {
			assert.Equal(t, f.network.Endpoint(n.settings.PeerAddress()).SentBytes(), 0)
		}
		for _, address := range parseAddresses(strings.Split(quotaControls, ", ")) {
			assert.Equal(t, f.network.Endpoint(address).SentBytes(), 0)
		}
	})
}
