package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/process/exporter"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
)

const (
	// servedLinesPerSecond and failedLinesPerSecond bound the log lines on
	// requests that were answered well, and on all others.
	servedLinesPerSecond = 20
	failedLinesPerSecond = 100
)

// latencies holds a histogram of the time of requests for each service.
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
	made := l.scope.Tagged(map[string]string{"service": service}).Histogram("request_latency", exporter.LatencyBuckets)
	h, _ := l.byService.LoadOrStore(service, made)
	h.(tally.Histogram).RecordDuration(d)
}

// finish keeps what happened to a request, and logs it: what it asked for, the
// version that routed it, each choice with the age of what it rests on, and
// how it ended.
func (f *Forwarder) finish(trace *explainer.Trace, r *route) {
	f.cfg.Explainer.Add(trace)
	if trace.Service() != "" {
		f.latencies.record(trace.Service(), trace.Duration())
	}
	lines, e := f.served, f.cfg.Log.Info()
	if trace.Status() >= http.StatusBadRequest || trace.Incomplete() {
		lines, e = f.failed, f.cfg.Log.Warn()
	}
	lines.Line(e).EmbedObject(trace).Str("route", r.name).Uint64("version", r.version).
		Dur("timeout-ms", r.timeout).Dur("goal-ms", r.goal).Msg("Request ended.")
}
