package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// maxDepth is how many services a chain of calls may pass through.
	maxDepth = 8
	// maxIDLength bounds the request id that a caller may choose, in bytes.
	maxIDLength = 128
)

// route is where a request goes and within which bounds.
type route struct {
	service *compiler.Service
	spec    *compiler.ServiceSpec // With the route's own settings over the service's.
	name    string
	version uint64
	// idempotent tells that the request may run more than once.
	idempotent bool
	// goal is the time within which an answer is worth most, from started on; 0
	// for none.
	goal time.Duration
	// started is when the caller made its first attempt, as far as that is known.
	started time.Time
	// large tells that answers are large.
	large bool
	// ranked tells that the route, not the caller, sets the priority.
	ranked    bool
	instances []*registrar.Instance
	timeout   time.Duration
	depth     int
}

// route finds the service of a request and checks the headers that bound it.
func (f *Forwarder) route(r *http.Request) (route, *refuser.Refusal) {
	snapshot := f.cfg.Snapshots.Snapshot()
	cfg := snapshot.Configuration()
	if cfg == nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonNoConfiguration)
	}
	if r.Method == http.MethodConnect {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBadRequest)
	}
	found := cfg.Route(hostname(r.Host), r.URL.Path)
	if found == nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonNoService)
	}
	if limit := cfg.Limits().MaxBodyBytes; limit > 0 && r.ContentLength > int64(limit) {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBodyTooLarge)
	}
	depth, err := parseCount(r.Header.Get(classifier.HeaderDepth))
	if err != nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBadRequest)
	}
	if depth >= maxDepth {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonDepth)
	}
	service, spec := found.Next()
	timeout, err := requestTimeout(r.Header.Get(classifier.HeaderTimeout), spec)
	if err != nil {
		return route{}, refuser.New(classifier.NotRun, classifier.ReasonBadRequest)
	}
	return route{
		started:    f.firstAttempt(r, found, time.Now()),
		service:    service,
		spec:       spec,
		instances:  snapshot.View().Service(spec.Name),
		timeout:    timeout,
		depth:      depth + 1,
		name:       found.Name(),
		version:    cfg.Number(),
		idempotent: found.Idempotent(r.Method),
		ranked:     found.Ranked(),
		goal:       found.Goal(),
		large:      found.Large(),
	}, nil
}

// firstAttempt returns when the caller of a request made its first attempt, as
// far as the time that it names tells that.
func (f *Forwarder) firstAttempt(r *http.Request, route *compiler.Route, now time.Time) time.Time {
	ms, err := parseCount(r.Header.Get(classifier.HeaderTimeout))
	if err != nil || ms == 0 || !route.Ranked() {
		return now
	}
	left := time.Duration(ms) * time.Millisecond
	return now.Add(-f.patiences.of(route.Name()).waited(left, now))
}

// requestTimeout returns the time that the request names, bounded by the
// service, or the service's own.
func requestTimeout(header string, spec *compiler.ServiceSpec) (time.Duration, error) {
	if header == "" {
		return spec.Timeout, nil
	}
	ms, err := parseCount(header)
	if err != nil {
		return 0, err
	}
	return min(time.Duration(ms)*time.Millisecond, spec.MaxTimeout), nil
}

// parseCount returns the whole number in a header, or 0 if there is none.
func parseCount(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err
}

// requestID returns the id that the caller gave, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(classifier.HeaderRequestID)
	if id != "" && len(id) <= maxIDLength {
		return id
	}
	const hexadecimal = 16
	var buf [2 * hexadecimal]byte
	p := strconv.AppendUint(buf[:0], rand.Uint64(), hexadecimal)
	return string(strconv.AppendUint(p, rand.Uint64(), hexadecimal))
}
