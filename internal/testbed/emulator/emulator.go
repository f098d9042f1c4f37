// Package emulator provides a stand-in upstream for measurements and tests.
//
// # Usage
//
//	e := emulator.New(emulator.Spec{ID: "vitrina-1", Slots: 6, ServiceTime: time.Millisecond, Seed: 1})
//	srv := &http.Server{Handler: e.Handler()}
//	err := srv.Serve(e.Listener(listener))
//
// The emulator executes one request per slot at a time; further requests wait.
// It counts the executions of each request id, so that a test can check which
// requests were executed more than once:
//
//	GET  /-/standin/executions       totals, the ids executed more than once, and the requests
//	                                 beyond the rate limit that the emulator advertised, or
//	                                 beyond what it bears while it is cold
//	POST /-/standin/executions       counts of the ids in the body, one per line
//	POST /-/standin/behavior         sets a behavior: kind=slow&factor=10&for=500ms
//	GET  /-/standin/load             the load endpoint, which lags and may report a false load
//	GET  /-/standin/health           the health endpoint, which lags and may report a false state
//	GET  /guide/BYTES                a body of that many bytes with a strong ETag
//	any  other path                  takes the service time and echoes the request id, or crashes
//	                                 the upstream if it begins with Spec.CrashPath
package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// maxGuideBytes limits the size of a guide's body.
const maxGuideBytes = 64 << 20

// Spec lists the properties of an emulated upstream.
type Spec struct {
	// ID is echoed in each response.
	ID string
	// Slots is the number of requests that are executed concurrently.
	Slots int
	// Connections is the number of connections that may be open; further ones wait.
	Connections int
	// ConnectTime is the time that accepting one connection takes.
	ConnectTime time.Duration
	// ServiceTime is the mean of the exponentially distributed service times.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which requests take longer.
	// ColdFactor multiplies the service time at the start and decreases
	// linearly to 1.
	ColdStart  time.Duration
	ColdFactor float64
	// ColdRate is the number of requests a second that the upstream bears during that time,
	// which it then states in its responses; 0 for no limit. It crashes well above it.
	ColdRate float64
	// NoisePeriod is the mean time between slowdowns caused by co-located
	// processes; 0 for none.
	NoisePeriod time.Duration
	// NoiseLength is the duration of a slowdown, and NoiseFactor multiplies the
	// service time during it.
	NoiseLength time.Duration
	NoiseFactor float64
	// EndpointLag is the age of the values that the load and health endpoints report.
	EndpointLag time.Duration
	// CrashPath is the start of the paths of requests that crash the emulated upstream; empty
	// for none.
	CrashPath string
	// Seed makes the service times and slowdowns reproducible.
	Seed uint64
}

// Emulator is one emulated upstream.
type Emulator struct {
	spec         Spec
	started      atomic.Pointer[time.Time]
	slots        chan struct{}
	active       atomic.Int64
	rngMu        sync.Mutex
	rng          *rand.Rand
	noise        noise
	behavior     atomic.Pointer[behavior]
	executions   *executionCounter
	limitMonitor limitMonitor
	coldMonitor  coldMonitor
	reportedLoad laggedGauge
	// crashed receives a token for each crash.
	crashed chan struct{}
}

// New returns an Emulator whose cold start begins now.
func New(spec Spec) *Emulator {
	e := &Emulator{
		spec:         spec,
		slots:        make(chan struct{}, spec.Slots),
		rng:          rand.New(rand.NewPCG(spec.Seed, 1)),
		noise:        noise{period: spec.NoisePeriod, length: spec.NoiseLength, rng: rand.New(rand.NewPCG(spec.Seed, 2))},
		executions:   newExecutionCounter(),
		reportedLoad: laggedGauge{lag: spec.EndpointLag},
		crashed:      make(chan struct{}, 1),
	}
	e.behavior.Store(&behavior{})
	e.Restart()
	return e
}

// Restart records that the upstream starts now, so that its cold start begins again.
func (e *Emulator) Restart() {
	now := time.Now()
	e.started.Store(&now)
}

// Handler returns the HTTP interface of the emulated upstream.
func (e *Emulator) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/-/standin/executions"), e.serveExecutions)
	mux.HandleFunc(pat.Post("/-/standin/executions"), e.serveExecutionCounts)
	mux.HandleFunc(pat.Post("/-/standin/behavior"), e.serveBehavior)
	mux.HandleFunc(pat.Get("/-/standin/load"), e.serveLoad)
	mux.HandleFunc(pat.Get("/-/standin/health"), e.serveHealth)
	mux.HandleFunc(pat.New("/*"), e.serveWork)
	return mux
}

func (e *Emulator) serveWork(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	b := e.behavior.Load().current(now)
	e.limitMonitor.observe(b, now)
	if e.coldMonitor.observe(e.coldStart(b, now), now) {
		e.crash()
		<-r.Context().Done() // The server is closed.
		return
	}
	switch b.kind {
	case behaviorFailFast:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case behaviorShed:
		w.Header().Set(classifier.HeaderOutcome, classifier.NotRun.String())
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request is incomplete and is not executed.
	}
	if !e.run(r, b) {
		return
	}
	if e.crashesAt(r.URL.Path) {
		e.crash()
		<-r.Context().Done() // The server is closed.
		return
	}
	e.respond(w, r, b, body)
}

