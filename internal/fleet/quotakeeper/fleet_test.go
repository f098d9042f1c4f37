package quotakeeper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/elector"
	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
	"github.com/banyanscale/banyanscale/internal/testbed/switcher"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
	// controls is the number of control instances.
	controls = 5
	// warmUp is the time until all parts have found each other.
	warmUp = 4 * time.Second
)

// fleet is a number of nodes and control instances over a network.
type fleet struct {
	start    time.Time
	network  *switcher.Switcher
	random   *rand.Rand
	controls []*control
	// frozenControl is the index of a frozen control instance.
	frozenControl int

	mu     sync.Mutex // Guards the fields below.
	nodes  []*Keeper
	limits map[grantor.OrganisationID]grantor.Limit
	ran    map[string][]time.Duration // When requests ran, by organisation.
}

// control is a control instance.
type control struct {
	elector *elector.Elector
	server  *grantor.Server
	stopped bool
}

func nodeAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:7000", i+1))
}

func controlAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.51.100.%d:7000", i+1))
}

// organisation returns an organisation with a quota.
func organisation(t *testing.T, name string, rate, burst float64) *compiler.Organisation {
	t.Helper()
	text := fmt.Sprintf("[owner tienda]\nidle-rate = 0\ncurrency = MXN\n[service almacen]\nowner = tienda\nhosts = none\n[organisation %s]\nrate = %g\nburst = %g\n", name, rate, burst)
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(text)}})
	assert.NilError(t, err)
	cfg, err := compiler.Compile(doc, "oaxaca", 1)
	assert.NilError(t, err)
	return cfg.Organisations().ByName(name)
}

// runFleet runs a test in fake time.
func runFleet(t *testing.T, seed uint64, size int, organisations []*compiler.Organisation, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			start: time.Now(), network: switcher.New(seed), random: rand.New(rand.NewPCG(5, seed)),
			limits: make(map[grantor.OrganisationID]grantor.Limit), ran: make(map[string][]time.Duration),
		}
		for _, o := range organisations {
			f.setLimit(o)
		}
		f.controls = make([]*control, controls)
		f.nodes = make([]*Keeper, size)
		for i := range f.controls {
			f.startControl(i)
		}
		for i := range f.nodes {
			f.startNode(i)
		}
		test(t, f)
		f.stop(t)
	})
}

func (f *fleet) now() time.Duration { return time.Since(f.start) + time.Hour }

func (f *fleet) setLimit(o *compiler.Organisation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[grantor.IDOf(o.Name())] = grantor.Limit{Rate: o.Rate(), Burst: o.Burst()}
}

func (f *fleet) limit(id grantor.OrganisationID) (grantor.Limit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.limits[id]
	return l, ok
}

func (f *fleet) newRandom() *rand.Rand { return rand.New(rand.NewPCG(f.random.Uint64(), 7)) }

