package forwarder

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/internal/request/resumer"
	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// errNotResumed reports that no further attempt was allowed for the rest of an answer.
var errNotResumed = errors.New("answer is not resumed")

// doneValue is the value of HeaderOutcome on a whole answer. It is shared: it
// must not be changed.
var doneValue = []string{classifier.Done.String()}

// answer passes the answer on. If it does not end whole, the caller's
// connection is aborted.
func (c *call) answer(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	h[classifier.HeaderOutcome] = doneValue
	for _, name := range [...]string{classifier.HeaderInstance, classifier.HeaderRetried} {
		if value := resp.Header[name]; value != nil {
			h[name] = value
		}
	}
	if resumer.Eligible(c.r, resp) {
		resp.Body = resumer.New(resp, c.resume)
	}
	relayer.WriteHead(w, resp)
	n, err := relayer.CopyBody(w, resp.Body)
	c.trace.SetBytes(n)
	if err != nil {
		c.abort(w, resp, err)
	}
	relayer.WriteTrailer(w, resp)
	c.trace.End(time.Now(), resp.StatusCode, classifier.Done, classifier.ReasonNone)
}

// resume sends the request to another instance for the rest of an answer that
// broke off.
func (c *call) resume(extra http.Header) (*http.Response, error) {
	const cause = classifier.ReasonTruncated
	decision := retrier.Decide(retrier.Failure{Reason: cause}, c.state())
	c.note(decision)
	if !decision.Retry() {
		return nil, errNotResumed
	}
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

// abort breaks the caller's connection after an answer that is not whole. It
// does not return.
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
