// Package forwarder implements the entry side of a node. It routes a caller's request to
// a service, tries instances of the service within the retry rules, and relays the
// response.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{Instance: "vitrina-1", Snapshots: p, Picker: picker, ...})
//	http.Handle("/", f)
//
// A caller receives the complete response of one upstream, a refusal with an outcome and a
// reason, or an aborted connection. A non-idempotent request is retried only if the
// earlier attempt is proved not to have run.
package forwarder

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/recognizer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/internal/telemetry/counter"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Forwarder handles callers' requests.
type Forwarder struct {
	cfg           Config
	startedAt     time.Time
	workEstimates workEstimates
	recognizer    *recognizer.Recognizer
	budgets       *retrier.Budgets
	refusals      *counter.Counter
	retries       *counter.Counter
	retryDenials  *counter.Counter
	aborts        *counter.Counter
	requests      tally.Counter
	// servedLog and failedLog limit the log lines of successful and failed requests.
	servedLog, failedLog *logger.Limiter
	latencies            *latencies
	// open are the requests that have not ended.
	open *tracker.Tracker
	cuts *counter.Counter
	// endsAt is when the stopping node interrupts its requests; nil unless that is known.
	endsAt atomic.Pointer[time.Time]
	// servesUntil is set to that time once no request is accepted that may last longer.
	servesUntil atomic.Pointer[time.Time]
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		cfg:          cfg,
		startedAt:    time.Now(),
		recognizer:   recognizer.New(),
		budgets:      retrier.NewBudgets(),
		refusals:     counter.New(cfg.Scope, "refusals"),
		retries:      counter.New(cfg.Scope, "retries"),
		retryDenials: counter.New(cfg.Scope, "retries_denied"),
		aborts:       counter.New(cfg.Scope, "answers_aborted"),
		requests:     cfg.Scope.Counter("requests"),
		servedLog:    logger.NewLimiter(servedLinesPerSecond),
		failedLog:    logger.NewLimiter(failedLinesPerSecond),
		open:         tracker.New(),
		cuts:         counter.New(cfg.Scope, "requests_cut"),

		latencies: newLatencies(cfg.Scope),
	}
}

// SetMaxSavedRetries sets the number of retries that the retry budget of each service can
// save up.
func (f *Forwarder) SetMaxSavedRetries(n int) { f.budgets.SetCapacity(n) }

// ServeHTTP handles one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Inc(1)
	id := requestID(r)
	w.Header().Set(classifier.HeaderRequestID, id)
	now := time.Now()
	trace := newTrace(id, r, now)
	attempt := callerAttempt(r, now)
	open := f.open.Begin(id, r.Method, r.URL.Path)
	defer open.End()
	var route route
	defer func() { f.finish(attempt, trace, &route) }()
	route, refusal := f.routeAfterStart(r, attempt)
	if refusal != nil {
		f.refuseEarly(w, r, trace, refusal)
		return
	}
	trace.SetService(route.service.Name())
	ctx, cancel := interruptible(r.Context(), route.timeout, w, open)
	defer cancel()
	c := newCall(ctx, f, r, route, trace, open)
	if refusal := c.leavingRefusal(); refusal != nil {
		f.refuseEarly(w, r, trace, refusal)
		return
	}
	if refusal := c.takeQuota(); refusal != nil {
		f.refuseEarly(w, r, trace, refusal)
		return
	}
	if refusal := c.bufferBody(w); refusal != nil {
		c.returnQuota(refusal)
		f.refuseEarly(w, r, trace, leavingIfStopped(ctx, refusal))
		return
	}
	if refusal := c.renewQuota(); refusal != nil {
		f.refuseEarly(w, r, trace, refusal)
		return
	}
	resp, refusal := c.serveUnlessStopped()
	if refusal != nil {
		c.returnQuota(refusal)
		f.refuse(w, trace, refusal)
		return
	}
	defer func() { resp.Body.Close() }() // respond may replace resp.Body.
	c.respond(w, resp)
}

// refuseEarly refuses a request before its idempotency key, if any, was looked up.
func (f *Forwarder) refuseEarly(w http.ResponseWriter, r *http.Request, trace *explainer.Trace, refusal *refuser.Refusal) {
	if r.Header.Get(classifier.HeaderIdempotencyKey) != "" {
		refusal = withUnknownOutcome(refusal)
	}
	f.refuse(w, trace, refusal)
}

// refuse writes a refusal, counts it and records it in the trace.
func (f *Forwarder) refuse(w http.ResponseWriter, trace *explainer.Trace, refusal *refuser.Refusal) {
	f.refusals.Inc(refusal.Reason())
	status := refusal.Write(w, f.cfg.Instance)
	trace.End(time.Now(), status, refusal.Outcome(), refusal.Reason())
}

// hostname returns host without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
