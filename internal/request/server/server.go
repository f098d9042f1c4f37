// Package server is the serving side of a node: it admits requests to the
// node's own upstream and tells what became of them.
//
// # Usage
//
//	s := server.New(server.Config{Instance: "vitrina-1", Service: "vitrina", ...})
//	resp, err := s.Exchange(ctx, req) // in process, from the entry side
//	http.Handle("/", s)               // from other nodes
//	...
//	s.Leave()
//	err := s.Drain(ctx)
//
// A request is claimed as not-run only if no byte of it was written to the
// upstream, or if the upstream said so itself.
package server

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/connection/responder"
	"github.com/banyanscale/banyanscale/internal/process/counter"
	"github.com/banyanscale/banyanscale/internal/process/exporter"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// linesPerSecond bounds the log lines on requests that were not served.
const linesPerSecond = 50

// Result is how one admitted request ended.
type Result struct {
	// Latency is the time from admission to the head of the answer.
	Latency time.Duration
	// Failed tells that the upstream gave no good answer.
	Failed bool
	// Abandoned tells that the caller went away: the end says nothing about the upstream.
	Abandoned bool
}

// Permit is the leave to send one request to the upstream.
type Permit interface {
	// Work returns how long the upstream would have taken if nothing had slowed
	// it, given how long it took, and whether that can be told.
	Work(latency time.Duration) (time.Duration, bool)
	// Done gives the slot back. It must be called once.
	Done(Result)
}

// Work is what admission needs to know of one request.
type Work struct {
	Priority compiler.Priority
	Deadline time.Time
	// Due is when the answer is worth most; the zero time for the deadline.
	Due time.Time
	// Expected is how long the upstream works on it where nothing slows it; 0 if
	// that is not known.
	Expected time.Duration
	// Retried tells that another attempt went before.
	Retried bool
	// Stays tells that to wait here is better than to go elsewhere.
	Stays bool
}

// Admitter bounds the work of the upstream.
type Admitter interface {
	// Admit returns a permit, or an error that may be an AdmissionRefusal.
	Admit(ctx context.Context, work Work) (Permit, error)
	// Load returns the load as it stands in HeaderLoad.
	Load() string
	// Leave refuses all new work.
	Leave()
}

// AdmissionRefusal is the error of an Admitter that refused a request.
type AdmissionRefusal interface {
	error
	Reason() classifier.Reason
	RetryAfter() time.Duration
}

// Requester performs one exchange without any replay.
type Requester interface {
	DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits) (*http.Response, error)
}

// Link gives large answers their turns on the link of the instance.
type Link interface {
	// Begin waits for the turn of an answer of so many bytes, and returns its body,
	// which must be closed.
	Begin(ctx context.Context, size int, body io.ReadCloser) io.ReadCloser
}

// Snapshots gives the configuration in force.
type Snapshots interface {
	Snapshot() *publisher.Snapshot
}

// Upstreams knows which upstream runs at the upstream's address.
type Upstreams interface {
	// Current returns its id, and whether new work may be sent to it.
	Current() (id string, available bool)
}

// Config lists the dependencies of a Server. All but Upstreams are needed.
type Config struct {
	// Instance is the id of the node's own instance, Service its service.
	Instance, Service string
	// Upstream is where the upstream takes requests.
	Upstream  netip.AddrPort
	Requester Requester
	Admitter  Admitter
	Snapshots Snapshots
	Link      Link
	// Upstreams is nil if the upstream does not announce itself.
	Upstreams Upstreams
	Scope     tally.Scope
	Log       zerolog.Logger
}

// Server serves the requests for the node's own upstream.
type Server struct {
	cfg Config
	// instance is the value of HeaderInstance. It must not be changed.
	instance []string
	refusals *counter.Counter
	// lines bounds the log lines on requests that were not served.
	lines    *logger.Budget
	waits    tally.Histogram
	answers  tally.Histogram
	inFlight atomic.Int64
	// answering counts the answers that are on their way on connections that
	// were taken over.
	answering atomic.Int64
	leaving   atomic.Bool
	// idle has a token if the requests in flight came down to none while leaving.
	idle chan struct{}
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{
		cfg:      cfg,
		instance: []string{cfg.Instance},
		refusals: counter.New(cfg.Scope, "serving_refusals"),
		lines:    logger.NewBudget(linesPerSecond),
		waits:    cfg.Scope.Histogram("admission_wait", exporter.LatencyBuckets),
		answers:  cfg.Scope.Histogram("upstream_latency", exporter.LatencyBuckets),
		idle:     make(chan struct{}, 1),
	}
}

// Drain waits until nothing is in flight, or until ctx ends. It is of use
// after Leave.
func (s *Server) Drain(ctx context.Context) error {
	for s.busy() {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests in flight", s.inFlight.Load())
		}
	}
	return nil
}

