package propagator

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func TestInjectedTimeoutShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := httptest.NewRequest(http.MethodGet, "/", nil)
		in.Header.Set(classifier.HeaderTimeout, "500")
		in.Header.Set(classifier.HeaderDepth, "3")
		ctx := Extract(in)
		for _, left := range []int{500, 300, 100, 1, 1} {
			out := httptest.NewRequest(http.MethodGet, "/", nil)
			Inject(ctx, out)
			assert.Equal(t, out.Header.Get(classifier.HeaderTimeout), strconv.Itoa(left))
			assert.Equal(t, out.Header.Get(classifier.HeaderDepth), "3")
			time.Sleep(200 * time.Millisecond)
		}
	})
}
