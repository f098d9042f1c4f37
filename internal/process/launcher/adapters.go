package launcher

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/measurement/gauger"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/measurement/watcher"
	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/coldlimiter"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// pickerAdapter implements forwarder.Picker with a picker.Picker.
type pickerAdapter struct {
	picker *picker.Picker
	// observeOwnLoad records a load sample of the node's own upstream, which needs no probe.
	observeOwnLoad func(service string, now time.Time)
	// failureDomain is the failure domain of this node.
	failureDomain string
}

// Pick implements forwarder.Picker.
func (p pickerAdapter) Pick(q forwarder.Query) (forwarder.Choice, bool) {
	p.observeOwnLoad(q.Service.Name(), q.Now)
	choice, ok := p.picker.Pick(picker.Query{
		Service:       q.Service,
		Instances:     q.Instances,
		Exclude:       q.Exclude,
		ExpectedWork:  q.ExpectedWork,
		TimeToGoal:    q.TimeToGoal,
		LargeResponse: q.LargeResponse,
		LargeRequest:  q.LargeRequest,
		SendTime:      q.SendTime,
		Now:           q.Now,
	})
	if !ok {
		return forwarder.Choice{}, false
	}
	return forwarder.Choice{
		Instance:          choice.Instance(),
		Candidates:        candidates(choice.Candidates()),
		HasSpareCapacity:  choice.HasSpareCapacity(),
		RateLimited:       choice.Chosen().Load().Rate().Limited(),
		SameFailureDomain: choice.Instance().FailureDomain() == p.failureDomain,
		LogFields:         choiceFields{choice.Chosen(), len(choice.Candidates())},
	}, true
}

