package controller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/accounting/accountant"
	"github.com/banyanscale/banyanscale/internal/agreement/controller"
	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// BenchmarkReport measures the CPU time that sender and controller together spend on one
// usage report over HTTP, by the number of reporting instances.
func BenchmarkReport(b *testing.B) {
	for _, fresh := range []bool{false, true} {
		for _, n := range []int{350, 700, 1400, 2800} {
			b.Run(fmt.Sprintf("fresh-connections=%v/instances=%d", fresh, n), func(b *testing.B) {
				store, err := journaler.Open(journaler.OS{}, b.TempDir())
				assert.NilError(b, err)
				ledger, err := accountant.NewLedger(store, zerolog.Nop(), tally.NoopScope)
				assert.NilError(b, err)
				mux := http.NewServeMux()
				mux.Handle(controller.New(nil, nil, ledger, nil, retainer.DefaultBytes).Handler())
				server := httptest.NewServer(mux)
				defer server.Close()
				transport := &http.Transport{DisableKeepAlives: fresh}
				defer transport.CloseIdleConnections()
				sender := accountant.NewSender(&http.Client{Transport: transport})
				to := netip.MustParseAddrPort(server.Listener.Addr().String())
				now := time.Now()
				sent := 0
				before := cpuTime(b)
				for b.Loop() {
					sent++
					assert.NilError(b, sender.ReportUsage(b.Context(), to, usageReport(sent%n, sent, now)))
				}
				b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/report")
			})
		}
	}
}

// usageReport returns the report of one instance: one counter and its version in force.
func usageReport(instance, requests int, now time.Time) *controlwire.ReportUsageRequest {
	id := fmt.Sprintf("vitrina-%d", instance)
	return &controlwire.ReportUsageRequest{
		Counters: []*controlwire.UsageCounter{{
			Instance: id, Incarnation: uint64(now.UnixMilli()), Owner: "oaxaca", Service: "vitrina", Site: "oaxaca",
			SinceUnixMs: now.UnixMilli(), UntilUnixMs: now.UnixMilli() + int64(requests), Requests: uint64(requests),
			BusySlotMs: uint64(requests), IdleSlotMs: uint64(requests),
		}},
		InForce: &controlwire.InForce{Instance: id, Incarnation: uint64(now.UnixMilli())},
	}
}

// cpuTime returns the user and system time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
