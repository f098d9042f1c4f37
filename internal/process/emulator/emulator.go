// Package emulator is a stand-in upstream for measurements and tests.
//
// # Usage
//
//	e := emulator.New(emulator.Spec{ID: "vitrina-1", Slots: 6, ServiceTime: time.Millisecond, Seed: 1})
//	srv := &http.Server{Handler: e.Handler()}
//	err := srv.Serve(e.Listener(listener))
//
// The emulator works on as many requests at once as it has slots; others wait.
// It counts how often it ran each request, by the request's id, so that a run
// that should have happened at most once can be checked:
//
//	GET  /-/standin/executions       totals, and the ids that ran more than once
//	POST /-/standin/executions       how often the ids ran that the body lists, one a line
//	POST /-/standin/behavior         kind=slow&factor=10&for=500ms
//	GET  /-/standin/load             the load endpoint, which lags and may mislead
//	GET  /-/standin/health           the health endpoint, which lags and may mislead
//	GET  /guide/BYTES                a body of that many bytes with a strong ETag
//	any  other path                  works for the service time and echoes the request id
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

// maxGuideBytes bounds the body of a guide.
const maxGuideBytes = 64 << 20

// Spec lists the properties of an emulated upstream.
type Spec struct {
	// ID is echoed in each answer.
	ID string
	// Slots is how many requests are worked on at once.
	Slots int
	// Connections is how many connections are accepted at once; others wait.
	Connections int
	// ConnectTime is how long accepting one connection takes.
	ConnectTime time.Duration
	// ServiceTime is the mean time that one request takes, exponentially distributed.
	ServiceTime time.Duration
	// ColdStart is how long after the start the service time is longer, and
	// ColdFactor how many times longer it is at first.
	ColdStart  time.Duration
	ColdFactor float64
	// NoisePeriod is the mean time between slow spells caused by a neighbor; 0 for none.
	NoisePeriod time.Duration
	// NoiseLength is how long a slow spell lasts, and NoiseFactor how many times longer work takes in it.
	NoiseLength time.Duration
	NoiseFactor float64
	// EndpointLag is how old the figures of the load and health endpoints are.
	EndpointLag time.Duration
	// Seed makes the service times and slow spells repeatable.
	Seed uint64
}

// Emulator is one emulated upstream.
type Emulator struct {
	spec    Spec
	started time.Time
	slots   chan struct{}
	active  atomic.Int64
	rngMu   sync.Mutex
	rng     *rand.Rand
	noise   noise
	mode    atomic.Pointer[behavior]
	counts  *executionCounter
	lagged  laggedGauge
}

// New returns an emulator whose cold start begins now.
func New(spec Spec) *Emulator {
	e := &Emulator{
		spec:    spec,
		started: time.Now(),
		slots:   make(chan struct{}, spec.Slots),
		rng:     rand.New(rand.NewPCG(spec.Seed, 1)),
		noise:   noise{period: spec.NoisePeriod, length: spec.NoiseLength, rng: rand.New(rand.NewPCG(spec.Seed, 2))},
		counts:  newExecutionCounter(),
		lagged:  laggedGauge{lag: spec.EndpointLag},
	}
	e.mode.Store(&behavior{})
	return e
}

// Handler returns the HTTP interface of the emulated upstream.
func (e *Emulator) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/-/standin/executions"), e.serveExecutions)
	mux.HandleFunc(pat.Post("/-/standin/executions"), e.serveExecutionsOf)
	mux.HandleFunc(pat.Post("/-/standin/behavior"), e.serveBehavior)
	mux.HandleFunc(pat.Get("/-/standin/load"), e.serveLoad)
	mux.HandleFunc(pat.Get("/-/standin/health"), e.serveHealth)
	mux.HandleFunc(pat.New("/*"), e.serveWork)
	return mux
}

func (e *Emulator) serveWork(w http.ResponseWriter, r *http.Request) {
	b := e.mode.Load().current(time.Now())
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
		return // The request did not arrive whole; it is not run.
	}
	if !e.run(r, b) {
		return
	}
	e.answer(w, r, b, body)
}

// run works on one request and reports whether there is still somebody to answer.
func (e *Emulator) run(r *http.Request, b behavior) bool {
	e.lagged.set(time.Now(), e.active.Add(1))
	defer func() { e.lagged.set(time.Now(), e.active.Add(-1)) }()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return false
	}
	e.counts.add(r.Header.Get(classifier.HeaderRequestID))
	if b.kind == behaviorFreeze {
		<-r.Context().Done()
		return false
	}
	return sleep(r.Context(), e.workTime(b))
}

func (e *Emulator) workTime(b behavior) time.Duration {
	now := time.Now()
	e.rngMu.Lock()
	d := e.rng.ExpFloat64() * float64(e.spec.ServiceTime)
	noisy := e.noise.active(now)
	e.rngMu.Unlock()
	if noisy {
		d *= e.spec.NoiseFactor
	}
	if age := now.Sub(e.started); age < e.spec.ColdStart {
		left := 1 - float64(age)/float64(e.spec.ColdStart)
		d *= 1 + (e.spec.ColdFactor-1)*left
	}
	if b.kind == behaviorSlow {
		d *= b.factor
	}
	return time.Duration(d)
}

func (e *Emulator) answer(w http.ResponseWriter, r *http.Request, b behavior, body []byte) {
	w.Header().Set("Standin-Instance", e.spec.ID)
	if b.kind == behaviorDrain {
		w.Header().Set(classifier.HeaderDraining, "1")
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
	writeJSON(w, e.counts.report())
}

func (e *Emulator) serveExecutionsOf(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, e.counts.of(strings.Fields(string(body))))
}

func (e *Emulator) serveBehavior(w http.ResponseWriter, r *http.Request) {
	b, err := parseBehavior(r.FormValue("kind"), r.FormValue("factor"), r.FormValue("for"), time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mode.Store(b)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.lagged.get(time.Now())
	if e.mode.Load().current(time.Now()).kind == behaviorLie {
		load = 0
	}
	writeJSON(w, loadReport{InFlight: load, Slots: e.spec.Slots})
}

func (e *Emulator) serveHealth(w http.ResponseWriter, r *http.Request) {
	if e.mode.Load().current(time.Now()).kind == behaviorStallHealth {
		<-r.Context().Done()
		return
	}
	switch e.mode.Load().current(time.Now().Add(-e.spec.EndpointLag)).kind {
	case behaviorDrain, behaviorLieUnhealthy:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

// serveGuide writes a body of a size given in bytes. Its content depends on
// the size alone, so that any instance may continue it.
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
