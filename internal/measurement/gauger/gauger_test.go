package gauger_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/measurement/gauger"
)

func TestReportRoundTrip(t *testing.T) {
	want := gauger.Report{Running: 3, Waiting: 1, Slots: 6, SlownessPercent: 500}
	got, err := gauger.ParseReport(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	_, err = gauger.ParseReport("running=x")
	assert.ErrorIs(t, err, gauger.ErrMalformedReport)
}

// fakeUpstream is an upstream whose speed is drawn at random for each time slice.
type fakeUpstream struct {
	start        time.Time
	slice        time.Duration // 0 for a speed that never changes.
	slowShare    float64       // Share of the slices that are slow.
	seed         uint64
	reads        atomic.Int64
	busy         atomic.Bool
	failing      atomic.Bool
	alwaysSlow   atomic.Bool  // Slow all the time once set.
	speedChanges atomic.Int64 // Calls of OnSpeedChange.
}

// slowness returns the slowness at the given time.
func (u *fakeUpstream) slowness(now time.Time) int {
	if u.alwaysSlow.Load() {
		return 500
	}
	slice := uint64(0)
	if u.slice > 0 {
		slice = uint64(now.Sub(u.start) / u.slice)
	}
	if rand.New(rand.NewPCG(u.seed, slice)).Float64() < u.slowShare {
		return 500
	}
	return 100
}

// read returns after a millisecond, with the slowness at half of that time.
func (u *fakeUpstream) read(context.Context) (bool, gauger.Report, error) {
	u.reads.Add(1)
	time.Sleep(500 * time.Microsecond)
	slowness := u.slowness(time.Now())
	time.Sleep(500 * time.Microsecond)
	if u.failing.Load() {
		return false, gauger.Report{}, errors.New("no response")
	}
	return true, gauger.Report{SlownessPercent: slowness}, nil
}

// runGauger runs test with a gauger of the upstream, in fake time.
func (u *fakeUpstream) runGauger(t *testing.T, test func(g *gauger.Gauger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		u.start = time.Now().Add(-37 * time.Millisecond)
		g := gauger.New(gauger.Config{
			Read: u.read, Busy: u.busy.Load, OnHealth: func(bool) {}, OnSpeedChange: func() { u.speedChanges.Add(1) },
			Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		g.Start()
		test(g)
		assert.NilError(t, g.Stop())
	})
}

// wrongShare returns the share of the given time in which the gauger's slowness
// differs from that of the upstream.
func (u *fakeUpstream) wrongShare(g *gauger.Gauger, length time.Duration) float64 {
	const step = time.Millisecond
	wrong := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(step) {
		if g.Slowdown(time.Now()).SlownessPercent != u.slowness(time.Now()) {
			wrong++
		}
	}
	return float64(wrong) * float64(step) / float64(length)
}

// TestReadsOnlyWhileBusy checks that the endpoint is read only while the upstream is
// in use, and that an old report is ignored.
func TestReadsOnlyWhileBusy(t *testing.T) {
	u := &fakeUpstream{slowShare: 1}
	u.runGauger(t, func(g *gauger.Gauger) {
		time.Sleep(time.Second)
		assert.Equal(t, u.reads.Load(), int64(0))
		assert.Equal(t, g.Slowdown(time.Now()).SlownessPercent, 100)
		u.busy.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, g.Slowdown(time.Now()).SlownessPercent, 500)
		u.failing.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, g.Slowdown(time.Now()).SlownessPercent, 100)
	})
}

// maxReadsPerSecond is the highest mean rate of reads allowed.
const maxReadsPerSecond = 60

// TestReadsAreBounded checks the rate of reads at an upstream whose speed changes
// have no detectable period.
func TestReadsAreBounded(t *testing.T) {
	for name, slice := range map[string]time.Duration{"never changes": 0, "changes constantly": 3 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			u := &fakeUpstream{slice: slice, slowShare: 0.35}
			u.busy.Store(true)
			u.runGauger(t, func(*gauger.Gauger) { time.Sleep(30 * time.Second) })
			assert.Assert(t, u.reads.Load() <= 30*maxReadsPerSecond, "%d", u.reads.Load())
		})
	}
}

// TestSlowdownsAreDetected checks, with upstreams that neighbors slow in time slices,
// that the gauger's slowness is wrong for at most 5% of the time, and that it makes at
// most half of the reads allowed.
func TestSlowdownsAreDetected(t *testing.T) {
	for name, tc := range map[string]struct {
		slice     time.Duration
		slowShare float64
	}{
		"35% slow, slices of 150 ms": {150 * time.Millisecond, 0.35},
		"25% slow, slices of 150 ms": {150 * time.Millisecond, 0.25},
		"10% slow, slices of 200 ms": {200 * time.Millisecond, 0.1},
		"50% slow, slices of 80 ms":  {80 * time.Millisecond, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				u := &fakeUpstream{slice: tc.slice, slowShare: tc.slowShare, seed: seed}
				u.busy.Store(true)
				u.runGauger(t, func(g *gauger.Gauger) {
					time.Sleep(20 * time.Second) // Lets the gauger detect the period.
					u.reads.Store(0)
					const length = 20 * time.Second
					wrong := u.wrongShare(g, length)
					assert.Assert(t, wrong <= 0.05, "seed %d: wrong for %.3f of the time", seed, wrong)
					maxReads := int64(maxReadsPerSecond / 2 * length.Seconds())
					assert.Assert(t, u.reads.Load() <= maxReads, "seed %d: %d reads, at most %d", seed, u.reads.Load(), maxReads)
				})
			}
		})
	}
}

// TestSlowdownEndIsEstimatedBeforeThePeriodIsKnown checks that a slowdown has an
// estimated end even before the period is detected, and that constant slowness, as
// in a cold start, has none.
func TestSlowdownEndIsEstimatedBeforeThePeriodIsKnown(t *testing.T) {
	for name, tc := range map[string]struct {
		slowShare float64
		wantEnd   bool
	}{"slowdowns": {0.35, true}, "constant slowness": {1, false}} {
		t.Run(name, func(t *testing.T) {
			u := &fakeUpstream{slice: 150 * time.Millisecond, slowShare: tc.slowShare, seed: 1}
			u.busy.Store(true)
			u.runGauger(t, func(g *gauger.Gauger) {
				estimates := 0
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					now := time.Now()
					if slowdown := g.Slowdown(now); slowdown.SlownessPercent == 500 && slowdown.End.After(now) {
						estimates++
						assert.Equal(t, slowdown.SlownessAfterPercent, 100)
					}
				}
				assert.Equal(t, estimates > 0, tc.wantEnd, "%d", estimates)
			})
		})
	}
}

// TestSlowdownEndIsPredicted checks that the end of a slowdown is predicted, and that
// no end is predicted for an upstream that stays slow.
func TestSlowdownEndIsPredicted(t *testing.T) {
	u := &fakeUpstream{slice: 150 * time.Millisecond, slowShare: 0.35, seed: 1}
	u.busy.Store(true)
	u.runGauger(t, func(g *gauger.Gauger) {
		time.Sleep(10 * time.Second)
		for u.slowness(time.Now()) != 500 {
			time.Sleep(u.slice)
		}
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		left := g.Slowdown(now).End.Sub(now)
		want := u.slice - now.Sub(u.start)%u.slice
		assert.Assert(t, (left-want).Abs() <= 10*time.Millisecond, "%s, want %s", left, want)
		u.alwaysSlow.Store(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, g.Slowdown(time.Now()).SlownessPercent, 500)
		assert.Assert(t, g.Slowdown(time.Now()).End.IsZero())
	})
}
