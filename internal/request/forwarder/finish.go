package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/recognizer"
	"github.com/banyanscale/banyanscale/internal/telemetry/exporter"
)

const (
	// servedLinesPerSecond and failedLinesPerSecond limit the log lines of successful
	// requests and of all others.
	servedLinesPerSecond = 20
	failedLinesPerSecond = 100
)

// latencies holds a histogram of request latencies per service.
type latencies struct {
	scope     tally.Scope
	byService sync.Map // Service name to tally.Histogram.
}

func newLatencies(scope tally.Scope) *latencies { return &latencies{scope: scope} }

func (l *latencies) record(service string, d time.Duration) {
	if h, ok := l.byService.Load(service); ok {
		h.(tally.Histogram).RecordDuration(d)
		return
	}
	histogram := l.scope.Tagged(map[string]string{"service": service}).Histogram("request_latency", exporter.LatencyBuckets)
	h, _ := l.byService.LoadOrStore(service, histogram)
	h.(tally.Histogram).RecordDuration(d)
}

// finish stores the trace of a request for the explain command, records its latency and,
// if it failed, the attempt of its caller. It logs the request with its route, the
// configuration version and its attempts.
func (f *Forwarder) finish(attempt recognizer.Request, trace *explainer.Trace, route *route) {
	if trace.Status() >= http.StatusInternalServerError {
		f.recordFailure(attempt, route)
	}
	f.cfg.Explainer.Add(trace)
	if trace.Service() != "" {
		f.latencies.record(trace.Service(), trace.Duration())
	}
	limiter, event := f.servedLog, f.cfg.Log.Info()
	if trace.Status() >= http.StatusBadRequest || trace.Incomplete() {
		limiter, event = f.failedLog, f.cfg.Log.Warn()
	}
	limiter.Limit(event).EmbedObject(trace).Str("route", route.name).Uint64("version", route.version).
		Dur("timeout-ms", route.timeout).Dur("goal-ms", route.latencyGoal).
		Dur("caller-waited-ms", route.callerWaited(attempt.ArrivedAt)).Msg("Request ended.")
}

// recordFailure lets the recognizer recognize a retry of a failed request.
func (f *Forwarder) recordFailure(attempt recognizer.Request, route *route) {
	firstAttemptAt := route.firstAttemptAt
	if firstAttemptAt.IsZero() { // The request had no route.
		firstAttemptAt = f.recognizer.FirstAttempt(attempt, "")
	}
	f.recognizer.RecordFailure(attempt, firstAttemptAt)
}