func (f *fleet) startControl(i int) {
	c := &control{}
	transport := f.network.Endpoint(controlAddress(i))
	electorate := elector.Electorate{Epoch: 1}
	for j := range controls {
		electorate.Voters = append(electorate.Voters, controlAddress(j))
	}
	c.elector = elector.New(elector.Config{
		Self: controlAddress(i), Needed: func() bool { return true },
		Electorate:    func() elector.Electorate { return electorate },
		AcceptedEpoch: func() uint64 { return 1 },
		OnElected:     func(uint64) {},
		Transport:     transport, Now: f.now, Random: f.newRandom(), Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	c.server = grantor.NewServer(grantor.ServerConfig{
		Grantor: grantor.Config{Window: window, Overage: overage, Slack: slack, Limit: f.limit},
		Elector: c.elector,
		Nodes: func() []netip.AddrPort {
			list := make([]netip.AddrPort, len(f.nodes))
			for j := range list {
				list[j] = nodeAddress(j)
			}
			return list
		},
		Transport: transport, Now: f.now, Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	f.controls[i] = c
	c.elector.Start()
	c.server.Start()
}

// stopControl stops a control instance in order.
func (f *fleet) stopControl(t *testing.T, i int) {
	t.Helper()
	if c := f.controls[i]; !c.stopped {
		c.stopped = true
		assert.Check(t, c.elector.Stop())
		assert.Check(t, c.server.Stop())
	}
}

// killControl ends a control instance, which does not tell the others.
func (f *fleet) killControl(t *testing.T, i int) {
	t.Helper()
	f.network.Freeze(controlAddress(i))
	f.stopControl(t, i)
	f.network.Wake(controlAddress(i))
}

func (f *fleet) startNode(i int) {
	k := New(Config{
		Controls: func() []netip.AddrPort {
			list := make([]netip.AddrPort, controls)
			for j := range list {
				list[j] = controlAddress(j)
			}
			return list
		},
		Transport: f.network.Endpoint(nodeAddress(i)), Now: f.now, Random: f.newRandom(), Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	k.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = k
}

// node returns the process of a node.
func (f *fleet) node(i int) *Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

func (f *fleet) stop(t *testing.T) {
	t.Helper()
	for i := range f.nodes {
		assert.Check(t, f.node(i).Stop())
	}
	for i := range f.controls {
		f.stopControl(t, i)
	}
	time.Sleep(time.Second) // Datagrams on their way.
}

// grantorIndex returns the index of the control instance that grants.
func (f *fleet) grantorIndex(t *testing.T) int {
	t.Helper()
	for i, c := range f.controls {
		if _, held := c.elector.Tenure(); held {
			return i
		}
	}
	t.Fatal("nobody grants")
	return 0
}

// send sends a request of an organisation to a node, which runs it if there is room.
func (f *fleet) send(o *compiler.Organisation, n int) {
	go func() {
		if ticket, _ := f.node(n).Take(f.context(), o); ticket.Taken() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ran[o.Name()] = append(f.ran[o.Name()], f.now())
		}
	}()
}

// load is the requests of one organisation: how many a second at a time since the start, and at
// which node.
type load struct {
	organisation *compiler.Organisation
	rate         func(at time.Duration) float64
	node         func(at time.Duration, r *rand.Rand) int
}

// constant is a rate that does not change.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// anywhere chooses among all of the given number of nodes.
func anywhere(size int) func(time.Duration, *rand.Rand) int {
	return func(_ time.Duration, r *rand.Rand) int { return r.IntN(size) }
}

// play sends requests for some time and returns when each was sent.
func (f *fleet) play(l load, length time.Duration) []time.Duration {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(11, uint64(l.organisation.Rate())))
	begin := time.Now()
	var sent []time.Duration
	for at := time.Duration(0); at < length; at = time.Since(begin) {
		expected := l.rate(at) * step.Seconds()
		for expected > 0 {
			if expected >= 1 || random.Float64() < expected {
				f.send(l.organisation, l.node(at, random))
				sent = append(sent, f.now())
			}
			expected--
		}
		time.Sleep(step)
	}
	time.Sleep(maxWait)
	return sent
}

// mostIn returns the largest number of requests of an organisation that ran in one window.
func (f *fleet) mostIn(o *compiler.Organisation) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := f.ran[o.Name()]
	most, first := 0, 0
	for i, at := range ran {
		for ran[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// assertWithinLimit checks that no window has more than what is allowed.
func (f *fleet) assertWithinLimit(t *testing.T, o *compiler.Organisation) {
	t.Helper()
	allowed := (o.Rate()*window.Seconds()+o.Burst())*(1+overage) + slack
	most := f.mostIn(o)
	t.Logf("%s: at most %d in a window, %.0f allowed, %d in all", o.Name(), most, allowed, f.count(o))
	assert.Assert(t, float64(most) <= allowed, "%d in a window, %.0f allowed", most, allowed)
}

func (f *fleet) count(o *compiler.Organisation) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran[o.Name()])
}

// bucketCount returns how many of the requests that were sent one token bucket would let pass.
func bucketCount(o *compiler.Organisation, sent []time.Duration) int {
	level, at, passed := max(o.Burst(), 1), time.Duration(0), 0
	for _, now := range sent {
		level = min(level+o.Rate()*(now-at).Seconds(), max(o.Burst(), 1))
		at = now
		if level >= 1 {
			level--
			passed++
		}
	}
	return passed
}
