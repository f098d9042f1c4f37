package forwarder

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// race is one attempt and, if that is slow, a second one beside it. The first
// good answer wins; the other attempt is cancelled and its answer dropped.
type race struct {
	call    *call
	running []*racer
	results chan *racer
	// over is closed when the race is decided.
	over chan struct{}
	tomb tomb.Tomb
}

// racer is one attempt of a race.
type racer struct {
	attempt *attempt
	cancel  context.CancelFunc
}

// tryHedged does what try does. If the service hedges and the request may run
// more than once, it starts a second attempt when the first is slow.
func (c *call) tryHedged(cause classifier.Reason) *attempt {
	if c.route.spec.HedgeAfter <= 0 || !c.repeatable || c.stream != nil {
		return c.try(cause, nil)
	}
	a := c.pick(cause)
	if a == nil {
		return nil
	}
	r := &race{call: c, results: make(chan *racer), over: make(chan struct{})}
	r.start(a)
	timer := time.NewTimer(c.route.spec.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.hedge()
		case done := <-r.results:
			if winner := r.finish(done); winner != nil {
				return winner
			}
		}
	}
}

// start runs an attempt beside the others.
func (r *race) start(a *attempt) {
	ctx, cancel := context.WithCancel(r.call.ctx)
	one := &racer{attempt: a, cancel: cancel}
	r.running = append(r.running, one)
	r.tomb.Go(func() error {
		r.call.send(ctx, a, nil)
		select {
		case r.results <- one:
		case <-r.over:
			a.discard()
		}
		return nil
	})
}

// hedge starts a second attempt, if the attempts and the retry budget allow it.
func (r *race) hedge() {
	c := r.call
	if c.attempts-c.unsent >= c.route.spec.MaxAttempts {
		return
	}
	a := c.pick(classifier.ReasonHedge)
	if a == nil {
		return
	}
	if c.route.ranked && !a.choice.Spare {
		c.unpick()
		return
	}
	if !c.budget.SpendHedge() {
		c.unpick()
		c.forwarder.denials.Inc(classifier.ReasonRetryBudget)
		return
	}
	c.forwarder.retries.Inc(classifier.ReasonHedge)
	r.start(a)
}

// finish takes an attempt that has ended. It returns the attempt if it
// decides the race: a good answer, or the last failure.
func (r *race) finish(done *racer) *attempt {
	c := r.call
	for i, one := range r.running {
		if one == done {
			r.running = append(r.running[:i], r.running[i+1:]...)
			break
		}
	}
	c.trace.AddAttempt(done.attempt.explained())
	failure := done.attempt.failure()
	if failure.Reason == classifier.ReasonNone || len(r.running) == 0 {
		r.cancelRest()
		return done.attempt
	}
	if failure.Outcome != classifier.NotRun {
		c.mayHaveRun = true
	}
	done.attempt.discard()
	done.cancel()
	return nil
}

// cancelRest ends the attempts that lost. Their answers reach nobody.
func (r *race) cancelRest() {
	close(r.over)
	for _, one := range r.running {
		one.cancel()
		lost := one.attempt.begun()
		lost.End = time.Now()
		lost.Reason = classifier.ReasonCanceled
		r.call.trace.AddAttempt(lost)
	}
}
