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

	"github.com/banyanscale/banyanscale/internal/process/accountant"
	"github.com/banyanscale/banyanscale/internal/process/controller"
	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// BenchmarkReport reports the processor time of both ends of one usage report
// over HTTP, by the number of instances that report.
func BenchmarkReport(b *testing.B) {
	for _, fresh := range []bool{false, true} {
		for _, n := range []int{350, 700, 1400, 2800} {
			b.Run(fmt.Sprintf("fresh-connections=%v/instances=%d", fresh, n), func(b *testing.B) {
				store, err := journaler.Open(journaler.OS{}, b.TempDir())
				assert.NilError(b, err)
				ledger, err := accountant.NewLedger(store, zerolog.Nop(), tally.NoopScope)
				assert.NilError(b, err)
				mux := http.NewServeMux()
				mux.Handle(controller.New(nil, nil, ledger).Handler())
				server := httptest.NewServer(mux)
				defer server.Close()
				transport := &http.Transport{DisableKeepAlives: fresh}
				defer transport.CloseIdleConnections()
				sender := accountant.NewSender(&http.Client{Transport: transport})
				to := netip.MustParseAddrPort(server.Listener.Addr().String())
				now := time.Now()
				next := 0
				before := processorTime(b)
				for b.Loop() {
					next++
					assert.NilError(b, sender.ReportUsage(b.Context(), to, usageOf(next%n, next, now)))
				}
				b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/report")
			})
		}
	}
}

// usageOf returns the report of one instance: today's counter and its state.
func usageOf(instance, requests int, now time.Time) *controlwire.ReportUsageRequest {
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

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
