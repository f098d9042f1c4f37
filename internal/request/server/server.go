// Package server is the serving side of a node. It admits requests to the node's own
// upstream and returns the response or a typed refusal.
//
// # Usage
//
//	s := server.New(server.Config{Instance: "vitrina-1", Service: "vitrina", ...})
//	resp, err := s.Exchange(ctx, req) // In process, from the entry side.
//	http.Handle("/", s)               // From other nodes.
//	...
//	s.Leave()
//	err := s.Drain(ctx)
//
// The outcome not-run is returned only if no byte of the request was written to the
// upstream, or if the upstream itself declared it.
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
	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// refusalLinesPerSecond limits the log lines of refused requests.
const refusalLinesPerSecond = 50

// Result is the result of one admitted request.
type Result struct {
	// Latency is the time from admission until the response header.
	Latency time.Duration
	// Failed reports whether there was an error, a shed request or a 5xx status.
	Failed bool
	// Abandoned reports whether the request was canceled or never sent. The result then
	// says nothing about the upstream.
	Abandoned bool
}

// Permit allows sending one request to the upstream.
type Permit interface {
	// UnslowedLatency estimates what the measured latency would have been without a
	// slowdown of the upstream. It returns false if there is no estimate.
	UnslowedLatency(latency time.Duration) (time.Duration, bool)
	// Done releases the slot. It must be called exactly once.
	Done(Result)
}

// AdmissionRequest holds what admission needs to know about one request.
type AdmissionRequest struct {
	Priority compiler.Priority
	Deadline time.Time
	// LatencyGoalTime is the time until which a response is worth most; the zero time
	// stands for the deadline.
	LatencyGoalTime time.Time
	// ExpectedWork is the expected duration on an upstream without a slowdown; 0 if
	// unknown.
	ExpectedWork time.Duration
	// Retried reports whether this is not the first attempt of the request.
	Retried bool
	// PreferLocal reports whether a wait at this instance is better than an attempt at one
	// in another failure domain.
	PreferLocal bool
}

// Admitter limits the concurrent requests at the upstream.
type Admitter interface {
	// Admit returns a permit, or an error that may be an AdmissionRefusal.
	Admit(ctx context.Context, req AdmissionRequest) (Permit, error)
	// Load returns the current load in the format of HeaderLoad.
	Load() string
	// Leave makes Admit refuse all further requests.
	Leave()
}

// AdmissionRefusal is the error of an Admitter that refused a request.
type AdmissionRefusal interface {
	error
	Reason() classifier.Reason
	RetryAfter() time.Duration
}

// Requester sends a request once and returns the response. It never replays a request.
type Requester interface {
	DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits) (*http.Response, error)
}

// Link schedules large responses on the network link of the instance.
type Link interface {
	// Begin waits until a response of the given size may be sent and returns its body,
	// which must be closed.
	Begin(ctx context.Context, size int, body io.ReadCloser) io.ReadCloser
}

// SnapshotSource returns the configuration in force.
type SnapshotSource interface {
	Snapshot() *publisher.Snapshot
}

// UpstreamTracker identifies the process that currently serves the upstream's address.
type UpstreamTracker interface {
	// Current returns its id and whether it accepts new requests.
	Current() (id string, available bool)
}

// Notices exchanges with other nodes what the upstream says of itself, in the format of
// HeaderUpstreamNotice.
type Notices interface {
	// Current returns what the upstream says now, or "" if that is nothing.
	Current() string
	// Apply applies what the upstream has said to another node.
	Apply(notice string)
}

// Quarantine keeps requests that crash upstreams from running. It returns a *refuser.Refusal for a
// request that must not run now.
type Quarantine interface {
	// Check may read the start of the body, and returns another error if that fails.
	Check(r *fingerprinter.Request) error
	// Start records that a request is about to be sent, until release is called. Check must have
	// been called before.
	Start(r *fingerprinter.Request) (release func(), err error)
}

// CrashWatcher follows the requests at the upstream.
type CrashWatcher interface {
	// Start returns the run of a request that is about to be sent.
	Start(id string, r *fingerprinter.Request) *crashwatcher.Run
}

// Config holds the dependencies of a Server. All are required unless noted.
type Config struct {
	// Instance is the id of the node's own instance, Service the name of its service.
	Instance, Service string
	// Upstream is the address of the upstream.
	Upstream  netip.AddrPort
	Requester Requester
	Admitter  Admitter
	Snapshots SnapshotSource
	Link      Link
	// CrashWatcher and Quarantine are nil if requests that crash the upstream are not recognized.
	CrashWatcher CrashWatcher
	Quarantine   Quarantine
	// UpstreamTracker is nil if the upstream sends no heartbeats.
	UpstreamTracker UpstreamTracker
	// Notices is nil if no notices are exchanged.
	Notices Notices
	Scope   tally.Scope
	Log     zerolog.Logger
}

