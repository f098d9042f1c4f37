// Package picker chooses the instance that a request is sent to.
//
// # Usage
//
//	p, err := picker.New(picker.Config{Pool: pool, Self: id, Region: "sur", FailureDomain: "oax-centro"})
//	choice, ok := p.Pick(picker.Query{Service: service, Instances: view.Service(service.Name()), Now: time.Now()})
//	if ok {
//		send(choice.Instance())
//	}
//
// The default policy draws a few random candidates, weighted by their slots, from the
// instances that accept new requests. Among those with a fresh load sample it chooses the
// one with the least expected latency; candidates with a free slot (cold) come before
// those without (hot). If no candidate has a fresh sample, it chooses the first one
// drawn. The other policies are documented with their names.
//
// Instances that recently failed, or were far slower than the others, are drawn only
// when no other is left, and suspect ones only when none of those is left either. An
// instance whose upstream accepts no more requests a second comes last. A leaving instance
// is never chosen.
//
// Pick is safe for concurrent use. It takes no lock, except that PolicyLeastExpectedFinish
// may wait for load samples.
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// DefaultCandidates is the default number of candidates drawn for a choice.
	DefaultCandidates = 3
	// MaxCandidates bounds the number of candidates of one choice.
	MaxCandidates = 9
)

// ErrPolicy reports a policy name that is not recognized.
var ErrPolicy = errors.New("unrecognized policy")

// ErrCandidates reports a number of candidates outside 1 to MaxCandidates.
var ErrCandidates = errors.New("number of candidates out of bounds")

// noOutliers is the set used by policies that do not avoid outliers.
var noOutliers = &sampler.Outliers{}

// Pool provides the load readings and the outliers of instances.
type Pool interface {
	Read(instanceID string, maxAge time.Duration, now time.Time) sampler.Reading
	RateWait(instanceID string, incarnation uint64, now time.Time) time.Duration
	Outliers(q sampler.OutlierQuery) *sampler.Outliers
}

// Config lists the settings of a Picker.
type Config struct {
	// Pool provides the load readings.
	Pool Pool
	// Self is the id of this node's own instance; empty for none.
	Self string
	// Region and FailureDomain are the location of this node.
	Region, FailureDomain string
	// Policy is the name of a policy; empty for PolicyLeastExpectedLatency.
	Policy string
	// Candidates is the number of candidates drawn at a time, up to MaxCandidates;
	// 0 for the default.
	Candidates int
	// RoundTrips are the network round-trip times; nil for DefaultRoundTrips.
	RoundTrips *RoundTrips
	// Refresher requests load samples at the moment of a choice; nil for none.
	Refresher Refresher
	// Random returns uniformly distributed numbers and must be safe for concurrent
	// use; nil for the generator of math/rand/v2.
	Random func() uint64
}

// Query describes the request that an instance is chosen for.
type Query struct {
	// Service is the service that the request is for.
	Service *compiler.Service
	// Instances are the service's instances in all states.
	Instances []*registrar.Instance
	// Exclude lists the ids of instances that must not be chosen, such as those
	// already tried.
	Exclude []string
	// ExpectedWork is the expected duration of the request on an instance without a
	// slowdown; 0 if unknown. TimeToGoal is the time left until the latency goal; 0 if
	// there is no goal or it has passed.
	ExpectedWork, TimeToGoal time.Duration
	// LargeResponse reports whether the response is expected to be large.
	LargeResponse bool
	// LargeRequest reports whether the request has a large body, and SendTime how long it takes
	// until the link of this node has sent it to another one; 0 if that is unknown.
	LargeRequest bool
	SendTime     time.Duration
	// Now is the time of the choice.
	Now time.Time
}

// large reports whether the request or its response is large.
func (q *Query) large() bool { return q.LargeRequest || q.LargeResponse }

// pickState holds a query, the settings of its service and the buffers of one Pick.
type pickState struct {
	Query
	spec              compiler.ServiceSpec
	sampleMaxAge      time.Duration
	defaultSlots      int
	minHealthyPercent int
	eligible          eligibleSet
	choice            Choice
}

// pickStates recycles states, to avoid an allocation in each Pick.
var pickStates = sync.Pool{New: func() any { return &pickState{} }}

