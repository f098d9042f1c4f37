package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// keyRetryAfter is the minimum retry-after of a refusal if an earlier request with the same
// key may have run.
const keyRetryAfter = time.Second

// serveKeyed serves a request with an idempotency key at the key's home instance: in
// process if that is this node's, else by forwarding the request.
func (c *call) serveKeyed(key string) (*http.Response, *refuser.Refusal) {
	home := deduplicator.Home(c.route.instances, key, c.route.spec.KeyRetention, time.Now())
	switch {
	case home == nil:
		return nil, withUnknownOutcome(refuser.New(classifier.NotRun, unavailableReason(c.route.instances)))
	case home.ID() == c.forwarder.cfg.Instance:
		return c.serveAsHome(key)
	case c.r.Header.Get(classifier.HeaderKeyHome) != "":
		// The sending node's view of the fleet differs temporarily from this node's.
		return nil, withUnknownOutcome(refuser.New(classifier.NotRun, classifier.ReasonWrongInstance))
	default:
		return c.forwardToHome(home)
	}
}

// withUnknownOutcome replaces the outcome not-run by unknown in a refusal made before
// the home instance looked up the key: an earlier request with the key may have run and
// its response may have been lost. A key-mismatch refusal stays not-run, as a different
// request with the same key never runs.
func withUnknownOutcome(refusal *refuser.Refusal) *refuser.Refusal {
	if refusal.Outcome() != classifier.NotRun || refusal.Reason() == classifier.ReasonKeyMismatch {
		return refusal
	}
	return refusal.WithOutcome(classifier.Unknown).WithRetryAfter(max(refusal.RetryAfter(), keyRetryAfter))
}

// forwardToHome sends the request to the key's home instance as the caller sent it: the
// depth is not increased, and the home instance routes it itself.
func (c *call) forwardToHome(home *registrar.Instance) (*http.Response, *refuser.Refusal) {
	req := c.request(nil)
	delete(req.Header, classifier.HeaderHop)
	delete(req.Header, classifier.HeaderService)
	req.Header.Set(classifier.HeaderKeyHome, home.ID())
	req.Header.Set(classifier.HeaderDepth, strconv.Itoa(c.route.depth-1))
	req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(max(remainingMillis(c.ctx), 1), 10))
	a := &attempt{choice: Choice{Instance: home}, start: time.Now()}
	c.open.BeginAttempt(home.ID())
	// The request is not idempotent: a response that makes no progress is awaited.
	resp, err := c.forwarder.cfg.Requester.DoLimited(c.ctx, home.HTTP(), req, requester.Limits{})
	switch {
	case err != nil:
		a.refusal = withUnknownOutcome(refuser.FromError(err))
	default:
		a.resp = resp
		if a.refusal = refuser.FromResponse(resp); a.refusal != nil {
			discard(resp)
			a.resp = nil
			if a.refusal.Reason().Unread() {
				a.refusal = withUnknownOutcome(a.refusal)
			}
		}
	}
	a.end = time.Now()
	c.trace.AddAttempt(a.explanation())
	return a.resp, a.refusal
}

// serveAsHome performs the first run of a key, or returns the stored response of that run.
func (c *call) serveAsHome(key string) (*http.Response, *refuser.Refusal) {
	run, stored, err := c.forwarder.cfg.Keys.Begin(c.ctx, deduplicator.Request{
		Key:         key,
		Fingerprint: deduplicator.NewFingerprint(c.r.Method, c.r.URL.RequestURI(), c.body),
		Retention:   c.route.spec.KeyRetention,
	})
	if err != nil {
		return nil, withUnknownOutcome(refuser.FromError(err))
	}
	if stored != nil {
		return storedResponse(stored), nil
	}
	return c.runKeyed(run)
}

// runKeyed performs the first run of a key. The run continues if the caller disconnects,
// so that its response is stored for a retry.
func (c *call) runKeyed(run *deduplicator.Run) (*http.Response, *refuser.Refusal) {
	reported := false
	defer func() { // After a panic, the outcome is unknown.
		if !reported {
			run.Unknown()
		}
	}()
	deadline, _ := c.ctx.Deadline()
	caller := c.ctx
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), deadline)
	defer context.AfterFunc(caller, func() {
		if errors.Is(context.Cause(caller), errStopping) {
			cancel()
		}
	})()
	c.ctx = ctx
	resp, refusal := c.run()
	reported = true
	if refusal != nil {
		cancel()
		if refusal.Outcome() == classifier.NotRun {
			run.NotRun()
		} else {
			run.Unknown()
		}
		return nil, refusal
	}
	body, buffered := resp.Body.(*bufferedBody)
	complete := resp.Body == http.NoBody || buffered && body.complete
	if !complete {
		run.Done(nil) // Only a completely buffered response can be stored.
		resp.Body = &onCloseBody{ReadCloser: resp.Body, onClose: cancel}
		return resp, nil
	}
	stored := &deduplicator.Response{Status: resp.StatusCode, Header: resp.Header}
	if buffered {
		stored.Body = body.buffered
	}
	run.Done(stored)
	resp.Body = &onCloseBody{ReadCloser: resp.Body, onClose: cancel}
	return resp, nil
}

// storedResponse returns the stored response of a first run.
func storedResponse(stored *deduplicator.Response) *http.Response {
	return &http.Response{
		StatusCode:    stored.Status,
		Header:        stored.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(stored.Body)),
		ContentLength: int64(len(stored.Body)),
	}
}

// onCloseBody is a response body that calls onClose when it is closed.
type onCloseBody struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls onClose.
func (b *onCloseBody) Close() error {
	defer b.onClose()
	return b.ReadCloser.Close()
}
