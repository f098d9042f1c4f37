package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestResultsOverrideHealthReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 6, Connections: 240})
		assertFailurePercent := func(want int, after time.Duration) {
			t.Helper()
			time.Sleep(after)
			assert.Equal(t, a.Load().FailurePercent(), want)
		}
		sendRequest := func(failed bool) {
			p, err := a.Admit(context.Background(), Request{})
			assert.NilError(t, err)
			p.Done(Result{Latency: time.Millisecond, Failed: failed})
		}
		assertFailurePercent(0, 0)
		a.ObserveHealth(true)
		assertFailurePercent(0, time.Second)
		a.ObserveHealth(false)
		assertFailurePercent(100, 0) // No request contradicts the endpoint.
		sendRequest(false)
		assertFailurePercent(0, 0)
		a.ObserveHealth(false)
		assertFailurePercent(0, successPeriod-time.Millisecond)
		a.ObserveHealth(false)
		assertFailurePercent(100, time.Millisecond) // The success is too old.
		for range 5 {
			assertFailurePercent(100, healthReportPeriod/5-time.Millisecond)
			a.ObserveHealth(false)
		}
		assertFailurePercent(0, 5*time.Millisecond) // The report expires, so that requests try the upstream.
		sendRequest(false)
		a.ObserveHealth(true)
		assertFailurePercent(0, time.Minute)
		a.ObserveHealth(false)
		assertFailurePercent(100, healthReadMaxAge) // No further readings.
		assertFailurePercent(0, time.Millisecond)
		a.ObserveHealth(true)
		sendRequest(true) // Results of requests count despite a healthy endpoint.
		assertFailurePercent(12, 0)
	})
}
