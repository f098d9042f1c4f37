// Package retrier decides whether a failed attempt is retried.
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
// A request that is not repeatable is retried only if the last attempt is known not to
// have run.
package retrier

import "github.com/banyanscale/banyanscale/pkg/classifier"

// Failure describes the failure of the last attempt.
type Failure struct {
	Outcome classifier.Outcome
	Reason  classifier.Reason
	// Retried reports whether a lower level of the call chain has already retried.
	Retried bool
	// Unsent reports whether the attempt reached no upstream.
	Unsent bool
}

// State describes the request and its attempts so far.
type State struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// BodyConsumed reports whether the request body can't be sent again.
	BodyConsumed bool
	// Attempts is the number of attempts so far, and MaxAttempts their maximum.
	Attempts, MaxAttempts int
	// Budget is the retry budget of the service.
	Budget *Budget
	// UnsentAttemptsLeft is how many more attempts that reached no upstream may be retried
	// without counting towards MaxAttempts or the budget. At 0 they count like others.
	UnsentAttemptsLeft int
}

// Decision reports whether to retry, or why not.
type Decision struct {
	retry  bool
	denied classifier.Reason
}

// Retry reports whether another attempt may start. Its cost, if any, is already deducted
// from the budget.
func (d Decision) Retry() bool { return d.retry }

// Denied returns ReasonRetryBudget or ReasonRetriedBelow if a retry was denied for that
// reason alone, and ReasonNone otherwise.
func (d Decision) Denied() classifier.Reason { return d.denied }

// Decide returns whether to retry after failure f. It deducts the cost of the retry from
// the budget, except after an attempt that UnsentAttemptsLeft exempts.
func Decide(f Failure, s State) Decision {
	if !mayRetry(f, s) {
		return Decision{}
	}
	if f.Unsent && s.UnsentAttemptsLeft > 0 {
		return Decision{retry: true}
	}
	if f.Retried {
		return Decision{denied: classifier.ReasonRetriedBelow}
	}
	if !s.Budget.Withdraw() {
		return Decision{denied: classifier.ReasonRetryBudget}
	}
	return Decision{retry: true}
}

// Permits reports whether Decide would permit a retry now. It deducts nothing.
func Permits(f Failure, s State) bool { return mayRetry(f, s) && !f.Retried && s.Budget.Available() }

// mayRetry reports whether the request itself permits a retry, regardless of the budget
// and of retries at lower levels.
func mayRetry(f Failure, s State) bool {
	uncounted := f.Unsent && s.UnsentAttemptsLeft > 0
	if s.Attempts >= s.MaxAttempts && !uncounted || s.BodyConsumed {
		return false
	}
	switch f.Reason {
	case classifier.ReasonCanceled, classifier.ReasonTimeout, classifier.ReasonDepth, classifier.ReasonBadRequest,
		classifier.ReasonQuarantined:
		return false // The caller is gone, no time is left, or a retry can't help.
	}
	if f.Outcome == classifier.NotRun {
		return true
	}
	return s.Repeatable && retryable(f.Reason)
}

// retryable reports whether a repeatable request is retried after an attempt that may have
// run and failed for the given reason.
func retryable(reason classifier.Reason) bool {
	switch reason {
	case classifier.ReasonSend, classifier.ReasonReset, classifier.ReasonTruncated,
		classifier.ReasonStalled, classifier.ReasonUpstreamError:
		return true
	}
	return false
}
