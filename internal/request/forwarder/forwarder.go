// Package forwarder is the entry side of a node: it takes callers' requests,
// routes them to a service, tries instances of it within the retry rules, and
// passes the whole answer on.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{Instance: "vitrina-1", Snapshots: p, Picker: picker, ...})
//	http.Handle("/", f)
//
// A caller gets either the whole answer of one upstream, or a typed refusal at
// once, or a broken connection. A request that is not repeatable is tried
// again only if the earlier attempt is proved not to have run.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/counter"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Query is what a choice depends on.
type Query struct {
	Service   *compiler.Service
	Instances []*registrar.Instance
	// Exclude lists the ids of instances that were tried already.
	Exclude []string
	// Work is how long the route's requests take on an instance that nothing
	// slows; 0 if that is not known.
	Work time.Duration
	// Goal is the time within which an answer is worth most; 0 for none.
	Goal time.Duration
	// Large tells that the answer is large.
	Large bool
	Now   time.Time
}

// Choice is the instance that was picked.
type Choice struct {
	Instance *registrar.Instance
	// Candidates is what the choice was made from. Its JSON form is shown by
	// the explain command; it must not change any more.
	Candidates any
	// Spare tells that the instance has room and that nothing slows it, so that a
	// hedge takes nothing from others there.
	Spare bool
	// Home tells that the instance is in the failure domain of this node.
	Home bool
	// Grounds tells in a log line what the choice rests on; nil for nothing.
	Grounds zerolog.LogObjectMarshaler
}

// Picker chooses an instance. It reports false if none can take the request.
type Picker interface {
	Pick(q Query) (Choice, bool)
}

// Result is how one attempt ended.
type Result struct {
	// Latency is the time to the head of the answer.
	Latency time.Duration
	// Failed tells that the instance gave no good answer.
	Failed bool
	// Refused tells that there was no answer for which the instance is not to blame.
	Refused bool
	// Unreachable tells that no connection to the instance could be opened.
	Unreachable bool
}

// Observer learns from the path of requests how instances fare.
type Observer interface {
	// Observe tells the load that an instance reported, as in HeaderLoad.
	Observe(id string, incarnation uint64, load string, now time.Time)
	// Sent tells that an attempt was sent to an instance, Finished that it ended.
	Sent(id string)
	Finished(id string, result Result)
}

// Requester performs one exchange without any replay.
type Requester interface {
	DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits) (*http.Response, error)
}

// LocalServer serves the requests for the node's own upstream in process. Its
// error is a *refuser.Refusal.
type LocalServer interface {
	Exchange(ctx context.Context, req *http.Request) (*http.Response, error)
}

// Keys lets a request with an idempotency key run at most once. It keeps the
// keys whose home is the node's own instance.
type Keys interface {
	Begin(ctx context.Context, req keyer.Request) (*keyer.Run, *keyer.Response, error)
}

// Snapshots gives the configuration in force and the view of the fleet.
type Snapshots interface {
	Snapshot() *publisher.Snapshot
}

// Config lists the dependencies of a Forwarder. All but Local and Keys are needed.
type Config struct {
	// Instance is the id of the node's own instance.
	Instance  string
	Snapshots Snapshots
	Picker    Picker
	Observer  Observer
	Requester Requester
	// Local is nil if the node has no upstream.
	Local LocalServer
	// Keys is nil if the node keeps no keys.
	Keys Keys
	// Placements is how many attempts of a request may reach no upstream beside
	// those that the service allows.
	Placements int
	Explainer  *explainer.Explainer
	Scope      tally.Scope
	Log        zerolog.Logger
}

// Forwarder handles callers' requests.
type Forwarder struct {
	cfg   Config
	works works
	// patiences tells how long callers have waited before they sent a request.
	patiences patiences
	budgets   *retrier.Budgets
	refusals  *counter.Counter
	retries   *counter.Counter
	denials   *counter.Counter
	aborts    *counter.Counter
	requests  tally.Counter
	// served and failed bound the lines on requests that ended well and badly.
	served, failed *logger.Budget
	latencies      *latencies
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		cfg:      cfg,
		budgets:  retrier.NewBudgets(),
		refusals: counter.New(cfg.Scope, "refusals"),
		retries:  counter.New(cfg.Scope, "retries"),
		denials:  counter.New(cfg.Scope, "retries_denied"),
		aborts:   counter.New(cfg.Scope, "answers_aborted"),
		requests: cfg.Scope.Counter("requests"),
		served:   logger.NewBudget(servedLinesPerSecond),
		failed:   logger.NewBudget(failedLinesPerSecond),

		latencies: newLatencies(cfg.Scope),
	}
}

// SaveRetries sets how many retries the node saves up for each service, beside
// the share of fresh requests.
func (f *Forwarder) SaveRetries(n int) { f.budgets.Save(n) }

// ServeHTTP answers one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Inc(1)
	id := requestID(r)
	w.Header().Set(classifier.HeaderRequestID, id)
	trace := explainer.NewTrace(id, r.Method, r.URL.Path, time.Now())
	var route route
	defer func() { f.finish(trace, &route) }()
	route, refusal := f.route(r)
	if refusal != nil {
		f.refuseEarly(w, r, trace, refusal)
		return
	}
	trace.SetService(route.service.Name())
	ctx, cancel := context.WithTimeout(r.Context(), route.timeout)
	defer cancel()
	c := newCall(ctx, f, r, route, trace)
	if refusal := c.holdBody(w); refusal != nil {
		f.refuseEarly(w, r, trace, refusal)
		return
	}
	resp, refusal := c.serve()
	if refusal != nil {
		f.refuse(w, trace, refusal)
		return
	}
	defer func() { resp.Body.Close() }() // The body may be replaced by its continuation.
	c.answer(w, resp)
}

// refuseEarly refuses a request before its key, if it has one, was looked at.
func (f *Forwarder) refuseEarly(w http.ResponseWriter, r *http.Request, trace *explainer.Trace, refusal *refuser.Refusal) {
	if r.Header.Get(classifier.HeaderIdempotencyKey) != "" {
		refusal = unproved(refusal)
	}
	f.refuse(w, trace, refusal)
}

// refuse answers with a refusal, counts it and logs it.
func (f *Forwarder) refuse(w http.ResponseWriter, trace *explainer.Trace, refusal *refuser.Refusal) {
	f.refusals.Inc(refusal.Reason())
	status := refusal.Write(w, f.cfg.Instance)
	trace.End(time.Now(), status, refusal.Outcome(), refusal.Reason())
}

// hostname returns the host of a request without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
