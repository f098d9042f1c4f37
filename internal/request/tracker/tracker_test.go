package tracker_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/tracker"
)

// logLines returns the lines that the tracker logs, and the number that it returns.
func logLines(t *testing.T, requests *tracker.Tracker) (lines []map[string]any, open int) {
	t.Helper()
	var log bytes.Buffer
	open = requests.Log(zerolog.New(&log), "Open.")
	for line := range strings.Lines(log.String()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		lines = append(lines, fields)
	}
	return lines, open
}

func TestLogNamesOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := tracker.New()
		ended := requests.Begin("ended", "GET", "/")
		r := requests.Begin("abc", "POST", "/pedidos")
		r.SetDeadline(time.Now().Add(5 * time.Second))
		time.Sleep(time.Second)
		r.BeginAttempt("vitrina-1")
		r.BeginAttempt("vitrina-2")
		time.Sleep(time.Second)
		r.Enter(tracker.Responding)
		r.AddBytes(40)
		ended.End()
		time.Sleep(time.Second)
		lines, open := logLines(t, requests)
		assert.Equal(t, open, 1)
		assert.DeepEqual(t, lines, []map[string]any{{
			"level": "warn", "message": "Open.", "request": "abc", "method": "POST", "path": "/pedidos", "stage": "responding",
			"stage-ms": 1000.0, "after-ms": 3000.0, "left-ms": 2000.0, "instance": "vitrina-2", "attempts": 2.0, "bytes": 40.0,
		}})
		r.End()
		assert.Equal(t, requests.Len(), 0)
	})
}

func TestLogCountsFurtherRequests(t *testing.T) {
	requests := tracker.New()
	for i := range 50 {
		requests.Begin(fmt.Sprint(i), "GET", "/")
	}
	lines, open := logLines(t, requests)
	assert.Equal(t, open, 50)
	assert.Equal(t, len(lines), 20)
	assert.Equal(t, lines[19]["left-out"], 30.0)
}
