package forwarder

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestAttemptResult checks the result that is reported to the observer.
func TestAttemptResult(t *testing.T) {
	const latency = 5 * time.Millisecond
	refusal := func(reason classifier.Reason) *refuser.Refusal { return refuser.New(classifier.NotRun, reason) }
	for name, tc := range map[string]struct {
		status  int
		refusal *refuser.Refusal
		want    Result
	}{
		"response":                            {http.StatusOK, nil, Result{Latency: latency}},
		"error status of the upstream":        {http.StatusInternalServerError, nil, Result{Latency: latency, Failed: true}},
		"refused for load":                    {0, refusal(classifier.ReasonQueueSlow), Result{Latency: latency, Refused: true}},
		"connection failed":                   {0, refusal(classifier.ReasonConnect), Result{Latency: latency, Failed: true, Unreachable: true}},
		"address belongs to another instance": {0, refusal(classifier.ReasonWrongInstance), Result{Latency: latency, Failed: true, Unreachable: true}},
	} {
		t.Run(name, func(t *testing.T) {
			var resp *http.Response
			if tc.status != 0 {
				resp = &http.Response{StatusCode: tc.status}
			}
			assert.DeepEqual(t, attemptResult(resp, tc.refusal, latency), tc.want)
		})
	}
}
