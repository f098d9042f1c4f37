package emulator

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func TestColdUpstreamSaysSoAndCrashesAboveItsRate(t *testing.T) {
	for name, tc := range map[string]struct {
		interval time.Duration // Between requests.
		crashes  bool
	}{
		"within its rate": {time.Second / 10, false},
		"above its rate":  {time.Second / 30, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Spec{ID: "vitrina-1", Slots: 6, ColdStart: 3 * time.Second, ColdRate: 10})
				crashed := false
				for start := time.Now(); time.Since(start) < 5*time.Second && !crashed; time.Sleep(tc.interval) {
					said := call(e, http.MethodGet, "/-/standin/health").Header().Get(classifier.HeaderColdMS) != ""
					assert.Equal(t, said, time.Since(start) < 3*time.Second)
					cold := e.coldStart(behavior{}, time.Now())
					crashed = e.coldMonitor.observe(cold, time.Now())
				}
				assert.Equal(t, crashed, tc.crashes)
				assert.Equal(t, e.coldMonitor.overBound() > 0, tc.crashes)
			})
		})
	}
}

func TestUpstreamTurnsColdByItsBehavior(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Spec{ID: "vitrina-1", Slots: 6})
		call(e, http.MethodPost, "/-/standin/behavior?kind=cold&factor=10&for=2s")
		assert.Equal(t, call(e, http.MethodGet, "/").Header().Get(classifier.HeaderColdMS), "2001")
		time.Sleep(2*time.Second + time.Millisecond)
		assert.Equal(t, call(e, http.MethodGet, "/").Header().Get(classifier.HeaderColdMS), "")
	})
}
