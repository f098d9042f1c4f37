package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
)

// roundTripper sends a request and returns its response.
type roundTripper func(req *http.Request) (*http.Response, error)

// BenchmarkExchange compares the pool with http.Transport over loopback sockets.
func BenchmarkExchange(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	target := netip.MustParseAddrPort(upstream.Listener.Addr().String())
	pool := requester.New(requester.Config{Dialer: &net.Dialer{}, StallTimeout: time.Second})
	defer func() { _ = pool.Close() }()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	for _, bench := range []struct {
		name string
		do   roundTripper
	}{
		{"pool", func(req *http.Request) (*http.Response, error) { return pool.Do(req.Context(), target, req) }},
		{"transport", transport.RoundTrip},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, upstream.URL, http.NoBody)
		assert.NilError(b, err)
		b.Run(bench.name+"/sequential", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, bench.do, req)
			}
		})
		b.Run(bench.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					roundTrip(b, bench.do, req)
				}
			})
		})
		cancel()
	}
}

// roundTrip performs one exchange up to the end of the body.
func roundTrip(b *testing.B, do roundTripper, req *http.Request) {
	resp, err := do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// BenchmarkIdleConnections reports the memory and the goroutines per idle connection
// of the pool and of http.Transport. The server side is in the same process and
// contributes equally to both.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 200
	accepted := make(chan net.Conn, connections)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	pool := requester.New(requester.Config{Dialer: &net.Dialer{}})
	defer func() { _ = pool.Close() }()
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	defer transport.CloseIdleConnections()
	target := netip.MustParseAddrPort(listener.Addr().String())
	b.Run("pool", func(b *testing.B) {
		reportIdleCost(b, accepted, connections, func(req *http.Request) (*http.Response, error) {
			return pool.Do(req.Context(), target, req)
		}, target.String())
	})
	b.Run("transport", func(b *testing.B) {
		reportIdleCost(b, accepted, connections, transport.RoundTrip, target.String())
	})
}

// reportIdleCost opens n connections by concurrent requests and reports the memory
// and the goroutines per connection once all are idle.
func reportIdleCost(b *testing.B, accepted <-chan net.Conn, n int, do roundTripper, target string) {
	for b.Loop() {
		memoryBefore, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
		done := make(chan struct{})
		for range n {
			go func() {
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+target, http.NoBody)
				roundTrip(b, do, req)
				done <- struct{}{}
			}()
		}
		conns := make([]net.Conn, n)
		for i := range n {
			conns[i] = <-accepted
			_, _ = conns[i].Read(make([]byte, 1024))
		}
		for _, conn := range conns {
			_, _ = io.WriteString(conn, completeResponse)
		}
		for range n {
			<-done
		}
		b.ReportMetric(float64(memoryInUse()-memoryBefore)/float64(n), "B/connection")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/float64(n), "goroutines/connection")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() uint64 {
	time.Sleep(50 * time.Millisecond) // Goroutines that are ending need time to exit.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