// release clears the state and returns it to pickStates.
func (s *pickState) release() {
	s.Query = Query{}
	s.choice.n = 0
	s.choice.chosen = 0
	s.eligible.reset()
	pickStates.Put(s)
}

// Picker chooses among the instances of a service.
type Picker struct {
	pool       Pool
	self       string
	region     string
	domain     string
	candidates int
	roundTrips RoundTrips
	random     func() uint64
	refresher  Refresher
	policy     policy
}

// New returns a picker with the given settings. It returns ErrPolicy or
// ErrCandidates if one of them is invalid.
func New(cfg Config) (*Picker, error) {
	p := &Picker{
		pool:       cfg.Pool,
		self:       cfg.Self,
		region:     cfg.Region,
		domain:     cfg.FailureDomain,
		candidates: cfg.Candidates,
		roundTrips: DefaultRoundTrips(),
		random:     cfg.Random,
		refresher:  cfg.Refresher,
	}
	if p.candidates == 0 {
		p.candidates = DefaultCandidates
	}
	if p.candidates < 1 || p.candidates > MaxCandidates {
		return nil, errors.Wrapf(ErrCandidates, "%d", p.candidates)
	}
	if cfg.RoundTrips != nil {
		p.roundTrips = *cfg.RoundTrips
	}
	if p.random == nil {
		p.random = rand.Uint64
	}
	policy, err := newPolicy(cfg.Policy, p)
	if err != nil {
		return nil, err
	}
	p.policy = policy
	return p, nil
}

// Pick chooses an instance. It returns false if none is eligible.
func (p *Picker) Pick(q Query) (Choice, bool) {
	spec := q.Service.Spec()
	s := pickStates.Get().(*pickState)
	defer s.release()
	s.Query = q
	s.spec = spec
	s.sampleMaxAge = spec.SampleMaxAge
	s.defaultSlots = spec.Slots
	s.minHealthyPercent = spec.MinHealthyPercent
	p.collectEligible(s)
	if s.eligible.len() == 0 {
		return Choice{}, false
	}
	p.policy.pick(s, &s.choice)
	return s.choice, true
}

// collectEligible fills s.eligible with the instances, except excluded ones, of the first
// class that has any: healthy ones, then outliers, then suspects, then those whose rate
// limit is reached. Policies that do not avoid outliers treat them as healthy.
func (p *Picker) collectEligible(s *pickState) {
	e := &s.eligible
	outliers := noOutliers
	if p.policy.avoidsOutliers() {
		outliers = p.pool.Outliers(sampler.OutlierQuery{
			Service:           s.Service.Name(),
			Instances:         s.Instances,
			MinHealthyPercent: s.minHealthyPercent,
			Now:               s.Now,
		})
	}
	for want := classHealthy; want <= classRateLimited && e.len() == 0; want++ {
		for _, in := range s.Instances {
			if classOf(in, outliers, p.rateLimited(in, s)) != want || slices.Contains(s.Exclude, in.ID()) {
				continue
			}
			e.add(in, p.weight(in, s), in.Region() == p.region)
		}
	}
}

// rateLimited reports whether an instance refuses requests now because of the rate limit
// of its upstream, as far as its newest sample tells.
func (p *Picker) rateLimited(in *registrar.Instance, s *pickState) bool {
	return p.pool.RateWait(in.ID(), in.Incarnation(), s.Now) > 0
}

// read returns the load reading of an instance.
func (p *Picker) read(in *registrar.Instance, s *pickState) sampler.Reading {
	return p.pool.Read(in.ID(), s.sampleMaxAge, s.Now)
}

// weight returns the weight of an instance in random draws. It is proportional to its
// slots, and reduced while the instance warms up if the policy has a slow start.
func (p *Picker) weight(in *registrar.Instance, s *pickState) uint64 {
	slots := in.Slots()
	if slots <= 0 {
		slots = s.defaultSlots
	}
	fullWeight := uint64(max(slots, 1)) * slotWeight
	if in.State() != registrar.StateWarming || !p.policy.slowStart() {
		return fullWeight
	}
	reading := p.read(in, s)
	warmPercent := minWarmingSlotWeight
	if reading.Sampled() && reading.Incarnation() == in.Incarnation() {
		warmPercent = max(warmPercent, reading.Load().WarmPercent())
	}
	return max(fullWeight*uint64(warmPercent)/slotWeight, 1)
}
