package ratelimiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// run runs a test in fake time with a limiter whose upstream advertises 4 requests a second.
func run(t *testing.T, test func(t *testing.T, l *Limiter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Scope: tally.NoopScope, Log: zerolog.Nop()})
		l.Observe(Response{Limit: "4", SentAt: time.Now()})
		test(t, l)
	})
}

// takeAll takes as many requests as may start now and returns their number.
func takeAll(l *Limiter) int {
	n := 0
	for now := time.Now(); l.Wait(1, now) == 0 && n < 100; n++ {
		l.Take(now)
	}
	return n
}

func assertLimited(t *testing.T, l *Limiter, want bool) {
	t.Helper()
	assert.Equal(t, l.Report(time.Now()).Limited(), want)
}

func TestParse(t *testing.T) {
	for s, want := range map[string]float64{"5.8": 5.8, "0": 0, "12": 12} {
		t.Run(s, func(t *testing.T) {
			got, err := Parse(s)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
	for _, s := range []string{"", "-1", "NaN", "Inf", "5,8", "5.8/s", "1e999"} {
		t.Run("malformed "+s, func(t *testing.T) {
			_, err := Parse(s)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestRequestsStartAtTheAdvertisedRate(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		assert.Equal(t, takeAll(l), 0)
		assert.Equal(t, l.Wait(1, time.Now()).Round(time.Millisecond), 250*time.Millisecond)
		assert.Equal(t, l.Wait(2, time.Now()).Round(time.Millisecond), 500*time.Millisecond)
		total := 0
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			total += takeAll(l)
		}
		assert.Equal(t, total, 40)
	})
}

// TestPauseIsMadeUpForOnlyWithinBurst guards against a process that was paused and then sends at once what it did not send before.
func TestPauseIsMadeUpForOnlyWithinBurst(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		time.Sleep(time.Minute)
		assert.Equal(t, l.Report(time.Now()).Left, minBurst)
		assert.Equal(t, takeAll(l), minBurst)
	})
}

func TestLimitEndsOnlyByLaterRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		response Response
		sent     time.Duration // After the limit was advertised.
		limited  bool
	}{
		"later request":   {Response{}, time.Second, false},
		"earlier request": {Response{}, -time.Second, true},
		"inconclusive":    {Response{Inconclusive: true}, time.Second, true},
		"malformed":       {Response{Limit: "many"}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, l *Limiter) {
				tc.response.SentAt = time.Now().Add(tc.sent)
				time.Sleep(2 * time.Second)
				l.Observe(tc.response)
				assertLimited(t, l, tc.limited)
			})
		})
	}
}

func TestResetEndsLimit(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		l.Reset()
		assertLimited(t, l, false)
		assert.Equal(t, takeAll(l), 100)
	})
}

// TestLimitOfZeroIsTried guards against an upstream that is never used again because it once advertised a limit of 0.
func TestLimitOfZeroIsTried(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		l.Observe(Response{Limit: "0", SentAt: time.Now()})
		assert.Equal(t, takeAll(l), 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, takeAll(l), 1)
	})
}

func TestLoweredLimitKeepsNoLargerBurst(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		l.Observe(Response{Limit: "40", SentAt: time.Now()})
		time.Sleep(time.Minute)
		l.Observe(Response{Limit: "1", SentAt: time.Now()})
		assert.Equal(t, takeAll(l), minBurst)
	})
}
