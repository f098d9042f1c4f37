package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// firstAttempt is the HeaderHop value of a first attempt. The values of later ones are
// greater, also when compared as strings.
const firstAttempt = "1"

// firstDepth is the HeaderDepth value of a request that no other request made.
const firstDepth = "1"

// nodeHeaderPrefix is the common prefix of the headers that nodes set.
const nodeHeaderPrefix = "Banyanscale-"

// doneValue is the value of HeaderOutcome on a response of the upstream. It is shared by
// all responses and must not be modified.
var doneValue = []string{classifier.Done.String()}

// exchange admits and sends req unless the node is leaving. The request counts as in
// flight until its response has ended.
func (s *Server) exchange(ctx context.Context, req *http.Request) (*http.Response, *refuser.Refusal) {
	if notice := req.Header.Get(classifier.HeaderUpstreamNotice); notice != "" && s.cfg.Notices != nil {
		s.cfg.Notices.Apply(notice)
	}
	if !s.enter() {
		return nil, refuser.New(classifier.NotRun, classifier.ReasonLeaving)
	}
	inFlight := false
	open := s.open.Begin(req.Header.Get(classifier.HeaderRequestID), req.Method, req.URL.Path)
	defer func() {
		if !inFlight {
			open.End()
			s.exit()
		}
	}()
	resp, refusal := s.admitAndSend(ctx, req, open)
	inFlight = refusal == nil // Then the end of the response calls exit.
	return resp, refusal
}

// admitAndSend waits for a slot, sends req to the upstream and returns the response. It
// checks the upstream again after the wait, as it may have changed.
func (s *Server) admitAndSend(ctx context.Context, req *http.Request, open *tracker.Request) (*http.Response, *refuser.Refusal) {
	upstreamDeadline := upstreamDeadline(ctx, req.Header)
	if refusal := s.evacuationRefusal(); refusal != nil {
		return nil, refusal
	}
	if refusal := s.setUpstreamID(req); refusal != nil {
		return nil, refusal
	}
	tracked, refusal := s.newTrackedRun(ctx, req)
	if refusal != nil {
		return nil, refusal
	}
	spec := s.spec()
	open.Enter(tracker.Queued)
	permit, refusal := s.admit(ctx, req, spec, upstreamDeadline)
	if refusal != nil {
		return nil, refusal
	}
	setUpstreamHeaders(req, upstreamDeadline)
	if refusal = s.evacuationRefusal(); refusal == nil {
		refusal = s.setUpstreamID(req)
	}
	if refusal == nil {
		refusal = tracked.start()
	}
	if refusal != nil {
		permit.Done(Result{Abandoned: true})
		return nil, refusal
	}
	open.Enter(tracker.Running)
	return s.send(ctx, req, spec.StallTimeout, permit, tracked, open)
}

// send sends an admitted request to the upstream and returns the response.
func (s *Server) send(
	ctx context.Context, req *http.Request, stallTimeout time.Duration, permit Permit, tracked *trackedRun, open *tracker.Request,
) (*http.Response, *refuser.Refusal) {
	returned := false
	defer func() {
		if !returned { // A panic must not keep the slot.
			tracked.end(crashwatcher.Abandoned)
			permit.Done(Result{Abandoned: true})
		}
	}()
	body := timeBody(req)
	start := time.Now()
	resp, err := s.cfg.Requester.DoLimited(ctx, s.cfg.Upstream, req, requester.Limits{StallTimeout: stallTimeout})
	latency := time.Since(start) - body.wait()
	returned = true
	if err != nil {
		refusal := refuser.FromError(err)
		tracked.end(failureEnding(refusal))
		abandoned := refusal.Reason() == classifier.ReasonCanceled
		permit.Done(Result{Latency: latency, Failed: !abandoned, Abandoned: abandoned})
		return nil, refusal
	}
	if refusal := shedRefusal(resp); refusal != nil {
		tracked.end(crashwatcher.NotRun)
		resp.Body.Close()
		permit.Done(Result{Latency: latency, Failed: true})
		return nil, refusal
	}
	s.upstreamLatencies.RecordDuration(latency)
	s.replaceNodeHeaders(resp)
	if unslowed, ok := permit.UnslowedLatency(latency); ok {
		resp.Header[classifier.HeaderWork] = []string{strconv.FormatInt(unslowed.Milliseconds(), 10)}
	}
	release := func() {
		permit.Done(Result{Latency: latency, Failed: resp.StatusCode >= http.StatusInternalServerError})
		open.End()
		s.exit()
	}
	if resp.Body == http.NoBody {
		tracked.end(crashwatcher.Responded)
		release()
		return resp, nil
	}
	open.Enter(tracker.Responding)
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: release, tracked: tracked}
	return resp, nil
}

// admit waits for a slot of the upstream.
func (s *Server) admit(
	ctx context.Context, req *http.Request, spec compiler.ServiceSpec, deadline time.Time,
) (Permit, *refuser.Refusal) {
	queuedAt := time.Now()
	permit, err := s.cfg.Admitter.Admit(ctx, AdmissionRequest{
		Priority:        priorityFor(req.Header.Get(classifier.HeaderPriority), spec.Priority),
		Deadline:        deadline,
		LatencyGoalTime: latencyGoalTime(req.Header),
		ExpectedWork:    parseMillis(req.Header.Get(classifier.HeaderWork)),
		Retried:         req.Header.Get(classifier.HeaderHop) > firstAttempt,
		PreferLocal:     req.Header.Get(classifier.HeaderStay) != "",
		Organisation:    req.Header.Get(classifier.HeaderOrganisation),
		Nested:          isNested(req.Header),
	})
	if err != nil {
		return nil, admissionRefusal(err)
	}
	s.admissionWaits.RecordDuration(time.Since(queuedAt))
	return permit, nil
}