// Exchange admits req, sends it to the upstream and returns the answer. The
// headers of req must be its own. Its error is a *refuser.Refusal. The slot of
// the upstream is held until the body of the answer is read or closed.
func (s *Server) Exchange(ctx context.Context, req *http.Request) (*http.Response, error) {
	id := req.Header.Get(classifier.HeaderRequestID)
	due := req.Header.Get(classifier.HeaderDue)
	start := time.Now()
	resp, refusal := s.exchange(ctx, req)
	if refusal != nil {
		s.refusals.Inc(refusal.Reason())
		s.lines.Line(s.cfg.Log.Warn()).Str("request", id).Str("reason", string(refusal.Reason())).
			Stringer("outcome", refusal.Outcome()).Str("due-ms", due).Dur("after-ms", time.Since(start)).
			Str("load", s.cfg.Admitter.Load()).Dur("retry-after-ms", refusal.RetryAfter()).AnErr("cause", refusal.Unwrap()).
			Msg("Request not served.")
		return nil, refusal
	}
	return resp, nil
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Leave refuses all new work from now on. What is in flight goes on.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.cfg.Admitter.Leave()
	s.signalIdle()
}

// ServeHTTP serves a request that another node sent here. It takes over the
// connection, and then returns when that has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.takeOver(w, r) {
		s.serve(w, r)
	}
}

// takeOver serves r and the requests that follow it on its connection, and
// reports whether it did.
func (s *Server) takeOver(w http.ResponseWriter, r *http.Request) bool {
	if !responder.Suits(w, r) {
		return false
	}
	if r.ContentLength != 0 {
		body, err := relayer.HoldBody(r)
		if body == nil || err != nil {
			return false
		}
		r = r.WithContext(r.Context())
		r.Body = requester.NewBytesBody(body)
	}
	p := responder.Take(w, r)
	if p == nil {
		s.serve(w, r)
		return true
	}
	p.Serve(r, s)
	return true
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(classifier.HeaderRequestID, r.Header.Get(classifier.HeaderRequestID))
	if r.Header.Get(classifier.HeaderService) != s.cfg.Service {
		s.refusals.Inc(classifier.ReasonWrongInstance)
		s.refuse(w, refuser.New(classifier.NotRun, classifier.ReasonWrongInstance))
		return
	}
	ms, err := strconv.ParseUint(r.Header.Get(classifier.HeaderTimeout), 10, 31)
	if err != nil {
		s.refusals.Inc(classifier.ReasonBadRequest)
		s.refuse(w, refuser.New(classifier.NotRun, classifier.ReasonBadRequest))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	req := relayer.NewRequest(r, relayer.CopyRequestHeader(r.Header))
	body, err := relayer.HoldBody(r)
	if err != nil {
		s.refusals.Inc(classifier.ReasonCanceled)
		s.refuse(w, refuser.New(classifier.NotRun, classifier.ReasonCanceled))
		return
	}
	if body != nil {
		req.Body = requester.NewBytesBody(body)
	}
	resp, err := s.Exchange(ctx, req)
	if err != nil {
		s.refuse(w, refuser.FromError(err))
		return
	}
	defer resp.Body.Close()
	s.answer(w, r, resp)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	h := w.Header()
	for _, name := range [...]string{classifier.HeaderOutcome, classifier.HeaderInstance, classifier.HeaderRetried, classifier.HeaderWork} {
		if value := resp.Header[name]; value != nil {
			h[name] = value
		}
	}
	h.Set(classifier.HeaderLoad, s.cfg.Admitter.Load())
	if mayBeLarge(resp) {
		if size := takeIn(resp); size >= largeAnswer {
			resp.Body = s.cfg.Link.Begin(r.Context(), size, resp.Body)
			defer resp.Body.Close()
		}
	}
	if err := relayer.Relay(w, resp); err != nil {
		relayer.Abort(w, r)
	}
}

func (s *Server) refuse(w http.ResponseWriter, refusal *refuser.Refusal) {
	w.Header().Set(classifier.HeaderLoad, s.cfg.Admitter.Load())
	refusal.Write(w, s.cfg.Instance)
}

// enter counts a request in, and reports whether it may go on. It counts
// before it looks, so that Drain misses no request that got in.
func (s *Server) enter() bool {
	s.inFlight.Add(1)
	if s.leaving.Load() {
		s.exit()
		return false
	}
	return true
}

func (s *Server) exit() {
	s.inFlight.Add(-1)
	s.signalIdle()
}

// Begin counts an answer on a connection that was taken over.
func (s *Server) Begin() { s.answering.Add(1) }

// End tells that the answer was written or given up.
func (s *Server) End() {
	s.answering.Add(-1)
	s.signalIdle()
}

func (s *Server) busy() bool { return s.inFlight.Load() > 0 || s.answering.Load() > 0 }

func (s *Server) signalIdle() {
	if !s.leaving.Load() || s.busy() {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}
