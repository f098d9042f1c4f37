package forwarder

import (
	"net/http"
	"strings"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/explainer"
)

const (
	// maxTracedMethod and maxTracedPath bound what the trace of a request keeps of its method and
	// path, in bytes.
	maxTracedMethod = 32
	maxTracedPath   = 512
)

// newTrace returns the trace of a request that arrived at start.
func newTrace(id string, r *http.Request, start time.Time) *explainer.Trace {
	method, path := tracedTarget(r)
	return explainer.NewTrace(id, method, path, start)
}

// tracedTarget returns the method and the path of a request for its trace. Both share the memory of
// the request's first line, which is not kept if it is long.
func tracedTarget(r *http.Request) (method, path string) {
	if len(r.Method)+len(r.RequestURI) <= maxTracedMethod+maxTracedPath {
		return r.Method, r.URL.Path
	}
	return cloneUpTo(r.Method, maxTracedMethod), cloneUpTo(r.URL.Path, maxTracedPath)
}

// cloneUpTo returns a copy of the first bytes of s.
func cloneUpTo(s string, limit int) string { return strings.Clone(s[:min(len(s), limit)]) }
