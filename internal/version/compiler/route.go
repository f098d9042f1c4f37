package compiler

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RouteKind tells what may be repeated of a route's requests.
type RouteKind string

const (
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent is for requests that run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteDownload is for idempotent requests with large answers.
	RouteDownload RouteKind = "download"
)

// MaxRank is the largest rank of a route, which goes last.
const MaxRank = 9

// goldenRatio spreads the requests of a route evenly over its services: each
// multiple's fraction lies in the largest gap between those before it.
const goldenRatio = 0.6180339887498949

// WeightedService is one of the services that a route leads to.
type WeightedService struct {
	Name   string
	Weight int
}

// RouteSpec lists the settings of a route. The key of each setting in a
// configuration file is its name in kebab case.
type RouteSpec struct {
	// Name is the route's name, from its section's header.
	Name string
	// Host is the host name that selects the route; empty for any.
	Host string
	// PathPrefix is the start of the paths that select the route.
	PathPrefix string
	// Services are where its requests go, in the proportions of their weights.
	Services []WeightedService
	// Kind tells what may be repeated.
	Kind RouteKind
	// Timeout bounds how long a request may take.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer is worth most; 0 for none.
	LatencyGoal time.Duration
	// Rank orders routes by urgency, 0 the most urgent.
	Rank int
	// MaxAttempts bounds how often one request is tried, the first included.
	MaxAttempts int
}

// Route is where requests with a certain host and path go. It is immutable but
// for the turn of its services.
type Route struct {
	spec     RouteSpec
	implicit bool
	services []*Service
	// settings are those of each service with the route's own over them.
	settings []ServiceSpec
	total    int
	offset   float64
	turn     atomic.Uint64
}

// newServiceRoute returns the route that the hosts and the path prefix of a
// service describe.
func newServiceRoute(s *Service) *Route {
	return &Route{
		implicit: true,
		spec:     RouteSpec{Name: s.Name(), PathPrefix: s.spec.PathPrefix},
		services: []*Service{s},
		settings: []ServiceSpec{s.spec},
	}
}

// newRoute returns the route that spec describes. The services must be in the
// order of spec.Services.
func newRoute(spec RouteSpec, services []*Service) *Route {
	r := &Route{spec: spec, services: services, offset: rand.Float64()}
	for i, s := range services {
		r.total += spec.Services[i].Weight
		settings := s.spec
		settings.Timeout = spec.Timeout
		settings.MaxTimeout = spec.Timeout
		settings.MaxAttempts = spec.MaxAttempts
		settings.Priority = spec.priority()
		settings.HedgeAfter = spec.hedgeAfter()
		r.settings = append(r.settings, settings)
	}
	return r
}

// hedgeShare is the inverse of the share of its goal after which a request gets
// a second attempt: what is left must suffice for that one.
const hedgeShare = 2

// hedgeAfter returns when a second attempt starts; 0 for never. A second copy
// of a large answer costs more than it saves.
func (s *RouteSpec) hedgeAfter() time.Duration {
	if s.Kind != RouteIdempotent {
		return 0
	}
	return s.LatencyGoal / hedgeShare
}

// priority returns the class in which an instance queues the route's requests.
func (s *RouteSpec) priority() Priority {
	switch {
	case s.Rank <= 1:
		return PriorityHigh
	case s.Rank == 2:
		return PriorityNormal
	default:
		return PriorityLow
	}
}

// Spec returns a copy of all settings.
func (r *Route) Spec() RouteSpec { return r.spec }

// Name returns the name of the route, or of the service that describes it.
func (r *Route) Name() string { return r.spec.Name }

// Ranked reports whether the route has a rank of its own.
func (r *Route) Ranked() bool { return !r.implicit }

// Goal returns the time within which an answer is worth most, or 0.
func (r *Route) Goal() time.Duration { return r.spec.LatencyGoal }

// Large reports whether answers are large.
func (r *Route) Large() bool { return r.spec.Kind == RouteDownload }

// Idempotent reports whether a request with the given method may run more than once.
func (r *Route) Idempotent(method string) bool {
	if r.implicit {
		return r.services[0].Repeatable(method)
	}
	return r.spec.Kind != RouteNonIdempotent
}

// Next returns the service for the next request, and the settings that hold
// for it. Over many requests each service gets its weight's share.
func (r *Route) Next() (*Service, *ServiceSpec) {
	if len(r.services) == 1 {
		return r.services[0], &r.settings[0]
	}
	x := r.offset + float64(r.turn.Add(1))*goldenRatio
	x -= float64(uint64(x))
	share := 0.0
	last := 0
	for i, s := range r.spec.Services {
		share += float64(s.Weight) / float64(r.total)
		if s.Weight > 0 {
			last = i
		}
		if x < share {
			break
		}
	}
	return r.services[last], &r.settings[last]
}

// hosts returns the host names that select the route, or none for any.
func (r *Route) hosts() []string {
	if r.implicit {
		return r.services[0].spec.Hosts
	}
	if r.spec.Host == "" {
		return nil
	}
	return []string{r.spec.Host}
}
