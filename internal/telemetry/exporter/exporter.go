// Package exporter collects the metrics of a process and serves them in the Prometheus
// text format.
//
// # Usage
//
//	e := exporter.New("node")
//	defer e.Close()
//	requests := e.Scope().Counter("requests")
//	mux.Handle(pat.Get("/metrics"), e.Handler())
package exporter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// metricPrefix starts the name of each metric.
	metricPrefix = "banyanscale"
	// reportInterval is how often the values of the scope are reported to the registry.
	reportInterval = time.Second
)

// LatencyBuckets are the bucket bounds of latency histograms: from one millisecond to
// about eight seconds, each twice the one before.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Exporter owns the root scope of a process's metrics.
type Exporter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns an exporter that tags its metrics with the kind of process.
func New(process string) *Exporter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricPrefix,
		Tags:            map[string]string{"process": process},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Exporter{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope of the process's metrics.
func (e *Exporter) Scope() tally.Scope { return e.scope }

// Handler returns the handler that serves all metrics.
func (e *Exporter) Handler() http.Handler { return e.reporter.HTTPHandler() }

// Close reports the latest values and stops.
func (e *Exporter) Close() error {
	if err := e.closer.Close(); err != nil {
		return fmt.Errorf("close the metrics: %w", err)
	}
	return nil
}
