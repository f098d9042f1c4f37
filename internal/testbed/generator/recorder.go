package generator

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// histogramMinUS and histogramMaxUS bound the recorded latencies, in microseconds.
	histogramMinUS = 1
	histogramMaxUS = int64(2 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of a latency in significant decimal digits.
	histogramDigits = 3
)

// bodyFault is the fault found in the body of a response that seems complete.
type bodyFault uint8

const (
	faultNone bodyFault = iota
	// faultForeign marks the response to another request.
	faultForeign
	// faultTruncated marks a body that is too short.
	faultTruncated
)

// observation is the measured result of one request.
type observation struct {
	verdict classifier.Verdict
	status  int
	failed  bool // No response came, or reading it failed.
	fault   bodyFault
	latency time.Duration
}

// mixRecorder aggregates the observations of one mix.
type mixRecorder struct {
	mu        sync.Mutex
	good      *hdrhistogram.Histogram
	refused   *hdrhistogram.Histogram
	statuses  map[int]int
	outcomes  map[string]int
	reasons   map[string]int
	foreign   int
	truncated int
	failed    int
	sent      int
}

func newMixRecorder() *mixRecorder {
	return &mixRecorder{
		good:     hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
		refused:  hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
		statuses: make(map[int]int),
		outcomes: make(map[string]int),
		reasons:  make(map[string]int),
	}
}

func (m *mixRecorder) record(o observation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent++
	m.statuses[o.status]++
	m.outcomes[o.verdict.Outcome().String()]++
	if o.verdict.Reason() != classifier.ReasonNone {
		m.reasons[string(o.verdict.Reason())]++
	}
	switch {
	case o.fault == faultForeign:
		m.foreign++
	case o.fault == faultTruncated:
		m.truncated++
	case o.failed:
		m.failed++
	case o.status < http.StatusBadRequest:
		return m.good.RecordValue(max(o.latency.Microseconds(), histogramMinUS))
	default:
		return m.refused.RecordValue(max(o.latency.Microseconds(), histogramMinUS))
	}
	return nil
}
