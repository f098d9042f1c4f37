package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/keyer"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// keyRetryAfter is when a key is worth sending again if nothing better is known.
const keyRetryAfter = time.Second

// serveKeyed serves a request with an idempotency key at the key's home: here,
// or at the node of another instance.
func (c *call) serveKeyed(key string) (*http.Response, *refuser.Refusal) {
	home := keyer.Home(c.route.instances, key, c.route.spec.KeyRetention, time.Now())
	switch {
	case home == nil:
		return nil, unproved(refuser.New(classifier.NotRun, classifier.ReasonNoInstance))
	case home.ID() == c.forwarder.cfg.Instance:
		return c.serveAsHome(key)
	case c.r.Header.Get(classifier.HeaderKeyHome) != "":
		// The two nodes see the fleet differently for the moment.
		return nil, unproved(refuser.New(classifier.NotRun, classifier.ReasonWrongInstance))
	default:
		return c.sendHome(home)
	}
}

// unproved returns a refusal that was made before it was known whether the key
// ran. It is not called not-run: an earlier sending of the same key, whose
// answer was lost, may have run. Another request with the key never runs.
func unproved(refusal *refuser.Refusal) *refuser.Refusal {
	if refusal.Outcome() != classifier.NotRun || refusal.Reason() == classifier.ReasonKeyMismatch {
		return refusal
	}
	return refusal.WithOutcome(classifier.Unknown).After(max(refusal.RetryAfter(), keyRetryAfter))
}

// sendHome sends the request to the node of the key's home as it came.
func (c *call) sendHome(home *registrar.Instance) (*http.Response, *refuser.Refusal) {
	req := c.request(nil)
	delete(req.Header, classifier.HeaderHop)
	delete(req.Header, classifier.HeaderService)
	req.Header.Set(classifier.HeaderKeyHome, home.ID())
	req.Header.Set(classifier.HeaderDepth, strconv.Itoa(c.route.depth-1))
	req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(max(timeLeft(c.ctx), 1), 10))
	a := &attempt{choice: Choice{Instance: home}, start: time.Now()}
	limits := requester.Limits{StallTimeout: c.route.spec.StallTimeout}
	resp, err := c.forwarder.cfg.Requester.DoLimited(c.ctx, home.HTTP(), req, limits)
	switch {
	case err != nil:
		a.refusal = unproved(refuser.FromError(err))
	default:
		a.resp = resp
		if a.refusal = refuser.FromResponse(resp); a.refusal != nil {
			discard(resp)
			a.resp = nil
		}
	}
	a.end = time.Now()
	c.trace.AddAttempt(a.explained())
	return a.resp, a.refusal
}

// serveAsHome lets the key run, or answers from what is known of its first run.
func (c *call) serveAsHome(key string) (*http.Response, *refuser.Refusal) {
	run, answer, err := c.forwarder.cfg.Keys.Begin(c.ctx, keyer.Request{
		Key:         key,
		Fingerprint: keyer.NewFingerprint(c.r.Method, c.r.URL.RequestURI(), c.body),
		Retention:   c.route.spec.KeyRetention,
	})
	if err != nil {
		return nil, unproved(refuser.FromError(err))
	}
	if answer != nil {
		return stored(answer), nil
	}
	return c.runKeyed(run)
}

// runKeyed performs the first run of a key. The run goes on when the caller
// goes away, so that the answer is there when the caller comes back.
func (c *call) runKeyed(run *keyer.Run) (*http.Response, *refuser.Refusal) {
	ended := false
	defer func() {
		if !ended {
			run.Unknown()
		}
	}()
	deadline, _ := c.ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), deadline)
	c.ctx = ctx
	resp, refusal := c.run()
	ended = true
	if refusal != nil {
		cancel()
		if refusal.Outcome() == classifier.NotRun {
			run.NotRun()
		} else {
			run.Unknown()
		}
		return nil, refusal
	}
	body, held := resp.Body.(*heldBody)
	whole := resp.Body == http.NoBody || held && body.whole
	if !whole {
		run.Done(nil)
		resp.Body = &closingBody{ReadCloser: resp.Body, close: cancel}
		return resp, nil
	}
	answer := &keyer.Response{Status: resp.StatusCode, Header: resp.Header}
	if held {
		answer.Body = body.held
	}
	run.Done(answer)
	resp.Body = &closingBody{ReadCloser: resp.Body, close: cancel}
	return resp, nil
}

// stored returns the stored answer of a first run.
func stored(answer *keyer.Response) *http.Response {
	return &http.Response{
		StatusCode:    answer.Status,
		Header:        answer.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(answer.Body)),
		ContentLength: int64(len(answer.Body)),
	}
}

// closingBody calls a function when the answer has ended.
type closingBody struct {
	io.ReadCloser
	close func()
}

// Close ends the answer.
func (b *closingBody) Close() error {
	defer b.close()
	return b.ReadCloser.Close()
}
