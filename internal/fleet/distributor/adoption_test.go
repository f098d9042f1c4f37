package distributor

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// routesOfLargeConfiguration is the number of routes of a large configuration.
const routesOfLargeConfiguration = 1000

// routedDocument returns a valid document with n routes, the first one with the given timeout.
func routedDocument(n int, timeout string) *controlwire.Document {
	doc := &controlwire.Document{}
	add := func(section string, pairs ...string) {
		for i := 0; i < len(pairs); i += 2 {
			doc.Entries = append(doc.Entries, &controlwire.Entry{Section: section, Key: pairs[i], Value: pairs[i+1]})
		}
	}
	add("owner tienda", "idle-rate", "1", "currency", "MXN")
	add("service vitrina", "owner", "tienda", "hosts", "none")
	for i := range n {
		routeTimeout := "1s"
		if i == 0 {
			routeTimeout = timeout
		}
		add(fmt.Sprintf("route r-%d", i), "host", "tienda.example", "path-prefix", fmt.Sprintf("/p%d/", i), "services", "vitrina",
			"kind", "idempotent", "timeout", routeTimeout, "latency-goal", "300ms", "rank", "2", "max-attempts", "2")
	}
	return canonical(doc)
}

// newCompilingDistributor returns a distributor that merges and compiles as nodes do.
func newCompilingDistributor(net Client) *Distributor {
	d := newCompilerDistributor(net)
	sites := compiler.NewCompiler("oaxaca")
	d.cfg.Compile = sites.Compile
	d.cfg.Publish = func(*compiler.Configuration) bool { return true }
	return d
}

// responseBetween returns the response that leads a process from the first document to the second.
func responseBetween(tb testing.TB, first, second *controlwire.Document) *controlwire.FetchResponse {
	tb.Helper()
	holder := newCompilerDistributor(&network{})
	assert.NilError(tb, holder.Offer(numbered(1, first)))
	assert.NilError(tb, holder.Offer(numbered(2, second)))
	resp, ok := holder.store.response(numbered(1, first).GetDigest(), time.Now())
	assert.Assert(tb, ok)
	return resp
}

// TestOneChangeOfALargeConfigurationIsCheap guards against work for each route at each change.
func TestOneChangeOfALargeConfigurationIsCheap(t *testing.T) {
	few, large, changed := routedDocument(20, "1s"), routedDocument(routesOfLargeConfiguration, "1s"), routedDocument(routesOfLargeConfiguration, "2s")
	allocations := func(first, second *controlwire.Document) float64 {
		resp := responseBetween(t, first, second)
		const runs = 3
		var ready []*Distributor
		for range runs + 1 { // AllocsPerRun runs once more, to warm up.
			d := newCompilingDistributor(&network{})
			assert.NilError(t, d.Offer(numbered(1, first)))
			ready = append(ready, d)
		}
		return testing.AllocsPerRun(runs, func() {
			d := ready[0]
			ready = ready[1:]
			assert.NilError(t, d.adoptResponse(origin{resp: resp}, 1))
			assert.Equal(t, d.InForce().GetNumber(), uint64(2))
		})
	}
	whole, one := allocations(few, large), allocations(large, changed)
	assert.Assert(t, one < whole/10, "one change: %v allocations, all routes: %v", one, whole)
}

// TestNoFetchWhileAVersionIsAdopted guards against doing all work of a large version again where it takes long.
func TestNoFetchWhileAVersionIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(version(1))
		newHolderAt(t, net, peers[0], 1, 2)
		newHolderAt(t, net, peers[1], 1, 2)
		n := newNode(net, control)
		compile := n.cfg.Compile
		n.cfg.Compile = func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error) {
			time.Sleep(3 * hedgeDelay) // A busy processor.
			return compile(doc, number)
		}
		startNode(t, n)
		time.Sleep(3 * time.Second)
		n.ObserveVersion(peers[0], version(2).GetDigest())
		time.Sleep(maxFetchDelay + hedgeDelay)
		assert.Assert(t, n.mu.TryLock(), "a datagram waits for the adoption")
		n.mu.Unlock()
		n.ObserveVersion(peers[1], version(2).GetDigest())
		time.Sleep(3 * time.Second)
		assertPublished(t, n, 1, 2)
		assert.Equal(t, net.fetches.Load(), int64(1))
	})
}

