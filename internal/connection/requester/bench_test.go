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

// exchanger performs one exchange up to the end of the body.
type exchanger func(req *http.Request) (*http.Response, error)

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
		do   exchanger
	}{
		{"pool", func(req *http.Request) (*http.Response, error) { return pool.Do(req.Context(), target, req) }},
		{"transport", transport.RoundTrip},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, upstream.URL, http.NoBody)
		assert.NilError(b, err)
		b.Run(bench.name+"/one", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				perform(b, bench.do, req)
			}
		})
		b.Run(bench.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					perform(b, bench.do, req)
				}
			})
		})
		cancel()
	}
}

func perform(b *testing.B, do exchanger, req *http.Request) {
	resp, err := do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// BenchmarkIdleConnections reports the memory of one idle connection, of the
// pool and of http.Transport. The other side is in the same process, but in
// both cases the same: its share is measured without a client and taken off.
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
		reportIdle(b, accepted, connections, func(req *http.Request) (*http.Response, error) {
			return pool.Do(req.Context(), target, req)
		}, target.String())
	})
	b.Run("transport", func(b *testing.B) {
		reportIdle(b, accepted, connections, transport.RoundTrip, target.String())
	})
}

func reportIdle(b *testing.B, accepted <-chan net.Conn, n int, do exchanger, target string) {
	for b.Loop() {
		before, goroutines := memory(), runtime.NumGoroutine()
		done := make(chan struct{})
		for range n {
			go func() {
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+target, http.NoBody)
				perform(b, do, req)
				done <- struct{}{}
			}()
		}
		conns := make([]net.Conn, n)
		for i := range n {
			conns[i] = <-accepted
			_, _ = conns[i].Read(make([]byte, 1024))
		}
		for _, conn := range conns {
			_, _ = io.WriteString(conn, whole)
		}
		for range n {
			<-done
		}
		b.ReportMetric(float64(memory()-before)/float64(n), "B/connection")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(n), "goroutines/connection")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	time.Sleep(50 * time.Millisecond) // Lets goroutines end.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
