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
// A choice draws a few random candidates, weighted by their slots, from the
// instances that take new work. Of those with a fresh load sample it takes
// the one with the least expected latency: cold ones, which have a free slot,
// before hot ones. Without any fresh sample it takes the first one drawn.
//
// Instances that lately failed or answered far slower than the others are
// drawn only when no other is left. Suspects come after those, and a leaving
// instance is never chosen.
//
// Pick takes no lock and may be called from several goroutines.
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// DefaultCandidates is how many candidates a choice draws if not set.
	DefaultCandidates = 3
	// MaxCandidates bounds the candidates of one choice.
	MaxCandidates = 9
)

// ErrPolicy reports the name of a policy that does not exist.
var ErrPolicy = errors.New("unrecognized policy")

// ErrCandidates reports a number of candidates outside 1 to MaxCandidates.
var ErrCandidates = errors.New("number of candidates out of bounds")

// noOutliers is the empty set.
var noOutliers = &sampler.Outliers{}

// Pool tells what is known about the load of instances.
type Pool interface {
	Read(instanceID string, maxAge time.Duration, now time.Time) sampler.Reading
	Outliers(q sampler.OutlierQuery) *sampler.Outliers
}

// Config lists the settings of a Picker.
type Config struct {
	// Pool holds the load samples.
	Pool Pool
	// Self is the id of this node's own instance; empty for none.
	Self string
	// Region and FailureDomain are where this node is.
	Region, FailureDomain string
	// Policy is PolicyLeastExpectedLatency or one of the baselines; empty for the former.
	Policy string
	// Candidates is how many candidates a choice draws, up to MaxCandidates; 0 for the default.
	Candidates int
	// Distances are the costs of distance; nil for DefaultDistances.
	Distances *Distances
	// Refresher asks for load at the moment of a choice; nil for none.
	Refresher Refresher
	// Random returns evenly distributed numbers and may be called from
	// several goroutines; nil for the generator of math/rand/v2.
	Random func() uint64
}

// Query asks for the choice of one instance.
type Query struct {
	// Service is the service that the request is for.
	Service *compiler.Service
	// Instances are the service's instances in every state.
	Instances []*registrar.Instance
	// Exclude lists ids that must not be chosen, such as those already tried.
	Exclude []string
	// Work is how long the request takes on an instance that nothing slows, Goal
	// the time within which its answer is worth most; 0 if not known.
	Work, Goal time.Duration
	// Large tells that the answer is large.
	Large bool
	// Now is the time of the choice.
	Now time.Time
}

// request is a query with the settings of its service that a choice uses, and
// the room that the choice needs.
type request struct {
	Query
	spec              compiler.ServiceSpec
	sampleMaxAge      time.Duration
	slots             int
	minHealthyPercent int
	eligible          eligible
	choice            Choice
}

// requests keeps the room of requests for the next ones.
var requests = sync.Pool{New: func() any { return &request{} }}

// release gives the request's room back.
func (r *request) release() {
	r.Query = Query{}
	r.choice.n = 0
	r.choice.chosen = 0
	r.eligible.reset()
	requests.Put(r)
}

// Picker chooses among the instances of a service.
type Picker struct {
	pool       Pool
	self       string
	region     string
	domain     string
	candidates int
	distances  Distances
	random     func() uint64
	refresher  Refresher
	policy     policy
}

// New returns a picker with the given settings. It returns ErrPolicy or
// ErrCandidates if they make no sense.
func New(cfg Config) (*Picker, error) {
	p := &Picker{
		pool:       cfg.Pool,
		self:       cfg.Self,
		region:     cfg.Region,
		domain:     cfg.FailureDomain,
		candidates: cfg.Candidates,
		distances:  DefaultDistances(),
		random:     cfg.Random,
		refresher:  cfg.Refresher,
	}
	if p.candidates == 0 {
		p.candidates = DefaultCandidates
	}
	if p.candidates < 1 || p.candidates > MaxCandidates {
		return nil, errors.Wrapf(ErrCandidates, "%d", p.candidates)
	}
	if cfg.Distances != nil {
		p.distances = *cfg.Distances
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

// Pick returns the choice of an instance. It returns false if no instance can
// take the request.
func (p *Picker) Pick(q Query) (Choice, bool) {
	spec := q.Service.Spec()
	r := requests.Get().(*request)
	defer r.release()
	r.Query = q
	r.spec = spec
	r.sampleMaxAge = spec.SampleMaxAge
	r.slots = spec.Slots
	r.minHealthyPercent = spec.MinHealthyPercent
	p.collect(r)
	if r.eligible.len() == 0 {
		return Choice{}, false
	}
	p.policy.pick(r, &r.choice)
	return r.choice, true
}

// collect fills r.eligible with the best class of instances that is not empty: sound
// ones, then outliers, then suspects. Only some policies know outliers.
func (p *Picker) collect(r *request) {
	e := &r.eligible
	outliers := noOutliers
	if p.policy.avoidsOutliers() {
		outliers = p.pool.Outliers(sampler.OutlierQuery{
			Service:           r.Service.Name(),
			Instances:         r.Instances,
			MinHealthyPercent: r.minHealthyPercent,
			Now:               r.Now,
		})
	}
	for want := classSound; want <= classSuspect && e.len() == 0; want++ {
		for _, in := range r.Instances {
			if classOf(in, outliers) != want || slices.Contains(r.Exclude, in.ID()) {
				continue
			}
			e.add(in, p.weight(in, r), in.Region() == p.region)
		}
	}
}

// read returns what is known of an instance's load.
func (p *Picker) read(in *registrar.Instance, r *request) sampler.Reading {
	return p.pool.Read(in.ID(), r.sampleMaxAge, r.Now)
}

// weight returns the instance's share of work: its slots, fewer while it warms.
func (p *Picker) weight(in *registrar.Instance, r *request) uint64 {
	slots := in.Slots()
	if slots <= 0 {
		slots = r.slots
	}
	full := uint64(max(slots, 1)) * fullWeight
	if in.State() != registrar.StateWarming || !p.policy.usesLoad() {
		return full
	}
	reading := p.read(in, r)
	warm := minWarmWeight
	if reading.Sampled() && reading.Incarnation() == in.Incarnation() {
		warm = max(warm, reading.Load().WarmPercent())
	}
	return max(full*uint64(warm)/fullWeight, 1)
}
