// Package exporter collects a process's metrics and shows them in the text
// format that Prometheus reads.
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
	// prefix starts the name of each metric.
	prefix = "banyanscale"
	// reportInterval is how often counters are copied to the page.
	reportInterval = time.Second
)

// LatencyBuckets are the bounds of histograms of latencies: from a millisecond
// to eight seconds, each twice the one before.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Exporter owns the root scope of a process's metrics.
type Exporter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns an exporter whose metrics carry the kind of process as a tag.
func New(process string) *Exporter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            map[string]string{"process": process},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Exporter{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the scope below which all metrics of the process lie.
func (e *Exporter) Scope() tally.Scope { return e.scope }

// Handler returns the page with all metrics.
func (e *Exporter) Handler() http.Handler { return e.reporter.HTTPHandler() }

// Close reports the last counts and stops.
func (e *Exporter) Close() error {
	if err := e.closer.Close(); err != nil {
		return fmt.Errorf("close the metrics: %w", err)
	}
	return nil
}
