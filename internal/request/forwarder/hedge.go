package forwarder

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// hedger runs one attempt and, if it is slow or makes no progress, further ones
// concurrently. The first successful response wins; the other attempts are canceled and
// their responses discarded.
type hedger struct {
	call    *call
	running []*hedgedAttempt
	results chan *hedgedAttempt
	// stalled receives a value when an attempt makes no progress.
	stalled chan struct{}
	// decided is closed when an attempt has won or the last one has failed.
	decided chan struct{}
	tomb    tomb.Tomb
}

// hedgedAttempt is one attempt of a hedger.
type hedgedAttempt struct {
	attempt *attempt
	cancel  context.CancelFunc
}

// tryHedged is like try, but if the request is idempotent and its body is not streamed, it
// starts further attempts: a second one if the first is slow and the service hedges, and
// others while none makes progress.
func (c *call) tryHedged(cause classifier.Reason) *attempt {
	if !c.idempotent || c.stream != nil {
		return c.try(cause, nil)
	}
	a := c.pick(cause)
	if a == nil {
		return nil
	}
	h := &hedger{call: c, results: make(chan *hedgedAttempt), stalled: make(chan struct{}, 1), decided: make(chan struct{})}
	h.start(a)
	var slow <-chan time.Time
	if c.route.spec.HedgeAfter > 0 {
		timer := time.NewTimer(c.route.spec.HedgeAfter)
		defer timer.Stop()
		slow = timer.C
	}
	for {
		select {
		case <-slow:
			h.startHedge()
		case <-h.stalled:
			h.startAfterStall()
		case ended := <-h.results:
			if final := h.handleEnded(ended); final != nil {
				return final
			}
		}
	}
}

// start runs an attempt concurrently with those already running.
func (h *hedger) start(a *attempt) {
	a.stalled = h.stalled
	ctx, cancel := context.WithCancel(h.call.ctx)
	started := &hedgedAttempt{attempt: a, cancel: cancel}
	h.running = append(h.running, started)
	h.tomb.Go(func() error {
		h.call.sendGuarded(ctx, a)
		select {
		case h.results <- started:
		case <-h.decided:
			a.discard()
		}
		return nil
	})
}

// startHedge starts a second attempt if the attempt limit, the retry budget and the quota allow it,
// and the instance has no rate limit. On an explicit route, the instance must also have
// spare capacity.
func (h *hedger) startHedge() {
	c := h.call
	if c.attempts-c.unsentAttempts >= c.route.spec.MaxAttempts {
		return
	}
	a := c.pick(classifier.ReasonHedge)
	if a == nil {
		return
	}
	if a.choice.RateLimited || c.route.explicit && !a.choice.HasSpareCapacity {
		c.undoPick()
		return
	}
	if !c.retryBudget.WithdrawHedge() {
		c.undoPick()
		c.forwarder.retryDenials.Inc(classifier.ReasonRetryBudget)
		return
	}
	if !c.takeFurtherQuota() {
		c.undoPick()
		return
	}
	c.forwarder.retries.Inc(classifier.ReasonHedge)
	h.start(a)
}

// startAfterStall starts another attempt if a failed one could be retried.
func (h *hedger) startAfterStall() {
	c := h.call
	c.mayHaveRun = true
	decision := retrier.Decide(retrier.Failure{Outcome: classifier.Unknown, Reason: classifier.ReasonStalled}, c.retryState())
	c.recordDenial(decision)
	if !decision.Retry() || !c.takeFurtherQuota() {
		return
	}
	if a := c.pick(classifier.ReasonStalled); a != nil {
		c.forwarder.retries.Inc(classifier.ReasonStalled)
		h.start(a)
	}
}

// handleEnded handles an attempt that has ended. It returns the attempt if it succeeded or
// if no other is running, and nil otherwise.
func (h *hedger) handleEnded(ended *hedgedAttempt) *attempt {
	c := h.call
	for i, other := range h.running {
		if other == ended {
			h.running = append(h.running[:i], h.running[i+1:]...)
			break
		}
	}
	c.trace.AddAttempt(ended.attempt.explanation())
	failure := ended.attempt.failure()
	if failure.Reason == classifier.ReasonNone || len(h.running) == 0 {
		h.cancelLosers()
		return ended.attempt
	}
	if failure.Outcome != classifier.NotRun {
		c.mayHaveRun = true
	}
	ended.attempt.discard()
	ended.cancel()
	return nil
}

// cancelLosers cancels the attempts that are still running. Their responses are
// discarded. Their instances did not fail, so that one may resume the winner's response.
func (h *hedger) cancelLosers() {
	close(h.decided)
	for _, loser := range h.running {
		loser.cancel()
		h.call.undoExclusion(loser.attempt)
		explanation := loser.attempt.pendingExplanation()
		explanation.End = time.Now()
		explanation.Reason = classifier.ReasonCanceled
		h.call.trace.AddAttempt(explanation)
	}
}
