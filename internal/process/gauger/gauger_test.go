package gauger_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/gauger"
)

func TestReportText(t *testing.T) {
	want := gauger.Report{Running: 3, Waiting: 1, Slots: 6, SlownessPercent: 500}
	got, err := gauger.ParseReport(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	_, err = gauger.ParseReport("running=x")
	assert.ErrorIs(t, err, gauger.ErrReport)
}

// TestSlownessIsFollowedWhileBusy checks that the endpoint is read while
// requests are about and not otherwise, and that an old report counts no more.
func TestSlownessIsFollowedWhileBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var busy atomic.Bool
		var reads atomic.Int64
		var fail atomic.Bool
		g := gauger.New(gauger.Config{
			Busy: busy.Load, OnHealth: func(bool) {}, Log: zerolog.Nop(), Scope: tally.NoopScope,
			Read: func(context.Context) (bool, gauger.Report, error) {
				reads.Add(1)
				if fail.Load() {
					return false, gauger.Report{}, errors.New("no answer")
				}
				return true, gauger.Report{SlownessPercent: 500}, nil
			},
		})
		g.Start()
		time.Sleep(time.Second)
		assert.Equal(t, reads.Load(), int64(0))
		assert.Equal(t, g.Slowness(time.Now()), 100)
		busy.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, reads.Load() >= 10 && reads.Load() <= 25, "%d", reads.Load())
		assert.Equal(t, g.Slowness(time.Now()), 500)
		fail.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, g.Slowness(time.Now()), 100)
		assert.NilError(t, g.Stop())
	})
}
