package explainer_test

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func TestExplainerKeepsLatestTraces(t *testing.T) {
	e := explainer.New(4)
	for i := range 6 {
		trace := explainer.NewTrace(strconv.Itoa(i), "GET", "/", time.Unix(0, 0))
		trace.End(time.Unix(1, 0), 503, classifier.NotRun, classifier.ReasonQueueFull)
		e.Add(trace)
	}
	assert.Equal(t, len(e.Find("1")), 0)
	assert.Equal(t, len(e.Find("2")), 1)
	var out bytes.Buffer
	assert.NilError(t, e.WriteJSON(&out, "5"))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(`"reason": "queue-full"`)), out.String())
	assert.ErrorIs(t, e.WriteJSON(&out, "0"), explainer.ErrNotFound)
}
