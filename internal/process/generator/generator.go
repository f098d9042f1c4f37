package generator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// progressInterval is the time between two lines of progress.
	progressInterval = time.Second
	// spinBelow is how close to its time a request is waited for without a timer.
	spinBelow = 200 * time.Microsecond
)

// Generator runs one experiment.
type Generator struct {
	exp      *Experiment
	client   *http.Client
	progress io.Writer
	start    time.Time
	wg       sync.WaitGroup
	sent     atomic.Int64
	answered atomic.Int64
	mixes    map[string]*mixRecorder
	audit    *auditor
	lateMu   sync.Mutex
	late     *hdrhistogram.Histogram
	errOnce  sync.Once
	err      error
}

// New returns a generator that sends requests by client and writes progress
// lines to progress.
func New(exp *Experiment, client *http.Client, progress io.Writer) *Generator {
	g := &Generator{
		exp:      exp,
		client:   client,
		progress: progress,
		mixes:    make(map[string]*mixRecorder),
		audit:    newAuditor(exp.StandIns, client),
		late:     hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
	}
	for _, m := range exp.Mixes {
		g.mixes[m.Name] = newMixRecorder()
	}
	return g
}

// Run sends the whole load, waits for all answers and returns the result.
func (g *Generator) Run(ctx context.Context) (*Result, error) {
	g.start = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.reportProgress(ctx)
	go g.applyBehaviors(ctx)
	if err := g.send(ctx); err != nil {
		return nil, fmt.Errorf("send load: %w", err)
	}
	g.wg.Wait()
	if g.err != nil {
		return nil, fmt.Errorf("record an answer: %w", g.err)
	}
	return g.result(ctx)
}

func (g *Generator) send(ctx context.Context) error {
	s := newSchedule(g.exp)
	for {
		j, ok := s.next()
		if !ok {
			return nil
		}
		waitUntil(g.start.Add(j.at))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("stopped: %w", err)
		}
		g.sent.Add(1)
		g.wg.Add(1)
		go g.do(ctx, j)
	}
}

// waitUntil sleeps until shortly before t and then yields until t.
func waitUntil(t time.Time) {
	if d := time.Until(t) - spinBelow; d > 0 {
		time.Sleep(d)
	}
	for time.Now().Before(t) {
		time.Sleep(0)
	}
}

func (g *Generator) do(ctx context.Context, j job) {
	defer g.wg.Done()
	due := g.start.Add(j.at)
	lateness := time.Since(due)
	o := g.exchange(ctx, j)
	o.latency = time.Since(due)
	g.answered.Add(1)
	if !j.counts {
		return
	}
	g.audit.add(j, o.verdict)
	if err := g.record(j, o, lateness); err != nil {
		g.errOnce.Do(func() { g.err = err })
	}
}

func (g *Generator) record(j job, o observation, lateness time.Duration) error {
	g.lateMu.Lock()
	err := g.late.RecordValue(max(lateness.Microseconds(), histogramMinUS))
	g.lateMu.Unlock()
	if err != nil {
		return fmt.Errorf("lateness: %w", err)
	}
	if err := g.mixes[j.mix.Name].record(o); err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	return nil
}

func (g *Generator) exchange(ctx context.Context, j job) observation {
	ctx, cancel := context.WithTimeout(ctx, j.mix.Timeout)
	defer cancel()
	body := requestBody(j)
	req, err := http.NewRequestWithContext(ctx, j.mix.Method, j.target+j.mix.Path, strings.NewReader(body))
	if err != nil {
		return observation{failed: true}
	}
	setHeaders(req, j)
	resp, err := g.client.Do(req)
	if err != nil {
		return observation{failed: true, verdict: classifier.FromResponse(nil, err)}
	}
	defer resp.Body.Close()
	o := observation{verdict: classifier.FromResponse(resp, nil), status: resp.StatusCode}
	o.check, err = checkAnswer(resp, j, body)
	o.failed = err != nil
	return o
}

func setHeaders(req *http.Request, j job) {
	if j.mix.Host != "" {
		req.Host = j.mix.Host
	}
	req.Header.Set(classifier.HeaderRequestID, j.id)
	req.Header.Set(classifier.HeaderTimeout, fmt.Sprint(j.mix.Timeout.Milliseconds()))
	if j.mix.Priority != "" {
		req.Header.Set(classifier.HeaderPriority, j.mix.Priority)
	}
	if j.mix.Keyed {
		req.Header.Set(classifier.HeaderIdempotencyKey, j.id)
	}
}

func requestBody(j job) string {
	if j.mix.BodyBytes == 0 {
		return ""
	}
	return strings.Repeat(j.id+" ", j.mix.BodyBytes/(len(j.id)+1)+1)[:j.mix.BodyBytes]
}

func (g *Generator) reportProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			fmt.Fprintf(g.progress, "%s %5.0fs sent %d answered %d\n",
				g.exp.Name, now.Sub(g.start).Seconds(), g.sent.Load(), g.answered.Load())
		}
	}
}

func (g *Generator) applyBehaviors(ctx context.Context) {
	for _, b := range g.exp.Behaviors {
		waitUntil(g.start.Add(g.exp.Warmup + b.At))
		if ctx.Err() != nil {
			return
		}
		if err := setBehavior(ctx, g.client, b); err != nil {
			g.errOnce.Do(func() { g.err = err })
		}
	}
}

func (g *Generator) result(ctx context.Context) (*Result, error) {
	length := g.exp.Duration()
	r := &Result{Name: g.exp.Name, Duration: length.Seconds(), Late: quantiles(g.late)}
	for name, m := range g.mixes {
		r.Mixes = append(r.Mixes, m.result(name, length))
	}
	sortMixes(r.Mixes)
	if err := g.audit.check(ctx, r); err != nil {
		return nil, fmt.Errorf("check executions: %w", err)
	}
	return r, nil
}
