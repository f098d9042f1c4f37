package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestHintCountsOnlyWhereNoRequestContradictsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 6, Connections: 240})
		told := func(want int, after time.Duration) {
			t.Helper()
			time.Sleep(after)
			assert.Equal(t, a.Load().FailurePercent(), want)
		}
		exchange := func(failed bool) {
			p, err := a.Admit(context.Background(), Work{})
			assert.NilError(t, err)
			p.Done(Result{Latency: time.Millisecond, Failed: failed})
		}
		told(0, 0)
		a.Hint(true)
		told(0, time.Second)
		a.Hint(false)
		told(100, 0) // Nothing contradicts it.
		exchange(false)
		told(0, 0)
		a.Hint(false)
		told(0, evidencePeriod-time.Millisecond)
		a.Hint(false)
		told(100, time.Millisecond) // Silent again.
		for range 5 {
			told(100, hintPeriod/5-time.Millisecond)
			a.Hint(false)
		}
		told(0, 5*time.Millisecond) // To be tried again.
		exchange(false)
		a.Hint(true)
		told(0, time.Minute)
		a.Hint(false)
		told(100, hintMaxAge) // The endpoint hangs.
		told(0, time.Millisecond)
		a.Hint(true)
		exchange(true) // What requests saw stands, whatever is claimed.
		told(12, 0)
	})
}
