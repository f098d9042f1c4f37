package emulator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func call(e *Emulator, method, url string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(method, url, http.NoBody))
	return w
}

func TestBehaviorsThatSayWhatIsAccepted(t *testing.T) {
	for query, want := range map[string]http.Header{
		"kind=limit&factor=5.8": {classifier.HeaderRateLimit: {"5.8"}},
		"kind=drain":            {classifier.HeaderDraining: {"1"}},
		"kind=normal":           {},
	} {
		t.Run(query, func(t *testing.T) {
			e := New(Spec{ID: "vitrina-1", Slots: 6})
			assert.Equal(t, call(e, http.MethodPost, "/-/standin/behavior?"+query).Code, http.StatusNoContent)
			got := call(e, http.MethodGet, "/").Header()
			for _, name := range []string{classifier.HeaderRateLimit, classifier.HeaderDraining} {
				assert.Equal(t, got.Get(name), want.Get(name))
			}
		})
	}
}

func TestRequestsBeyondAdvertisedLimitAreCounted(t *testing.T) {
	for interval, want := range map[time.Duration]bool{
		time.Second / 4: false, // 16 in a window; 17 are allowed.
		time.Second / 2: false,
		time.Second / 8: true,
	} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Spec{ID: "vitrina-1", Slots: 6})
				call(e, http.MethodPost, "/-/standin/behavior?kind=limit&factor=2")
				for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(interval) {
					call(e, http.MethodGet, "/")
				}
				var report executionReport
				assert.NilError(t, json.Unmarshal(call(e, http.MethodGet, "/-/standin/executions").Body.Bytes(), &report))
				assert.Equal(t, report.OverLimit > 0, want, "%d over", report.OverLimit)
			})
		})
	}
}
