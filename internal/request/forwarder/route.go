package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/recognizer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// maxDepth is the maximum number of services in a chain of calls.
	maxDepth = 8
	// maxIDLength is the maximum length in bytes of a request id set by a caller.
	maxIDLength = 128
)

// route is the destination of a request and the limits that apply to it.
type route struct {
	service *compiler.Service
	spec    *compiler.ServiceSpec // The service's settings, overridden by the route's.
	name    string                // The name of the route.
	version uint64                // The version of the configuration.
	// idempotent reports whether the request may run more than once.
	idempotent bool
	// latencyGoal is the time after firstAttemptAt until which a response is worth
	// most; 0 for none.
	latencyGoal time.Duration
	// firstAttemptAt is the estimated time of the caller's first attempt.
	firstAttemptAt time.Time
	// largeResponse reports whether the route's responses are large.
	largeResponse bool
	// largeRequest reports whether the route's requests have large bodies.
	largeRequest bool
	// explicit reports whether the configuration defines the route. Other routes are derived
	// from their service. An explicit route sets the priority instead of the caller.
	explicit bool
	// organisation is the caller's; nil if it has none.
	organisation *compiler.Organisation
	// organisationsKnown reports whether the configuration has organisations.
	organisationsKnown bool
	// priority is the service's, replaced by the route's and that by the organisation's.
	priority  compiler.Priority
	instances []*registrar.Instance
	// evacuation is that of the view from which the instances are.
	evacuation *registrar.Evacuation
	timeout    time.Duration
	depth      int // The number of services in the chain of calls, including this one.
}

// matchRoute matches a request to a service and validates the headers that limit it.
func (f *Forwarder) matchRoute(r *http.Request, attempt recognizer.Request) (route, *refuser.Refusal) {
	snapshot := f.cfg.Snapshots.Snapshot()
	cfg := snapshot.Configuration()
	if cfg == nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonNoConfiguration)
	}
	if r.Method == http.MethodConnect {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBadRequest)
	}
	matched := cfg.Route(hostname(r.Host), r.URL.Path)
	if matched == nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonNoService)
	}
	organisation, refusal := f.identify(r, cfg, matched)
	if refusal != nil {
		return route{}, refusal
	}
	if limit := cfg.Limits().MaxBodyBytes; limit > 0 && r.ContentLength > int64(limit) {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBodyTooLarge)
	}
	depth, err := parseNonNegative(r.Header.Get(classifier.HeaderDepth))
	if err != nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBadRequest)
	}
	if depth >= maxDepth {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonDepth)
	}
	service, spec := matched.Next()
	timeout, err := requestTimeout(r.Header.Get(classifier.HeaderTimeout), spec)
	if err != nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBadRequest)
	}
	trackedName := "" // Callers of routes derived from services have no common timeout.
	if matched.Explicit() {
		trackedName = matched.Name()
	}
	return route{
		organisation:       organisation,
		organisationsKnown: !cfg.Organisations().Empty(),
		priority:           organisation.Priority(spec.Priority),
		firstAttemptAt:     f.recognizer.FirstAttempt(attempt, trackedName),
		service:            service,
		spec:               spec,
		instances:          snapshot.View().Service(spec.Name),
		evacuation:         snapshot.View().Evacuation(),
		timeout:            timeout,
		depth:              depth + 1,
		name:               matched.Name(),
		version:            cfg.Number(),
		idempotent:         matched.Idempotent(r.Method),
		explicit:           matched.Explicit(),
		latencyGoal:        matched.LatencyGoal(),
		largeResponse:      matched.LargeResponses(),
		largeRequest:       matched.LargeRequests(),
	}, nil
}

// callerWaited returns how long the caller had been waiting at now, or 0 if there is no
// route.
func (r *route) callerWaited(now time.Time) time.Duration {
	if r.firstAttemptAt.IsZero() {
		return 0
	}
	return now.Sub(r.firstAttemptAt)
}

// callerAttempt describes a request to the recognizer.
func callerAttempt(r *http.Request, arrivedAt time.Time) recognizer.Request {
	// matchRoute refuses a header that is not a number.
	ms, _ := parseNonNegative(r.Header.Get(classifier.HeaderTimeout))
	return recognizer.Request{
		Method:    r.Method,
		Host:      r.Host,
		Path:      r.URL.Path,
		Query:     r.URL.RawQuery,
		Remaining: time.Duration(ms) * time.Millisecond,
		ArrivedAt: arrivedAt,
	}
}

// requestTimeout returns the timeout in the header, limited by the service's maximum, or
// the service's default if there is none.
func requestTimeout(header string, spec *compiler.ServiceSpec) (time.Duration, error) {
	if header == "" {
		return spec.Timeout, nil
	}
	ms, err := parseNonNegative(header)
	if err != nil {
		return 0, err
	}
	return min(time.Duration(ms)*time.Millisecond, spec.MaxTimeout), nil
}

// parseNonNegative parses the value of a header as a non-negative integer. An empty value
// is 0.
func parseNonNegative(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err
}

// requestID returns the request id set by the caller, or a random one.
func requestID(r *http.Request) string {
	id := r.Header.Get(classifier.HeaderRequestID)
	if id != "" && len(id) <= maxIDLength {
		return id
	}
	const base = 16
	var buf [2 * base]byte
	p := strconv.AppendUint(buf[:0], rand.Uint64(), base)
	return string(strconv.AppendUint(p, rand.Uint64(), base))
}
