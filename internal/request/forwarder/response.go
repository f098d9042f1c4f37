package forwarder

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/request/resumer"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// errNotResumed reports that no further attempt was allowed, or no instance was left, for
// the rest of a truncated response.
var errNotResumed = errors.New("no attempt left to resume the response")

// doneValue is the value of HeaderOutcome on a response of an upstream. It is shared by
// all responses and must not be modified.
var doneValue = []string{classifier.Done.String()}

// respond relays the response to the caller. If the response is truncated, the caller's
// connection is aborted.
func (c *call) respond(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	h[classifier.HeaderOutcome] = doneValue
	for _, name := range [...]string{classifier.HeaderInstance, classifier.HeaderRetried} {
		if value := resp.Header[name]; value != nil {
			h[name] = value
		}
	}
	if resumer.Eligible(c.r, resp) {
		resp.Body = resumer.New(resp, c.resume)
		c.resumable.Store(true)
	}
	relayer.WriteResponseHeader(w, resp)
	n, err := relayer.CopyBody(&countingWriter{w, c.open}, resp.Body)
	c.trace.SetBytes(n)
	if err != nil {
		c.abort(w, resp, err)
	}
	relayer.WriteTrailer(w, resp)
	c.trace.End(time.Now(), resp.StatusCode, classifier.Done, classifier.ReasonNone)
}

// countingWriter records how many bytes of a response the caller's connection has taken.
type countingWriter struct {
	http.ResponseWriter
	open *tracker.Request
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.open.AddBytes(n)
	return n, err // Not wrapped: CopyBody wraps it.
}

// resume requests the rest of a truncated response from another instance. The headers in
// extra specify the range.
func (c *call) resume(extra http.Header) (*http.Response, error) {
	const cause = classifier.ReasonTruncated
	decision := retrier.Decide(retrier.Failure{Reason: cause}, c.retryState())
	c.recordDenial(decision)
	if !decision.Retry() {
		return nil, errNotResumed
	}
	c.resumable.Store(false)
	defer c.resumable.Store(true)
	a := c.try(cause, extra)
	if a == nil {
		return nil, errNotResumed
	}
	if a.refusal != nil {
		return nil, a.refusal
	}
	c.forwarder.retries.Inc(cause)
	c.trace.AddResumption()
	return a.resp, nil
}

// mayResume reports whether resume may start another attempt at this moment.
func (c *call) mayResume() bool {
	untried := slices.ContainsFunc(c.route.instances, func(in *registrar.Instance) bool {
		return !slices.Contains(c.excluded, in.ID())
	})
	return untried && retrier.Permits(retrier.Failure{Reason: classifier.ReasonStalled}, c.retryState())
}

// abort breaks the caller's connection after a truncated response. It does not return.
func (c *call) abort(w http.ResponseWriter, resp *http.Response, err error) {
	reason := classifier.ReasonCanceled
	var writeErr *relayer.WriteError
	if !errors.As(err, &writeErr) {
		reason = refuser.FromError(err).Reason()
	}
	c.forwarder.aborts.Inc(reason)
	c.trace.End(time.Now(), resp.StatusCode, classifier.Unknown, reason)
	resp.Body.Close()
	relayer.Abort(w, c.r)
}