// slowHolder is a network in which the responses of one holder take long.
type slowHolder struct {
	*network

	slow  netip.AddrPort
	delay time.Duration
}

// Fetch implements Client.
func (n slowHolder) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	resp, err := n.network.Fetch(ctx, to, have)
	if to == n.slow {
		time.Sleep(n.delay)
	}
	return resp, err
}

// TestLateResponseCostsNoSnapshot guards against a snapshot for a response that another holder's has overtaken.
func TestLateResponseCostsNoSnapshot(t *testing.T) {
	for name, c := range map[string]struct {
		atSlowHolder uint64
		wantFetches  int64
	}{
		"of the version that is held":      {atSlowHolder: 2, wantFetches: 2},
		"of a version before the one held": {atSlowHolder: 1, wantFetches: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := &network{}
				net.holders = map[netip.AddrPort]*Distributor{}
				step := func(number uint64) *controlwire.Version {
					return numbered(number, documentOf(map[string]string{"a": fmt.Sprintf("%ds", number)}))
				}
				for i, newest := range []uint64{c.atSlowHolder + 1, 3} {
					net.holders[peers[i]] = newCompilerDistributor(net)
					for number := range newest {
						assert.NilError(t, net.holders[peers[i]].Offer(step(number+1)))
					}
				}
				d := newCompilerDistributor(slowHolder{network: net, slow: peers[0], delay: 2 * hedgeDelay})
				assert.NilError(t, d.Offer(step(1)))
				d.Start()
				d.ObserveVersion(peers[0], step(c.atSlowHolder+1).GetDigest())
				time.Sleep(maxFetchDelay + hedgeDelay/2)
				d.ObserveVersion(peers[1], step(3).GetDigest())
				time.Sleep(3 * time.Second)
				assert.Equal(t, d.InForce().GetNumber(), uint64(3))
				assert.NilError(t, d.Stop())
				assert.Equal(t, net.fetches.Load(), c.wantFetches)
			})
		})
	}
}

// TestLargeDeltaIsPassedOnAsReceived guards against each holder compressing a large delta again.
func TestLargeDeltaIsPassedOnAsReceived(t *testing.T) {
	few, large := routedDocument(20, "1s"), routedDocument(routesOfLargeConfiguration, "1s")
	resp := responseBetween(t, few, large)
	assert.Assert(t, resp.GetPacked() != nil)
	d := newCompilerDistributor(&network{})
	assert.NilError(t, d.Offer(numbered(1, few)))
	assert.NilError(t, d.adoptResponse(origin{resp: resp}, 1))
	passedOn, ok := d.store.response(numbered(1, few).GetDigest(), time.Now())
	assert.Assert(t, ok && passedOn == resp)
	plain, err := packer.Unpack(passedOn)
	assert.NilError(t, err)
	assert.Equal(t, plain.GetDelta().GetTarget().GetNumber(), uint64(2))
}

// benchmarkAdoption measures what a node does with the response that leads from the first document to the second.
func benchmarkAdoption(b *testing.B, first, second *controlwire.Document) {
	resp := responseBetween(b, first, second)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		d := newCompilingDistributor(&network{})
		assert.NilError(b, d.Offer(numbered(1, first)))
		b.StartTimer()
		assert.NilError(b, d.adoptResponse(origin{resp: resp}, 1))
	}
}

func BenchmarkAdoptManyRoutes(b *testing.B) {
	benchmarkAdoption(b, routedDocument(20, "1s"), routedDocument(routesOfLargeConfiguration, "1s"))
}

func BenchmarkAdoptOneChangeAmongManyRoutes(b *testing.B) {
	benchmarkAdoption(b, routedDocument(routesOfLargeConfiguration, "1s"), routedDocument(routesOfLargeConfiguration, "2s"))
}
