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
	"github.com/banyanscale/banyanscale/internal/process/gauger"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/process/watcher"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// choicePicker lets the entry side choose by a picker.Picker.
type choicePicker struct {
	picker *picker.Picker
	// observeOwn takes a sample of the node's own upstream, which costs nothing.
	observeOwn func(service string, now time.Time)
	// domain is the failure domain of this node.
	domain string
}

// Pick implements forwarder.Picker.
func (p choicePicker) Pick(q forwarder.Query) (forwarder.Choice, bool) {
	p.observeOwn(q.Service.Name(), q.Now)
	choice, ok := p.picker.Pick(picker.Query{
		Service:       q.Service,
		Instances:     q.Instances,
		Exclude:       q.Exclude,
		ExpectedWork:  q.ExpectedWork,
		TimeToGoal:    q.TimeToGoal,
		LargeResponse: q.LargeResponse,
		Now:           q.Now,
	})
	if !ok {
		return forwarder.Choice{}, false
	}
	return forwarder.Choice{
		Instance:          choice.Instance(),
		Candidates:        candidates(choice.Candidates()),
		SpareCapacity:     choice.HasSpareCapacity(),
		SameFailureDomain: choice.Instance().FailureDomain() == p.domain,
		LogFields:         grounds{choice.Chosen(), len(choice.Candidates())},
	}, true
}

// grounds writes into a log line what a choice rests on.
type grounds struct {
	chosen     picker.Candidate
	considered int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (g grounds) MarshalZerologObject(e *zerolog.Event) {
	load := g.chosen.Load()
	e.Str("why", g.chosen.Reason()).Int("considered", g.considered).
		Float64("expected-ms", milliseconds(g.chosen.Expected())).Float64("sample-age-ms", milliseconds(g.chosen.SampleAge())).
		Int("in-flight", load.InFlight()).Int("queued", load.Queued()).Int("limit", load.Limit()).
		Int("slowness-percent", load.SlownessPercent())
}

// candidates shows what a choice was made from in JSON.
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

// MarshalJSON implements json.Marshaler. It runs only when somebody asks for
// an explanation.
func (c candidates) MarshalJSON() ([]byte, error) {
	views := make([]candidateView, len(c))
	for i, one := range c {
		views[i] = candidateView{
			Instance:   one.ID(),
			Why:        one.Reason(),
			ExpectedMS: milliseconds(one.Expected()),
			Occupancy:  one.Occupancy(),
			SampleMS:   milliseconds(one.SampleAge()),
		}
		if one.Load() != (sampler.Load{}) {
			views[i].Load = one.Load().String()
		}
	}
	return json.Marshal(views)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// loadObserver feeds what the entry side sees into the pool of samples, and
// tells membership which instances could not be reached.
type loadObserver struct {
	pool              *sampler.Pool
	reportUnreachable func(id string)
}

// ObserveLoad implements forwarder.Observer. A load that cannot be read is as
// good as none.
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

// upstreamAdmitter lets the serving side admit by an admitter.Admitter.
type upstreamAdmitter struct {
	*admitter.Admitter
	// refusedForLoad is told of each refusal for want of a slot.
	refusedForLoad func()
}

// Admit implements server.Admitter.
func (a upstreamAdmitter) Admit(ctx context.Context, work server.AdmissionRequest) (server.Permit, error) {
	permit, err := a.Admitter.Admit(ctx, admitter.Request{
		Priority:        work.Priority,
		Deadline:        work.Deadline,
		LatencyGoalTime: work.LatencyGoalTime,
		ExpectedWork:    work.ExpectedWork,
		Retried:         work.Retried,
		PreferLocal:     work.PreferLocal,
	})
	if err != nil {
		if wantsSlot(err) {
			a.refusedForLoad()
		}
		return nil, err // A *admitter.Refusal, which the server reads.
	}
	return upstreamPermit{permit}, nil
}

// wantsSlot reports whether a refusal would not have been with a free slot.
func wantsSlot(err error) bool {
	var refusal *admitter.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason() {
	case classifier.ReasonQueueFull, classifier.ReasonQueueSlow, classifier.ReasonPreempted, classifier.ReasonDeadline:
		return true
	}
	return false
}

// Load implements server.Admitter.
func (a upstreamAdmitter) Load() string { return a.Admitter.Load().String() }

// upstreamPermit is an admitter's permit as the server uses it.
type upstreamPermit struct{ permit *admitter.Permit }

// UnslowedLatency implements server.Permit.
func (p upstreamPermit) UnslowedLatency(latency time.Duration) (time.Duration, bool) {
	return p.permit.NormalizedLatency(latency)
}

// Done implements server.Permit.
func (p upstreamPermit) Done(result server.Result) {
	p.permit.Done(admitter.Result{
		Latency:   result.Latency,
		Failed:    result.Failed,
		Abandoned: result.Abandoned,
	})
}

// watchedRequester tells the watcher what the upstream answers.
type watchedRequester struct {
	server.Requester
	watcher *watcher.Watcher
	gauger  *gauger.Gauger // Nil if the upstream reports nothing.
}

// DoLimited implements server.Requester.
func (r watchedRequester) DoLimited(
	ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits,
) (*http.Response, error) {
	resp, err := r.Requester.DoLimited(ctx, addr, req, limits)
	if err == nil {
		r.watcher.Answered(resp.Header.Get(classifier.HeaderDraining) != "")
		r.observe(resp.Header.Get(classifier.HeaderUpstreamLoad))
	}
	return resp, err
}

// observe takes in the report on an answer. One that cannot be read is as good
// as none.
func (r watchedRequester) observe(text string) {
	if r.gauger == nil || text == "" {
		return
	}
	if report, err := gauger.ParseReport(text); err == nil {
		r.gauger.Observe(report)
	}
}

// probeTransport sends load probes over the process's datagram socket.
type probeTransport struct{ courier *courier.Courier }

// Send implements prober.Transport.
func (t probeTransport) Send(to netip.AddrPort, payload []byte) error {
	return t.courier.Send(courier.KindProbe, to, payload)
}
