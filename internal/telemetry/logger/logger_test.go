package logger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// line holds the fields of a log line that the tests check.
type line struct {
	Part    string `json:"part"`
	Message string `json:"message"`
	LeftOut int    `json:"left-out"`
}

func readLines(t *testing.T, text string) []line {
	t.Helper()
	var lines []line
	for _, encoded := range strings.Split(strings.TrimSpace(text), "\n") {
		var l line
		assert.NilError(t, json.Unmarshal([]byte(encoded), &l), "%s", encoded)
		lines = append(lines, l)
	}
	return lines
}

func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	log := logger.Part(logger.New(&out), "gossiper")
	log.Info().Str("instance", "vitrina-1").Msg("Instance joined.")
	assert.DeepEqual(t, readLines(t, out.String()), []line{{Part: "gossiper", Message: "Instance joined."}})
}

func TestLimiterCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := logger.New(&out)
		limiter := logger.NewLimiter(2)
		for range 5 {
			limiter.Limit(log.Info()).Msg("Request ended.")
		}
		time.Sleep(time.Second)
		limiter.Limit(log.Info()).Msg("Request ended.")
		lines := readLines(t, out.String())
		assert.Equal(t, len(lines), 3)
		assert.Equal(t, lines[2].LeftOut, 3)
	})
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestSlowWriterDoesNotBlockLogging(*testing.T) {
	writer := blockedWriter{release: make(chan struct{})}
	out, flush := logger.NonBlocking(writer)
	log := logger.New(out)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			log.Info().Msg("Request ended.")
		}
		close(done)
	}()
	<-done // A test that blocks here fails by the timeout of go test.
	close(writer.release)
	flush()
}
