package compiler

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RouteKind states whether the requests of a route may run more than once, and
// whether their responses are large.
type RouteKind string

const (
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent is for requests that run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteDownload is for idempotent requests with large responses.
	RouteDownload RouteKind = "download"
	// RouteUpload is for requests with large bodies that run at most once.
	RouteUpload RouteKind = "upload"
)

// MaxRank is the largest rank of a route, and the least urgent.
const MaxRank = 9

// goldenRatioConjugate spreads the requests of a route evenly over its services: the
// fractional part of each of its multiples falls into the largest gap between those
// of the multiples before it.
const goldenRatioConjugate = 0.6180339887498949

// WeightedService is a service that a route sends requests to, with its weight.
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
	// PathPrefix selects the route for this path and those below it.
	PathPrefix string
	// Services are the services that requests are split between, by weight.
	Services []WeightedService
	// Kind states whether requests may run more than once.
	Kind RouteKind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// LatencyGoal is the time within which a response is worth most; 0 for none.
	LatencyGoal time.Duration
	// Rank orders routes by urgency, 0 the most urgent.
	Rank int
	// MaxAttempts is the maximum number of attempts per request, the first included.
	MaxAttempts int
	// Public means that requests need no API key and belong to no organisation.
	Public bool
}

// Route selects the service for requests with a certain host and path. It is
// immutable, except for the index that Next advances.
type Route struct {
	spec     RouteSpec
	implicit bool // Derived from a service, not configured itself.
	services []*Service
	// specs are the settings of each service, overridden by those of the route.
	specs       []ServiceSpec
	totalWeight int
	offset      float64       // Random start of the sequence that Next follows.
	index       atomic.Uint64 // Index in that sequence.
}

// newServiceRoute returns the implicit route with the hosts and the path prefix of a
// service.
func newServiceRoute(s *Service) *Route {
	return &Route{
		implicit: true,
		spec:     RouteSpec{Name: s.Name(), PathPrefix: s.spec.PathPrefix},
		services: []*Service{s},
		specs:    []ServiceSpec{s.spec},
	}
}

// newRoute returns the explicit route with the given settings. The services must be
// in the order of spec.Services.
func newRoute(spec RouteSpec, services []*Service) *Route {
	r := &Route{spec: spec, services: services, offset: rand.Float64()}
	for i, s := range services {
		r.totalWeight += spec.Services[i].Weight
		serviceSpec := s.spec
		serviceSpec.Timeout = spec.Timeout
		serviceSpec.MaxTimeout = spec.Timeout
		serviceSpec.MaxAttempts = spec.MaxAttempts
		serviceSpec.Priority = spec.priority()
		serviceSpec.HedgeAfter = spec.hedgeAfter()
		r.specs = append(r.specs, serviceSpec)
	}
	return r
}

// hedgeDivisor is the divisor of the latency goal that yields the time after which a
// request gets a second attempt. The rest of the goal must suffice for that attempt.
const hedgeDivisor = 2

// hedgeAfter returns the time after which a second attempt starts; 0 for never.
// Non-idempotent requests must not run twice, and a second copy of a large response
// costs more than it saves.
func (s *RouteSpec) hedgeAfter() time.Duration {
	if s.Kind != RouteIdempotent {
		return 0
	}
	return s.LatencyGoal / hedgeDivisor
}

// priority returns the priority with which an instance queues the route's requests.
func (s *RouteSpec) priority() Priority { return rankPriority(s.Rank) }

// rankPriority returns the priority of requests with the given rank.
func rankPriority(rank int) Priority {
	switch {
	case rank <= 1:
		return PriorityHigh
	case rank == 2:
		return PriorityNormal
	default:
		return PriorityLow
	}
}

// Spec returns a copy of all settings.
func (r *Route) Spec() RouteSpec { return r.spec }

// Name returns the name of the route, or of the service that it is derived from.
func (r *Route) Name() string { return r.spec.Name }

// Explicit reports whether the route is configured itself and so has a rank. Other
// routes are derived from a service.
func (r *Route) Explicit() bool { return !r.implicit }

// LatencyGoal returns the time within which a response is worth most; 0 for none.
func (r *Route) LatencyGoal() time.Duration { return r.spec.LatencyGoal }

// LargeResponses reports whether responses are large.
func (r *Route) LargeResponses() bool { return r.spec.Kind == RouteDownload }

// LargeRequests reports whether request bodies are large.
func (r *Route) LargeRequests() bool { return r.spec.Kind == RouteUpload }

// Public reports whether the route's requests belong to no organisation.
func (r *Route) Public() bool { return r.spec.Public }

// Idempotent reports whether a request with the given method may run more than once.
func (r *Route) Idempotent(method string) bool {
	if r.implicit {
		return r.services[0].Repeatable(method)
	}
	return r.spec.Kind == RouteIdempotent || r.spec.Kind == RouteDownload
}

// Next returns the service for the next request, and the settings for that request.
// Services are selected in proportion to their weights.
func (r *Route) Next() (*Service, *ServiceSpec) {
	if len(r.services) == 1 {
		return r.services[0], &r.specs[0]
	}
	point := r.offset + float64(r.index.Add(1))*goldenRatioConjugate
	point -= float64(uint64(point))
	cumulative := 0.0
	selected := 0
	for i, s := range r.spec.Services {
		cumulative += float64(s.Weight) / float64(r.totalWeight)
		if s.Weight > 0 {
			selected = i
		}
		if point < cumulative {
			break
		}
	}
	return r.services[selected], &r.specs[selected]
}

// hosts returns the host names that select the route, or none if any host does.
func (r *Route) hosts() []string {
	if r.implicit {
		return r.services[0].spec.Hosts
	}
	if r.spec.Host == "" {
		return nil
	}
	return []string{r.spec.Host}
}
