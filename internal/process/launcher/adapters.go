package launcher

import (
	"context"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/admitter"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/picker"
	"github.com/banyanscale/banyanscale/internal/request/server"
)

// choicePicker lets the entry side choose by a picker.Picker.
type choicePicker struct{ picker *picker.Picker }

// Pick implements forwarder.Picker.
func (p choicePicker) Pick(q forwarder.Query) (forwarder.Choice, bool) {
	choice, ok := p.picker.Pick(picker.Query{
		Service:   q.Service,
		Instances: q.Instances,
		Exclude:   q.Exclude,
		Now:       q.Now,
	})
	if !ok {
		return forwarder.Choice{}, false
	}
	return forwarder.Choice{Instance: choice.Instance(), Candidates: choice.Candidates()}, true
}

// loadObserver feeds what the entry side sees into the pool of samples.
type loadObserver struct{ pool *sampler.Pool }

// Observe implements forwarder.Observer. A load that cannot be read is as
// good as none.
func (o loadObserver) Observe(id string, incarnation uint64, load string, now time.Time) {
	if l, err := sampler.ParseLoad(load); err == nil {
		o.pool.Observe(id, incarnation, l, now)
	}
}

// Sent implements forwarder.Observer.
func (o loadObserver) Sent(id string) { o.pool.Sent(id) }

// Finished implements forwarder.Observer.
func (o loadObserver) Finished(id string, result forwarder.Result) {
	o.pool.Finished(id, sampler.Result{Latency: result.Latency, Failed: result.Failed})
}

// upstreamAdmitter lets the serving side admit by an admitter.Admitter.
type upstreamAdmitter struct{ *admitter.Admitter }

// Admit implements server.Admitter.
func (a upstreamAdmitter) Admit(ctx context.Context, work server.Work) (server.Permit, error) {
	permit, err := a.Admitter.Admit(ctx, admitter.Work{Priority: work.Priority, Deadline: work.Deadline})
	if err != nil {
		return nil, err // A *admitter.Refusal, which the server reads.
	}
	return upstreamPermit{permit}, nil
}

// Load implements server.Admitter.
func (a upstreamAdmitter) Load() string { return a.Admitter.Load().String() }

// upstreamPermit is an admitter's permit as the server uses it.
type upstreamPermit struct{ permit *admitter.Permit }

// Done implements server.Permit.
func (p upstreamPermit) Done(result server.Result) {
	p.permit.Done(admitter.Result{Latency: result.Latency, Failed: result.Failed})
}
