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
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/connection/responder"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/internal/telemetry/counter"
	"github.com/banyanscale/banyanscale/internal/telemetry/exporter"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// refusalLinesPerSecond limits the log lines of refused requests.
const refusalLinesPerSecond = 50

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
	// open are the requests in flight.
	open *tracker.Tracker
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
		open:              tracker.New(),
	}
}

// Drain waits until nothing is in flight or ctx is done. It must follow Leave, as the
// end of the last request is signaled only while leaving.
func (s *Server) Drain(ctx context.Context) error {
	for s.busy() {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests in flight, %d responses to other nodes open", s.inFlight.Load(), s.openResponses.Load())
		}
	}
	return nil
}

// ReportOpen logs the requests in flight.
func (s *Server) ReportOpen() {
	s.open.Log(s.cfg.Log, "Request is in flight at the end of the stop.")
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
	} else if r.ContentLength != 0 {
		limitReads(ctx, w)
		// Closing the body would read the rest, which the sender may hold back until it is asked.
		req.Body = io.NopCloser(r.Body)
	}
	stall := &stallReporter{w: w, streamed: body == nil && r.ContentLength != 0}
	resp, err := s.Exchange(requester.WithStallHandler(ctx, stall.report), req)
	if err != nil {
		s.refuse(w, refuser.FromError(err))
		return
	}
	defer resp.Body.Close()
	s.respond(w, r, resp, stall)
}

// limitReads ends reads of a streamed body at the deadline of ctx. Otherwise a sender that stalls
// would hold what the request holds.
func limitReads(ctx context.Context, w http.ResponseWriter) {
	deadline, _ := ctx.Deadline()
	// A writer without deadlines has no connection that could stall.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, resp *http.Response, stall *stallReporter) {
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
	stall.responding = true
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