// choiceFields writes the data behind a choice to a log line.
type choiceFields struct {
	chosen     picker.Candidate
	considered int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (f choiceFields) MarshalZerologObject(e *zerolog.Event) {
	load := f.chosen.Load()
	e.Str("why", f.chosen.Reason()).Int("considered", f.considered).
		Float64("expected-ms", milliseconds(f.chosen.Expected())).Float64("sample-age-ms", milliseconds(f.chosen.SampleAge())).
		Int("in-flight", load.InFlight()).Int("queued", load.Queued()).Int("limit", load.Limit()).
		Int("slowness-percent", load.SlownessPercent())
	if rate := load.Rate(); rate.Limited() {
		e.Float64("rate-limit", rate.PerSecond).Float64("rate-age-ms", milliseconds(rate.Age)).
			Int("rate-left", rate.Left).Float64("rate-wait-ms", milliseconds(rate.Wait))
	}
}

// candidates lists the candidates of a choice as JSON.
type candidates []picker.Candidate

// candidateView is the JSON form of one candidate.
type candidateView struct {
	Instance   string  `json:"instance"`
	Why        string  `json:"why"`
	ExpectedMS float64 `json:"expected-ms"`
	Occupancy  int     `json:"occupancy"`
	Load       string  `json:"load,omitempty"`
	SampleMS   float64 `json:"sample-age-ms,omitempty"`
}

// MarshalJSON implements json.Marshaler. It runs only when an explanation is requested.
func (c candidates) MarshalJSON() ([]byte, error) {
	views := make([]candidateView, len(c))
	for i, candidate := range c {
		views[i] = candidateView{
			Instance:   candidate.ID(),
			Why:        candidate.Reason(),
			ExpectedMS: milliseconds(candidate.Expected()),
			Occupancy:  candidate.Occupancy(),
			SampleMS:   milliseconds(candidate.SampleAge()),
		}
		if candidate.Load() != (sampler.Load{}) {
			views[i].Load = candidate.Load().String()
		}
	}
	return json.Marshal(views)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// loadObserver records loads and results of attempts in the sample pool, and reports
// instances that could not be reached to membership.
type loadObserver struct {
	pool              *sampler.Pool
	reportUnreachable func(id string)
}

// ObserveLoad implements forwarder.Observer. It ignores a load that cannot be parsed.
func (o loadObserver) ObserveLoad(id string, incarnation uint64, load string, now time.Time) {
	if l, err := sampler.ParseLoad(load); err == nil {
		o.pool.Observe(id, incarnation, l, now)
	}
}

// AttemptSent implements forwarder.Observer.
func (o loadObserver) AttemptSent(id string) { o.pool.Sent(id) }

// AttemptFinished implements forwarder.Observer.
func (o loadObserver) AttemptFinished(id string, result forwarder.Result) {
	if result.Unreachable {
		o.reportUnreachable(id)
	}
	o.pool.Finished(id, sampler.Result{
		Latency: result.Latency,
		Failed:  result.Failed,
		Refused: result.Refused,
	})
}

// admitterAdapter implements server.Admitter with an admitter.Admitter.
type admitterAdapter struct {
	*admitter.Admitter
	// onCapacityRefusal is called for each refusal that a free slot would have prevented.
	onCapacityRefusal func()
}

// Admit implements server.Admitter.
func (a admitterAdapter) Admit(ctx context.Context, req server.AdmissionRequest) (server.Permit, error) {
	permit, err := a.Admitter.Admit(ctx, admitter.Request{
		Priority:        req.Priority,
		Deadline:        req.Deadline,
		LatencyGoalTime: req.LatencyGoalTime,
		ExpectedWork:    req.ExpectedWork,
		Retried:         req.Retried,
		PreferLocal:     req.PreferLocal,
		Organisation:    req.Organisation,
		Nested:          req.Nested,
	})
	if err != nil {
		if isCapacityRefusal(err) {
			a.onCapacityRefusal()
		}
		return nil, err // The server reads the reason from the *admitter.Refusal.
	}
	return permitAdapter{permit}, nil
}

// isCapacityRefusal reports whether a free slot would have prevented the refusal.
func isCapacityRefusal(err error) bool {
	var refusal *admitter.Refusal
	return errors.As(err, &refusal) && refusal.Reason().LackOfRoom()
}

// Load implements server.Admitter.
func (a admitterAdapter) Load() string { return a.Admitter.Load().String() }

// permitAdapter implements server.Permit with an admitter.Permit.
type permitAdapter struct{ permit *admitter.Permit }

// UnslowedLatency implements server.Permit.
func (p permitAdapter) UnslowedLatency(latency time.Duration) (time.Duration, bool) {
	return p.permit.UnslowedLatency(latency)
}

// Done implements server.Permit.
func (p permitAdapter) Done(result server.Result) {
	p.permit.Done(admitter.Result{
		Latency:   result.Latency,
		Failed:    result.Failed,
		Abandoned: result.Abandoned,
	})
}

// observingRequester reports what the upstream says in its responses to the parts that act
// on it.
type observingRequester struct {
	server.Requester
	watcher     *watcher.Watcher
	gauger      *gauger.Gauger     // Nil if the upstream sends no heartbeats.
	enroller    *enroller.Enroller // Nil if the upstream sends no heartbeats.
	rateLimiter *ratelimiter.Limiter
	coldLimiter *coldlimiter.Limiter
}

// DoLimited implements server.Requester.
func (r observingRequester) DoLimited(
	ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits,
) (*http.Response, error) {
	sentAt := time.Now()
	id := req.Header.Get(classifier.HeaderUpstream)
	resp, err := r.Requester.DoLimited(ctx, addr, req, limits)
	observeBrokenConnection(r.coldLimiter, err, r.enroller != nil)
	if err != nil {
		return nil, err // A *requester.Error, which the server reads.
	}
	draining := resp.Header.Get(classifier.HeaderDraining) != ""
	r.watcher.ObserveResponse(draining)
	r.observeReport(resp.Header.Get(classifier.HeaderUpstreamLoad))
	if r.enroller != nil && draining {
		r.enroller.RecordDraining(id, time.Time{})
	}
	if r.isCurrent(id) {
		observeColdStatement(r.coldLimiter, resp.Header, sentAt)
		r.rateLimiter.Observe(ratelimiter.Response{
			Limit:        resp.Header.Get(classifier.HeaderRateLimit),
			SentAt:       sentAt,
			Inconclusive: classifier.FromResponse(resp, nil).Outcome() == classifier.NotRun,
		})
	}
	return resp, nil
}

// isCurrent reports whether the upstream with the given id was not replaced.
func (r observingRequester) isCurrent(id string) bool {
	return r.enroller == nil || r.enroller.Matches(id, time.Time{})
}

// observeReport passes the load report of a response to the gauger. It ignores a report
// that cannot be parsed.
func (r observingRequester) observeReport(header string) {
	if r.gauger == nil || header == "" {
		return
	}
	if report, err := gauger.ParseReport(header); err == nil {
		r.gauger.Observe(report)
	}
}

// probeTransport sends load probes over the process's datagram socket.
type probeTransport struct{ courier *courier.Courier }

// Send implements prober.Transport.
func (t probeTransport) Send(to netip.AddrPort, payload []byte) error {
	return t.courier.Send(courier.KindProbe, to, payload)
}
