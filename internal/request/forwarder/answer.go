package forwarder

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// answer passes the answer on. If it does not end whole, the caller's
// connection is aborted.
func (c *call) answer(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	h[classifier.HeaderOutcome] = []string{classifier.Done.String()}
	for _, name := range []string{classifier.HeaderInstance, classifier.HeaderRetried} {
		if value := resp.Header[name]; value != nil {
			h[name] = value
		}
	}
	relayer.WriteHead(w, resp)
	n, err := relayer.CopyBody(w, resp.Body, resp.ContentLength < 0)
	c.trace.SetBytes(n)
	if err != nil {
		c.abort(w, resp, err)
	}
	relayer.WriteTrailer(w, resp)
	c.trace.End(time.Now(), resp.StatusCode, classifier.Done, classifier.ReasonNone)
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
