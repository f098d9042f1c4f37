package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/testbed/emulator"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// firstTestPort is the port of the first address of freeAddress.
const firstTestPort = 20000

// addressCount counts the addresses that freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns a loopback address that no other test uses, nor another process of the
// tests. Its port is free for TCP and UDP.
func freeAddress(tb testing.TB) netip.AddrPort {
	tb.Helper()
	const octet = 250
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid%octet), byte(pid / octet % octet), 1})
	return netip.AddrPortFrom(ip, uint16(firstTestPort+addressCount.Add(1)))
}

// startUpstream runs an emulated upstream that responds immediately.
func startUpstream(tb testing.TB, id string) netip.AddrPort {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	e := emulator.New(emulator.Spec{ID: id, Slots: 1024, Connections: 1024, Seed: 1})
	srv := &http.Server{Handler: e.Handler()}
	go func() { _ = srv.Serve(l) }()
	tb.Cleanup(func() { assert.Check(tb, srv.Close()) })
	return netip.MustParseAddrPort(l.Addr().String())
}

// newTestNode assembles a node with a configuration, and with the given lines added to its
// settings. Its listeners are not open.
func newTestNode(tb testing.TB, id, service string, upstream netip.AddrPort, settingLines ...string) *Node {
	tb.Helper()
	return newTestNodeWithDialect(tb, id, service, upstream, Dialect{}, settingLines...)
}

// newTestNodeWithDialect is newTestNode for a platform.
func newTestNodeWithDialect(tb testing.TB, id, service string, upstream netip.AddrPort, dialect Dialect, settingLines ...string) *Node {
	tb.Helper()
	httpAddress, peerAddress := freeAddress(tb), freeAddress(tb)
	path := filepath.Join(tb.TempDir(), id+".ini")
	text := fmt.Sprintf("[node]\ninstance = %s\nservice = %s\nowner = o\nsite = s\nregion = r\n"+
		"http-address = %s\npeer-address = %s\nupstream-address = %s\nslots = 1024\nconnections = 1024\n",
		id, service, httpAddress, peerAddress, upstream) + strings.Join(settingLines, "\n")
	for key, value := range map[string]string{"failure-domain": "d", "seeds": "127.0.0.1:1"} {
		if !strings.Contains(text, key) {
			text += "\n" + key + " = " + value
		}
	}
	assert.NilError(tb, os.WriteFile(path, []byte(text), 0o600))
	settings, err := configurer.LoadNode(path)
	assert.NilError(tb, err)
	n, err := NewNodeWithDialect(settings, io.Discard, dialect)
	assert.NilError(tb, err)
	n.publish(compiler.NewConfiguration(1, "s", []*compiler.Service{benchService("vitrina"), benchService("almacen")}))
	return n
}

func benchService(name string) *compiler.Service {
	spec := compiler.DefaultServiceSpec(name)
	spec.Hosts = []string{name + ".oax"}
	spec.ColdStart = 0
	return compiler.NewService(spec)
}

// serveNode serves requests at the node's HTTP address until the test ends.
func serveNode(tb testing.TB, n *Node) {
	tb.Helper()
	l, err := listen(context.Background(), n.settings.HTTPAddress(), http.HandlerFunc(n.serveRequest), testLimiter())
	assert.NilError(tb, err)
	go func() { _ = l.serve() }()
	tb.Cleanup(func() { assert.Check(tb, l.server.Close()) })
}

func readyInstance(n *Node) *registrar.Instance {
	spec := n.instanceSpec()
	spec.State = registrar.StateReady
	spec.Incarnation = 1
	return registrar.NewInstance(spec)
}

// BenchmarkHops compares the latency of a direct call with that of a call through the
// upstream's node (one hop) and through another node (two hops).
func BenchmarkHops(b *testing.B) {
	upstream := startUpstream(b, "vitrina-1")
	serving := newTestNode(b, "vitrina-1", "vitrina", upstream)
	entry := newTestNode(b, "almacen-1", "almacen", startUpstream(b, "almacen-1"))
	view := registrar.NewView([]*registrar.Instance{readyInstance(serving), readyInstance(entry)})
	for _, n := range []*Node{serving, entry} {
		n.setView(view)
		serveNode(b, n)
	}
	for _, bench := range []struct {
		name string
		addr netip.AddrPort
	}{
		{"direct", upstream},
		{"one-hop", serving.settings.HTTPAddress()},
		{"two-hops", entry.settings.HTTPAddress()},
	} {
		b.Run(bench.name, func(b *testing.B) { benchmarkCalls(b, bench.addr) })
	}
}

func benchmarkCalls(b *testing.B, addr netip.AddrPort) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}
	b.ReportAllocs()
	var latencies []time.Duration
	for b.Loop() {
		start := time.Now()
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
		assert.NilError(b, err)
		req.Host = "vitrina.oax"
		resp, err := client.Do(req)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		resp.Body.Close()
		assert.Equal(b, resp.StatusCode, http.StatusOK, resp.Header.Get(classifier.HeaderReason))
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

// BenchmarkIdlePath reports the memory of one idle connection to a node plus the
// connection from that node to its upstream, with both ends of each.
func BenchmarkIdlePath(b *testing.B) {
	const connections = 1000
	serving := newTestNode(b, "vitrina-1", "vitrina", startUpstream(b, "vitrina-1"))
	serveNode(b, serving)
	for b.Loop() {
		pool := requester.New(requester.Config{Dialer: &net.Dialer{}})
		before := memoryInUse()
		openIdleConnections(b, pool, serving.settings.HTTPAddress(), connections)
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/path")
		assert.NilError(b, pool.Close())
	}
}

// openIdleConnections opens connections by concurrent requests, and completes these so
// that the connections become idle.
func openIdleConnections(b *testing.B, pool *requester.Pool, addr netip.AddrPort, connections int) {
	var bodies []io.Closer
	for range connections {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://vitrina.oax/guide/1", http.NoBody)
		assert.NilError(b, err)
		resp, err := pool.Do(context.Background(), addr, req)
		assert.NilError(b, err)
		bodies = append(bodies, resp.Body)
	}
	for _, body := range bodies {
		_, err := io.Copy(io.Discard, body.(io.Reader))
		assert.NilError(b, err)
		assert.NilError(b, body.Close())
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
