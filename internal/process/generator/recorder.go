package generator

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// histogramMinUS and histogramMaxUS bound the latencies that are told apart.
	histogramMinUS = 1
	histogramMaxUS = int64(2 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits kept.
	histogramDigits = 3
)

// answerCheck is what was found wrong with an answer.
type answerCheck uint8

const (
	answerWhole answerCheck = iota
	answerForeign
	answerCut
)

// observation is what became of one request.
type observation struct {
	verdict classifier.Verdict
	status  int
	failed  bool // No answer came, or it ended early.
	check   answerCheck
	latency time.Duration
}

// mixRecorder gathers the observations of one kind of request.
type mixRecorder struct {
	mu       sync.Mutex
	good     *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
	statuses map[int]int
	outcomes map[string]int
	reasons  map[string]int
	foreign  int
	cut      int
	failed   int
	sent     int
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
	case o.check == answerForeign:
		m.foreign++
	case o.check == answerCut:
		m.cut++
	case o.failed:
		m.failed++
	case o.status < http.StatusBadRequest:
		return m.good.RecordValue(max(o.latency.Microseconds(), histogramMinUS))
	default:
		return m.refused.RecordValue(max(o.latency.Microseconds(), histogramMinUS))
	}
	return nil
}
