// Package retrier decides whether a failed attempt may be followed by another.
//
// # Usage
//
//	decision := retrier.Decide(retrier.Failure{Outcome: outcome, Reason: reason}, retrier.State{
//		Repeatable: true, Attempts: 1, MaxAttempts: 3, Budget: budgets.Service("vitrina"),
//	})
//	if decision.Retry() {
//		// Try another instance.
//	}
//
// A request that is not repeatable is tried again only after a proved not-run.
package retrier

import "github.com/banyanscale/banyanscale/pkg/classifier"

// Failure is what became of the last attempt.
type Failure struct {
	Outcome classifier.Outcome
	Reason  classifier.Reason
	// Retried tells that a lower level retried already.
	Retried bool
	// Unsent tells that the attempt reached no upstream.
	Unsent bool
}

// State is what is known of the request so far.
type State struct {
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// BodySpent tells that the body can not be sent a second time.
	BodySpent bool
	// Attempts counts the attempts so far, and MaxAttempts bounds them.
	Attempts, MaxAttempts int
	// Budget is the retry budget of the service.
	Budget *Budget
	// Placements is how many more attempts may follow one that reached no
	// upstream; they count neither as attempts nor towards the budget. With 0
	// they count as all others do.
	Placements int
}

// Decision tells whether to try again, or why not.
type Decision struct {
	retry  bool
	denied classifier.Reason
}

// Retry reports whether another attempt may start. Its cost is spent already.
func (d Decision) Retry() bool { return d.retry }

// Denied returns ReasonRetryBudget or ReasonRetriedBelow if only that kept a
// retry from starting, and ReasonNone otherwise.
func (d Decision) Denied() classifier.Reason { return d.denied }

// Decide returns whether to try again after failure f.
func Decide(f Failure, s State) Decision {
	if !allowed(f, s) {
		return Decision{}
	}
	if f.Unsent && s.Placements > 0 {
		return Decision{retry: true}
	}
	if f.Retried {
		return Decision{denied: classifier.ReasonRetriedBelow}
	}
	if !s.Budget.Spend() {
		return Decision{denied: classifier.ReasonRetryBudget}
	}
	return Decision{retry: true}
}

func allowed(f Failure, s State) bool {
	placed := f.Unsent && s.Placements > 0
	if s.Attempts >= s.MaxAttempts && !placed || s.BodySpent {
		return false
	}
	switch f.Reason {
	case classifier.ReasonCanceled, classifier.ReasonTimeout, classifier.ReasonDepth, classifier.ReasonBadRequest:
		return false // No time or no use is left.
	}
	if f.Outcome == classifier.NotRun {
		return true
	}
	return s.Repeatable && repeatable(f.Reason)
}

// repeatable reports whether a repeatable request may be tried again after it
// failed for the given reason and may have run.
func repeatable(reason classifier.Reason) bool {
	switch reason {
	case classifier.ReasonSend, classifier.ReasonReset, classifier.ReasonTruncated,
		classifier.ReasonStalled, classifier.ReasonUpstreamError:
		return true
	}
	return false
}
