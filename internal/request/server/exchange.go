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
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// firstAttempt is the value of HeaderHop of a request that was not tried before.
const firstAttempt = "1"

// ownPrefix starts the names of the headers of nodes.
const ownPrefix = "Banyanscale-"

// doneValue is the value of HeaderOutcome on an answer of the upstream. It is
// shared: it must not be changed.
var doneValue = []string{classifier.Done.String()}

func (s *Server) exchange(ctx context.Context, req *http.Request) (*http.Response, *refuser.Refusal) {
	if !s.enter() {
		return nil, refuser.New(classifier.NotRun, classifier.ReasonLeaving)
	}
	resp, refusal := s.admit(ctx, req)
	if refusal != nil {
		s.exit()
	}
	return resp, refusal
}

// admit waits for a slot and sends req to the upstream.
func (s *Server) admit(ctx context.Context, req *http.Request) (*http.Response, *refuser.Refusal) {
	if refusal := s.address(req); refusal != nil {
		return nil, refusal
	}
	spec := s.spec()
	deadline, _ := ctx.Deadline()
	priority := ParsePriority(req.Header.Get(classifier.HeaderPriority), spec.Priority)
	retried := req.Header.Get(classifier.HeaderHop) > firstAttempt
	arrived := time.Now()
	permit, err := s.cfg.Admitter.Admit(ctx, Work{
		Priority: priority,
		Deadline: deadline,
		Due:      dueAt(req.Header),
		Expected: milliseconds(req.Header.Get(classifier.HeaderWork)),
		Retried:  retried,
		Stays:    req.Header.Get(classifier.HeaderStay) != "",
	})
	if err != nil {
		return nil, admissionRefusal(err)
	}
	prepare(ctx, req)
	if refusal := s.address(req); refusal != nil {
		permit.Done(Result{Abandoned: true})
		return nil, refusal
	}
	start := time.Now()
	s.waits.RecordDuration(start.Sub(arrived))
	resp, err := s.cfg.Requester.DoLimited(ctx, s.cfg.Upstream, req, requester.Limits{StallTimeout: spec.StallTimeout})
	latency := time.Since(start)
	if err != nil {
		refusal := refuser.FromError(err)
		abandoned := refusal.Reason() == classifier.ReasonCanceled
		permit.Done(Result{Latency: latency, Failed: !abandoned, Abandoned: abandoned})
		return nil, refusal
	}
	if refusal := shed(resp); refusal != nil {
		resp.Body.Close()
		permit.Done(Result{Latency: latency, Failed: true})
		return nil, refusal
	}
	s.answers.RecordDuration(latency)
	s.mark(resp)
	if work, ok := permit.Work(latency); ok {
		resp.Header[classifier.HeaderWork] = []string{strconv.FormatInt(work.Milliseconds(), 10)}
	}
	end := func() {
		permit.Done(Result{Latency: latency, Failed: resp.StatusCode >= http.StatusInternalServerError})
		s.exit()
	}
	if resp.Body == http.NoBody {
		end()
		return resp, nil
	}
	resp.Body = &servedBody{ReadCloser: resp.Body, end: end}
	return resp, nil
}

// dueAt returns when the answer is due, or the zero time if the request does not say.
func dueAt(h http.Header) time.Time {
	value := h.Get(classifier.HeaderDue)
	if value == "" {
		return time.Time{}
	}
	return time.Now().Add(milliseconds(value))
}

// milliseconds returns the time that a header of a node names, or 0.
func milliseconds(value string) time.Duration {
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// address names the upstream that req is for, or refuses it while no new work
// may be sent there.
func (s *Server) address(req *http.Request) *refuser.Refusal {
	if s.cfg.Upstreams == nil {
		return nil
	}
	id, available := s.cfg.Upstreams.Current()
	if !available {
		return refuser.New(classifier.NotRun, classifier.ReasonUpstream)
	}
	req.Header[classifier.HeaderUpstream] = []string{id}
	return nil
}

// spec returns the settings of the service, or the defaults while there are none.
func (s *Server) spec() compiler.ServiceSpec {
	if cfg := s.cfg.Snapshots.Snapshot().Configuration(); cfg != nil {
		if service := cfg.Service(s.cfg.Service); service != nil {
			return service.Spec()
		}
	}
	return compiler.DefaultServiceSpec(s.cfg.Service)
}

// mark replaces the headers of nodes that the upstream set by the node's own.
// Only that it retried below is taken over, from a 503.
func (s *Server) mark(resp *http.Response) {
	retried := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(classifier.HeaderRetried) == "1"
	for name := range resp.Header {
		if strings.HasPrefix(name, ownPrefix) {
			delete(resp.Header, name)
		}
	}
	resp.Header[classifier.HeaderOutcome] = doneValue
	resp.Header[classifier.HeaderInstance] = s.instance
	if retried {
		resp.Header.Set(classifier.HeaderRetried, "1")
	}
}

// ParsePriority returns the class that a request names, at most highest. A
// request that names none has the highest.
func ParsePriority(name string, highest compiler.Priority) compiler.Priority {
	switch name {
	case "low":
		return compiler.PriorityLow
	case "normal":
		return min(compiler.PriorityNormal, highest)
	default:
		return highest
	}
}

// prepare sets the headers that the upstream sees.
func prepare(ctx context.Context, req *http.Request) {
	delete(req.Header, classifier.HeaderHop)
	delete(req.Header, classifier.HeaderService)
	delete(req.Header, classifier.HeaderDue)
	delete(req.Header, classifier.HeaderWork)
	delete(req.Header, classifier.HeaderStay)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(left, 10))
	}
}

// shed returns the refusal of an upstream that did no work for the request,
// and said so. No status alone proves that.
func shed(resp *http.Response) *refuser.Refusal {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	verdict := classifier.FromResponse(resp, nil)
	if verdict.Outcome() != classifier.NotRun {
		return nil
	}
	refusal := refuser.New(classifier.NotRun, classifier.ReasonShed).After(verdict.RetryAfter())
	if resp.Header.Get(classifier.HeaderRetried) == "1" {
		return refusal.MarkRetried()
	}
	return refusal
}

func admissionRefusal(err error) *refuser.Refusal {
	var refused AdmissionRefusal
	if errors.As(err, &refused) {
		return refuser.New(classifier.NotRun, refused.Reason()).After(refused.RetryAfter())
	}
	if errors.Is(err, context.Canceled) {
		return refuser.New(classifier.NotRun, classifier.ReasonCanceled)
	}
	return refuser.New(classifier.NotRun, classifier.ReasonDeadline)
}

// servedBody gives the slot back when the body of the answer ends.
type servedBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Read reads the body.
func (b *servedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.end)
	}
	return n, err
}

// Close ends the exchange.
func (b *servedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
