package generator

import (
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are the latencies at fixed shares of the answers, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P90   int64 `json:"p90-us"`
	P99   int64 `json:"p99-us"`
	P999  int64 `json:"p99.9-us"`
	Max   int64 `json:"max-us"`
}

// Point is one point of a latency distribution.
type Point struct {
	Share     float64 `json:"share"`
	LatencyUS int64   `json:"latency-us"`
}

// MixResult sums up one kind of request.
type MixResult struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Good     Quantiles      `json:"good"`
	Refused  Quantiles      `json:"refused"`
	Goodput  float64        `json:"goodput-per-second"`
	Statuses map[string]int `json:"statuses"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Foreign counts answers that belonged to another request.
	Foreign int `json:"foreign-answers"`
	// Cut counts answers that ended as if whole but were not.
	Cut int `json:"cut-answers"`
	// Failed counts requests without an answer, or whose answer ended with an error.
	Failed int     `json:"failed"`
	Curve  []Point `json:"curve"`
}

// Result sums up one run of an experiment.
type Result struct {
	Name     string      `json:"name"`
	Duration float64     `json:"duration-seconds"`
	Late     Quantiles   `json:"send-lateness"`
	Mixes    []MixResult `json:"mixes"`
	// Executions counts what all stand-ins ran.
	Executions int `json:"executions"`
	// RanTwice counts requests that may not be repeated and ran more than once.
	RanTwice int `json:"ran-more-than-once"`
	// FalseNotRun counts requests that were told "not-run" and ran all the same.
	FalseNotRun int `json:"false-not-run"`
	// NotRun counts requests that were told "not-run".
	NotRun int `json:"not-run"`
}

// Sound reports whether no promise about answers and executions was broken.
func (r *Result) Sound() bool {
	broken := r.RanTwice + r.FalseNotRun
	for _, m := range r.Mixes {
		broken += m.Foreign + m.Cut
	}
	return broken == 0
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

func curve(h *hdrhistogram.Histogram) []Point {
	var points []Point
	for _, b := range h.CumulativeDistribution() {
		points = append(points, Point{Share: b.Quantile / 100, LatencyUS: b.ValueAt})
	}
	return points
}

func (m *mixRecorder) result(name string, length time.Duration) MixResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := make(map[string]int, len(m.statuses))
	for status, n := range m.statuses {
		statuses[strconv.Itoa(status)] = n
	}
	return MixResult{
		Name:     name,
		Sent:     m.sent,
		Good:     quantiles(m.good),
		Refused:  quantiles(m.refused),
		Goodput:  float64(m.good.TotalCount()) / length.Seconds(),
		Statuses: statuses,
		Outcomes: m.outcomes,
		Reasons:  m.reasons,
		Foreign:  m.foreign,
		Cut:      m.cut,
		Failed:   m.failed,
		Curve:    curve(m.good),
	}
}

func sortMixes(mixes []MixResult) {
	sort.Slice(mixes, func(i, j int) bool { return mixes[i].Name < mixes[j].Name })
}