// isNested reports whether a running request made the call: it is not the first in its chain.
func isNested(h http.Header) bool {
	depth := h.Get(classifier.HeaderDepth)
	return depth != "" && depth != firstDepth
}

// latencyGoalTime returns the latency-goal time of a request, or the zero time if the
// request names none.
func latencyGoalTime(h http.Header) time.Time {
	value := h.Get(classifier.HeaderDue)
	if value == "" {
		return time.Time{}
	}
	return time.Now().Add(parseMillis(value))
}

// parseMillis parses a header value in milliseconds. It returns 0 for an invalid value.
func parseMillis(value string) time.Duration {
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// setUpstreamID sets HeaderUpstream of req to the id of the current upstream. It returns a
// refusal if the upstream is not available.
func (s *Server) setUpstreamID(req *http.Request) *refuser.Refusal {
	if s.cfg.UpstreamTracker == nil {
		return nil
	}
	id, available := s.cfg.UpstreamTracker.Current()
	if !available {
		return refuser.New(classifier.NotRun, classifier.ReasonUpstream)
	}
	req.Header[classifier.HeaderUpstream] = []string{id}
	return nil
}

// spec returns the settings of the service, or the defaults if it is not configured.
func (s *Server) spec() compiler.ServiceSpec {
	if cfg := s.cfg.Snapshots.Snapshot().Configuration(); cfg != nil {
		if service := cfg.Service(s.cfg.Service); service != nil {
			return service.Spec()
		}
	}
	return compiler.DefaultServiceSpec(s.cfg.Service)
}

// replaceNodeHeaders removes the node headers that the upstream set and adds the node's
// own. Only HeaderRetried of a 503 is kept.
func (s *Server) replaceNodeHeaders(resp *http.Response) {
	retried := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(classifier.HeaderRetried) == "1"
	for name := range resp.Header {
		if strings.HasPrefix(name, nodeHeaderPrefix) {
			delete(resp.Header, name)
		}
	}
	resp.Header[classifier.HeaderOutcome] = doneValue
	resp.Header[classifier.HeaderInstance] = s.instance
	if retried {
		resp.Header.Set(classifier.HeaderRetried, "1")
	}
}

// priorityFor returns the named priority, but at most highest. It returns highest if the
// name is empty or unknown.
func priorityFor(name string, highest compiler.Priority) compiler.Priority {
	switch name {
	case "low":
		return compiler.PriorityLow
	case "normal":
		return min(compiler.PriorityNormal, highest)
	default:
		return highest
	}
}

// upstreamDeadline returns the time by which the upstream must respond to a request: that of ctx,
// or an earlier one that the request names. It is zero if there is none.
func upstreamDeadline(ctx context.Context, h http.Header) time.Time {
	deadline, bounded := ctx.Deadline()
	limit := h.Get(classifier.HeaderUpstreamTimeout)
	if limit == "" {
		return deadline
	}
	if earlier := time.Now().Add(parseMillis(limit)); !bounded || earlier.Before(deadline) {
		return earlier
	}
	return deadline
}

// setUpstreamHeaders removes headers that are meant for nodes only and sets the
// remaining timeout.
func setUpstreamHeaders(req *http.Request, deadline time.Time) {
	delete(req.Header, classifier.HeaderHop)
	delete(req.Header, classifier.HeaderService)
	delete(req.Header, classifier.HeaderDue)
	delete(req.Header, classifier.HeaderWork)
	delete(req.Header, classifier.HeaderStay)
	delete(req.Header, classifier.HeaderUpstreamNotice)
	delete(req.Header, classifier.HeaderUpstreamTimeout)
	if !deadline.IsZero() {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
}

// shedRefusal returns a refusal if the upstream shed the request and declared that it
// did not run it; a 503 status alone does not prove that. Otherwise it returns nil.
func shedRefusal(resp *http.Response) *refuser.Refusal {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	verdict := classifier.FromResponse(resp, nil)
	if verdict.Outcome() != classifier.NotRun {
		return nil
	}
	refusal := refuser.New(classifier.NotRun, classifier.ReasonShed).WithRetryAfter(verdict.RetryAfter())
	if resp.Header.Get(classifier.HeaderRetried) == "1" {
		return refusal.WithRetried()
	}
	return refusal
}

// admissionRefusal converts an error of the Admitter. Nothing has been sent yet, so that
// the outcome is always not-run.
func admissionRefusal(err error) *refuser.Refusal {
	var refused AdmissionRefusal
	if errors.As(err, &refused) {
		return refuser.New(classifier.NotRun, refused.Reason()).WithRetryAfter(refused.RetryAfter())
	}
	if errors.Is(err, context.Canceled) {
		return refuser.New(classifier.NotRun, classifier.ReasonCanceled)
	}
	return refuser.New(classifier.NotRun, classifier.ReasonDeadline)
}

// releasingBody is a response body that releases the slot when it ends or is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
	tracked *trackedRun
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.tracked.end(bodyEnding(err))
		b.once.Do(b.release)
	}
	return n, err
}

// Close closes the response and releases the slot.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.tracked.end(crashwatcher.Abandoned)
	b.once.Do(b.release)
	return err
}
