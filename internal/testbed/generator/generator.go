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
	// progressInterval is the time between two progress lines.
	progressInterval = time.Second
	// spinThreshold is the rest of a wait that is spent yielding instead of on a timer.
	spinThreshold = 200 * time.Microsecond
)

// Generator runs one experiment.
type Generator struct {
	exp        *Experiment
	client     *http.Client
	progress   io.Writer
	start      time.Time
	wg         sync.WaitGroup
	sent       atomic.Int64
	completed  atomic.Int64
	recorders  map[string]*mixRecorder
	auditor    *auditor
	latenessMu sync.Mutex
	lateness   *hdrhistogram.Histogram
	errOnce    sync.Once
	err        error
}

// New returns a Generator that sends requests with client and writes progress
// lines to progress.
func New(exp *Experiment, client *http.Client, progress io.Writer) *Generator {
	g := &Generator{
		exp:       exp,
		client:    client,
		progress:  progress,
		recorders: make(map[string]*mixRecorder),
		auditor:   newAuditor(exp.StandIns, client),
		lateness:  hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits),
	}
	for _, m := range exp.Mixes {
		g.recorders[m.Name] = newMixRecorder()
	}
	return g
}

// Run sends all requests, waits for their responses and returns the result.
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
		return nil, fmt.Errorf("record response: %w", g.err)
	}
	return g.result(ctx)
}

// send starts each request at its scheduled time.
func (g *Generator) send(ctx context.Context) error {
	s := newSchedule(g.exp)
	for {
		j, ok := s.next()
		if !ok {
			return nil
		}
		waitUntil(g.start.Add(j.offset))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("stopped: %w", err)
		}
		g.sent.Add(1)
		g.wg.Add(1)
		go g.sendOne(ctx, j)
	}
}

// waitUntil sleeps until shortly before t and then yields until t.
func waitUntil(t time.Time) {
	if d := time.Until(t) - spinThreshold; d > 0 {
		time.Sleep(d)
	}
	for time.Now().Before(t) {
		time.Sleep(0)
	}
}

// sendOne sends one request and records the response. Latency and lateness
// count from the scheduled time.
func (g *Generator) sendOne(ctx context.Context, j job) {
	defer g.wg.Done()
	scheduled := g.start.Add(j.offset)
	lateness := time.Since(scheduled)
	o := g.exchange(ctx, j)
	o.latency = time.Since(scheduled)
	g.completed.Add(1)
	if !j.measured {
		return
	}
	g.auditor.add(j, o.verdict)
	if err := g.record(j, o, lateness); err != nil {
		g.errOnce.Do(func() { g.err = err })
	}
}

func (g *Generator) record(j job, o observation, lateness time.Duration) error {
	g.latenessMu.Lock()
	err := g.lateness.RecordValue(max(lateness.Microseconds(), histogramMinUS))
	g.latenessMu.Unlock()
	if err != nil {
		return fmt.Errorf("record lateness: %w", err)
	}
	if err := g.recorders[j.mix.Name].record(o); err != nil {
		return fmt.Errorf("record latency: %w", err)
	}
	return nil
}

// exchange sends one request and verifies the response.
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
	o.fault, err = checkResponse(resp, j, body)
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

// requestBody returns a body of the mix's size that repeats the id of the request.
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
				g.exp.Name, now.Sub(g.start).Seconds(), g.sent.Load(), g.completed.Load())
		}
	}
}

// applyBehaviors sets each behavior at its time, in the order of the experiment.
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
	duration := g.exp.Duration()
	r := &Result{Name: g.exp.Name, Duration: duration.Seconds(), SendLateness: quantiles(g.lateness)}
	for name, m := range g.recorders {
		r.Mixes = append(r.Mixes, m.result(name, duration))
	}
	sortMixes(r.Mixes)
	if err := g.auditor.check(ctx, r); err != nil {
		return nil, fmt.Errorf("check executions: %w", err)
	}
	return r, nil
}