// Crashed returns the channel that receives a token when a request has crashed the upstream. The
// server must then be closed.
func (e *Emulator) Crashed() <-chan struct{} { return e.crashed }

func (e *Emulator) crashesAt(path string) bool {
	return e.spec.CrashPath != "" && strings.HasPrefix(path, e.spec.CrashPath)
}

func (e *Emulator) crash() {
	e.executions.addCrash()
	select {
	case e.crashed <- struct{}{}:
	default: // Another request has crashed it.
	}
}

// run executes one request once a slot is free. It reports whether the client
// still waits for the response.
func (e *Emulator) run(r *http.Request, b behavior) bool {
	e.reportedLoad.set(time.Now(), e.active.Add(1))
	defer func() { e.reportedLoad.set(time.Now(), e.active.Add(-1)) }()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return false
	}
	e.executions.add(r.Header.Get(classifier.HeaderRequestID))
	if b.kind == behaviorFreeze {
		<-r.Context().Done()
		return false
	}
	return sleep(r.Context(), e.workTime(b))
}

// workTime draws the execution time of one request from the service time, the
// current slowdown, the cold start and the behavior.
func (e *Emulator) workTime(b behavior) time.Duration {
	now := time.Now()
	e.rngMu.Lock()
	d := e.rng.ExpFloat64() * float64(e.spec.ServiceTime)
	slowed := e.noise.active(now)
	e.rngMu.Unlock()
	if slowed {
		d *= e.spec.NoiseFactor
	}
	if age := now.Sub(*e.started.Load()); age < e.spec.ColdStart {
		remaining := 1 - float64(age)/float64(e.spec.ColdStart)
		d *= 1 + (e.spec.ColdFactor-1)*remaining
	}
	if b.kind == behaviorCold {
		d *= e.spec.ColdFactor
	}
	if b.kind == behaviorSlow {
		d *= b.factor
	}
	return time.Duration(d)
}

func (e *Emulator) respond(w http.ResponseWriter, r *http.Request, b behavior, body []byte) {
	w.Header().Set("Standin-Instance", e.spec.ID)
	e.stateCold(w.Header(), b)
	switch b.kind {
	case behaviorDrain:
		w.Header().Set(classifier.HeaderDraining, "1")
	case behaviorLimit:
		w.Header().Set(classifier.HeaderRateLimit, strconv.FormatFloat(b.factor, 'f', -1, 64))
	}
	w.Header().Set("Standin-Request", r.Header.Get(classifier.HeaderRequestID))
	if b.kind == behaviorFailAfterWork {
		http.Error(w, "failed after the work", http.StatusServiceUnavailable)
		return
	}
	if size, ok := strings.CutPrefix(r.URL.Path, "/guide/"); ok {
		e.serveGuide(w, r, b, size)
		return
	}
	sum := sha256.Sum256(body)
	fmt.Fprintf(w, "%s %s %s\n", r.Method, r.Header.Get(classifier.HeaderRequestID), hex.EncodeToString(sum[:8]))
}

func (e *Emulator) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	report := e.executions.report()
	report.OverLimit = e.limitMonitor.overLimit()
	report.OverCold = e.coldMonitor.overBound()
	writeJSON(w, report)
}

func (e *Emulator) serveExecutionCounts(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, e.executions.countsOf(strings.Fields(string(body))))
}

func (e *Emulator) serveBehavior(w http.ResponseWriter, r *http.Request) {
	b, err := parseBehavior(r.FormValue("kind"), r.FormValue("factor"), r.FormValue("for"), time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.behavior.Store(b)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.reportedLoad.get(time.Now())
	if e.behavior.Load().current(time.Now()).kind == behaviorLie {
		load = 0
	}
	writeJSON(w, loadReport{InFlight: load, Slots: e.spec.Slots})
}

func (e *Emulator) serveHealth(w http.ResponseWriter, r *http.Request) {
	e.stateCold(w.Header(), e.behavior.Load().current(time.Now()))
	if e.behavior.Load().current(time.Now()).kind == behaviorStallHealth {
		<-r.Context().Done()
		return
	}
	switch e.behavior.Load().current(time.Now().Add(-e.spec.EndpointLag)).kind {
	case behaviorDrain, behaviorLieUnhealthy:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

// serveGuide writes a body of the given size in bytes. The content depends only
// on the size, so that another instance can resume the response.
func (e *Emulator) serveGuide(w http.ResponseWriter, r *http.Request, b behavior, size string) {
	n, err := strconv.ParseInt(size, 10, 64)
	if err != nil || n < 0 || n > maxGuideBytes {
		http.Error(w, "size out of range", http.StatusBadRequest)
		return
	}
	g := guide{size: n}
	w.Header().Set("ETag", g.etag())
	switch b.kind {
	case behaviorTruncate:
		w.Header().Set("Content-Length", size)
		_, _ = io.CopyN(w, g.reader(), n/2)
		panic(http.ErrAbortHandler)
	case behaviorStall:
		w.Header().Set("Content-Length", size)
		_, _ = io.CopyN(w, g.reader(), n/2)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	default:
		http.ServeContent(w, r, "", time.Time{}, g.reader())
	}
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
