package classifier

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFromResponse(t *testing.T) {
	date := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat)
	for name, tc := range map[string]struct {
		outcome, retryAfter string
		want                Outcome
		atLeast             time.Duration
	}{
		"not run":         {"not-run", "3", NotRun, 3 * time.Second},
		"done":            {"done", "", Done, 0},
		"HTTP date":       {"not-run", date, NotRun, 59 * time.Minute},
		"no header":       {"", "", Unknown, 0},
		"invalid headers": {"Not-Run", "-1", Unknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			resp := &http.Response{Header: http.Header{}}
			resp.Header.Set(HeaderOutcome, tc.outcome)
			resp.Header.Set(HeaderRetryAfter, tc.retryAfter)
			v := FromResponse(resp, nil)
			assert.Equal(t, v.Outcome(), tc.want)
			assert.Assert(t, v.RetryAfter() >= tc.atLeast && v.RetryAfter() <= time.Hour)
		})
	}
	assert.Equal(t, FromResponse(nil, http.ErrHandlerTimeout).Outcome(), Unknown)
}
