package generator

import (
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are latency quantiles of a number of responses, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P90   int64 `json:"p90-us"`
	P99   int64 `json:"p99-us"`
	P999  int64 `json:"p99.9-us"`
	Max   int64 `json:"max-us"`
}

// Point is one point of a cumulative latency distribution.
type Point struct {
	Share     float64 `json:"share"`
	LatencyUS int64   `json:"latency-us"`
}

// MixResult is the result of one mix.
type MixResult struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Good covers complete responses with a status below 400, and Refused those
	// with any other status.
	Good     Quantiles      `json:"good"`
	Refused  Quantiles      `json:"refused"`
	Goodput  float64        `json:"goodput-per-second"`
	Statuses map[string]int `json:"statuses"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Foreign counts responses that belong to another request.
	Foreign int `json:"foreign-answers"`
	// Truncated counts responses that are too short but ended without an error.
	Truncated int `json:"cut-answers"`
	// Failed counts requests without a response, or whose response ended with an error.
	Failed int     `json:"failed"`
	Curve  []Point `json:"curve"`
}

// Result is the result of one run of an experiment.
type Result struct {
	Name         string      `json:"name"`
	Duration     float64     `json:"duration-seconds"`
	SendLateness Quantiles   `json:"send-lateness"`
	Mixes        []MixResult `json:"mixes"`
	// Executions counts the executions of all stand-ins.
	Executions int `json:"executions"`
	// RanMoreThanOnce counts non-repeatable requests that were executed more than once.
	RanMoreThanOnce int `json:"ran-more-than-once"`
	// FalseNotRun counts requests with the outcome "not-run" that were executed.
	FalseNotRun int `json:"false-not-run"`
	// OverLimit counts requests to stand-ins beyond the rate limits that these advertised.
	OverLimit int `json:"over-limit"`
	// OverCold counts requests that crashed stand-ins because these were cold.
	OverCold int `json:"over-cold,omitempty"`
	// NotRun counts requests with the outcome "not-run".
	NotRun int `json:"not-run"`
}

// Passed reports whether no request was executed more often than allowed, and no
// response was foreign or truncated.
func (r *Result) Passed() bool {
	violations := r.RanMoreThanOnce + r.FalseNotRun + r.OverLimit + r.OverCold
	for _, m := range r.Mixes {
		violations += m.Foreign + m.Truncated
	}
	return violations == 0
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

func (m *mixRecorder) result(name string, duration time.Duration) MixResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := make(map[string]int, len(m.statuses))
	for status, n := range m.statuses {
		statuses[strconv.Itoa(status)] = n
	}
	return MixResult{
		Name:      name,
		Sent:      m.sent,
		Good:      quantiles(m.good),
		Refused:   quantiles(m.refused),
		Goodput:   float64(m.good.TotalCount()) / duration.Seconds(),
		Statuses:  statuses,
		Outcomes:  m.outcomes,
		Reasons:   m.reasons,
		Foreign:   m.foreign,
		Truncated: m.truncated,
		Failed:    m.failed,
		Curve:     curve(m.good),
	}
}

func sortMixes(mixes []MixResult) {
	sort.Slice(mixes, func(i, j int) bool { return mixes[i].Name < mixes[j].Name })
}