// Server serves the requests for the node's own upstream.
type Server struct {
	cfg Config
	// instance is the value of HeaderInstance. It is shared by all responses and must
	// not be modified.
	instance []string
	refusals *counter.Counter
	// refusalLog limits the log lines of refused requests.
	refusalLog        *logger.Limiter
	admissionWaits    tally.Histogram
	upstreamLatencies tally.Histogram
	inFlight          atomic.Int64
	// openResponses counts the requests on hijacked connections whose responses are not
	// yet written or aborted.
	openResponses atomic.Int64
	leaving       atomic.Bool
	// idle receives a token when the node is leaving and nothing is in flight.
	idle chan struct{}
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{
		cfg:               cfg,
		instance:          []string{cfg.Instance},
		refusals:          counter.New(cfg.Scope, "serving_refusals"),
		refusalLog:        logger.NewLimiter(refusalLinesPerSecond),
		admissionWaits:    cfg.Scope.Histogram("admission_wait", exporter.LatencyBuckets),
		upstreamLatencies: cfg.Scope.Histogram("upstream_latency", exporter.LatencyBuckets),
		idle:              make(chan struct{}, 1),
	}
}

// Drain waits until nothing is in flight or ctx is done. It must follow Leave, as the
// end of the last request is signaled only while leaving.
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

// Exchange admits req, sends it to the upstream and returns the response. It modifies the
// headers of req. Errors are of type *refuser.Refusal. The slot of the upstream is held
// until the response body is read to its end or closed.
func (s *Server) Exchange(ctx context.Context, req *http.Request) (*http.Response, error) {
	id := req.Header.Get(classifier.HeaderRequestID)
	goalMillis := req.Header.Get(classifier.HeaderDue)
	start := time.Now()
	resp, refusal := s.exchange(ctx, req)
	if refusal != nil {
		s.refusals.Inc(refusal.Reason())
		s.refusalLog.Limit(s.cfg.Log.Warn()).Str("request", id).Str("reason", string(refusal.Reason())).
			Stringer("outcome", refusal.Outcome()).Str("due-ms", goalMillis).Dur("after-ms", time.Since(start)).
			Str("load", s.cfg.Admitter.Load()).Dur("retry-after-ms", refusal.RetryAfter()).AnErr("cause", refusal.Unwrap()).
			Msg("Request not served.")
		return nil, refusal
	}
	return resp, nil
}

// InFlight returns the number of requests being admitted or served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Leave makes the server refuse all further requests. Requests in flight continue.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.cfg.Admitter.Leave()
	s.signalIdle()
}

// ServeHTTP serves a request of another node. If it can hijack the connection, it also
// serves the following requests on it, and returns when the connection has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.serveHijacked(w, r) {
		s.serve(w, r)
	}
}

// serveHijacked hijacks the connection of r and serves r and the requests that follow.
// It reports false if r was not served.
func (s *Server) serveHijacked(w http.ResponseWriter, r *http.Request) bool {
	if !responder.CanHijack(w, r) {
		return false
	}
	if r.ContentLength != 0 {
		body, err := relayer.BufferBody(r)
		if body == nil || err != nil {
			return false
		}
		r = r.WithContext(r.Context()) // A copy: a handler must not modify its request.
		r.Body = requester.NewBytesBody(body)
	}
	rs := responder.Hijack(w, r)
	if rs == nil {
		s.serve(w, r)
		return true
	}
	rs.Serve(r, s)
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
	body, err := relayer.BufferBody(r)
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
	s.respond(w, r, resp)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	h := w.Header()
	for _, name := range [...]string{classifier.HeaderOutcome, classifier.HeaderInstance, classifier.HeaderRetried, classifier.HeaderWork} {
		if value := resp.Header[name]; value != nil {
			h[name] = value
		}
	}
	s.setState(h)
	if mayBeLarge(resp) {
		if size := bufferResponse(resp); size >= minPacedResponse {
			resp.Body = s.cfg.Link.Begin(r.Context(), size, resp.Body)
			defer resp.Body.Close()
		}
	}
	if err := relayer.Relay(w, resp); err != nil {
		relayer.Abort(w, r)
	}
}

// setState adds the load of the upstream and what it says of itself to the header of a
// response to another node.
func (s *Server) setState(h http.Header) {
	h.Set(classifier.HeaderLoad, s.cfg.Admitter.Load())
	if s.cfg.Notices == nil {
		return
	}
	if notice := s.cfg.Notices.Current(); notice != "" {
		h.Set(classifier.HeaderUpstreamNotice, notice)
	}
}

func (s *Server) refuse(w http.ResponseWriter, refusal *refuser.Refusal) {
	s.setState(w.Header())
	refusal.Write(w, s.cfg.Instance)
}

// enter counts a request as in flight and reports whether it may proceed. It counts
// before it reads leaving, so that Drain misses no accepted request.
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

// BeginRequest implements responder.Tracker. It is called before the handler of a request
// on a hijacked connection.
func (s *Server) BeginRequest() { s.openResponses.Add(1) }

// EndRequest implements responder.Tracker. It is called once the response is written or
// aborted.
func (s *Server) EndRequest() {
	s.openResponses.Add(-1)
	s.signalIdle()
}

func (s *Server) busy() bool { return s.inFlight.Load() > 0 || s.openResponses.Load() > 0 }

func (s *Server) signalIdle() {
	if !s.leaving.Load() || s.busy() {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}
