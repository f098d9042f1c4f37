package retrier_test

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/retrier"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		failure retrier.Failure
		state   retrier.State
		retry   bool
		denied  classifier.Reason
	}{
		{"outcome not-run", retrier.Failure{Outcome: classifier.NotRun, Reason: classifier.ReasonConnect}, retrier.State{}, true, ""},
		{"outcome unknown", retrier.Failure{Reason: classifier.ReasonReset}, retrier.State{}, false, ""},
		{"outcome unknown, repeatable", retrier.Failure{Reason: classifier.ReasonReset}, retrier.State{Repeatable: true}, true, ""},
		{"upstream error after work", retrier.Failure{Outcome: classifier.Done, Reason: classifier.ReasonUpstreamError}, retrier.State{}, false, ""},
		{"body consumed", retrier.Failure{Outcome: classifier.NotRun, Reason: classifier.ReasonConnect}, retrier.State{BodyConsumed: true}, false, ""},
		{"last attempt", retrier.Failure{Outcome: classifier.NotRun, Reason: classifier.ReasonConnect}, retrier.State{Attempts: 3}, false, ""},
		{"no time left", retrier.Failure{Reason: classifier.ReasonTimeout}, retrier.State{Repeatable: true}, false, ""},
		{"retried at a lower level", retrier.Failure{Outcome: classifier.NotRun, Reason: classifier.ReasonShed, Retried: true}, retrier.State{}, false, classifier.ReasonRetriedBelow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.state.MaxAttempts = 3
			tt.state.Budget = retrier.NewBudget()
			decision := retrier.Decide(tt.failure, tt.state)
			assert.Equal(t, decision.Retry(), tt.retry)
			assert.Equal(t, decision.Denied(), tt.denied)
		})
	}
}

// TestHedgesLeaveBudgetToRetries checks that hedges withdraw only half of a full budget.
func TestHedgesLeaveBudgetToRetries(t *testing.T) {
	b := retrier.NewBudget()
	hedges, retries := 0, 0
	for b.WithdrawHedge() {
		hedges++
	}
	for b.Withdraw() {
		retries++
	}
	assert.Equal(t, hedges, 5)
	assert.Equal(t, retries, 5)
	b.Deposit(100)
	assert.Assert(t, !b.WithdrawHedge())
}

// TestBudgetBoundsConcurrentRetries checks that goroutines which share a budget withdraw at
// least what their requests deposit, and at most the initial capacity more.
func TestBudgetBoundsConcurrentRetries(t *testing.T) {
	const requests, percent, capacity = 10_000, 10, 10
	b := retrier.NewBudget()
	var wg sync.WaitGroup
	withdrawn := make([]int, 8)
	for i := range withdrawn {
		wg.Go(func() {
			for range requests / len(withdrawn) {
				b.Deposit(percent)
				if b.Withdraw() {
					withdrawn[i]++
				}
			}
		})
	}
	wg.Wait()
	total := 0
	for _, n := range withdrawn {
		total += n
	}
	assert.Assert(t, total <= requests*percent/100+capacity, "withdrew %d", total)
	assert.Assert(t, total >= requests*percent/100, "withdrew %d", total)
}

// BenchmarkAmplification reports how many calls per request to the top service of a chain
// reach the lowest one, which refuses all of them.
func BenchmarkAmplification(b *testing.B) {
	const depth = 4
	for _, policy := range []struct {
		name                    string
		budget, lowestLevelOnly bool
	}{
		{"attempts-only", false, false},
		{"budget", true, false},
		{"lowest-level-only", false, true},
		{"budget-and-lowest-level-only", true, true},
	} {
		b.Run(fmt.Sprintf("%s/depth-%d", policy.name, depth), func(b *testing.B) {
			c := chain{lowestLevelOnly: policy.lowestLevelOnly}
			for range depth {
				c.budgets = append(c.budgets, retrier.NewBudget())
			}
			for b.Loop() {
				c.call(depth-1, policy.budget)
			}
			b.ReportMetric(float64(c.calls)/float64(b.N), "calls/request")
		})
	}
}

// chain is a chain of services; budgets holds the budget of each, the lowest first.
type chain struct {
	budgets         []*retrier.Budget
	lowestLevelOnly bool
	calls           int
}

// call calls the service at the given level. It reports whether the service retried, or
// was denied a retry.
func (c *chain) call(level int, budgeted bool) bool {
	budget := c.budgets[level]
	budget.Deposit(10)
	state := retrier.State{MaxAttempts: 3, Budget: budget}
	for {
		state.Attempts++
		failure := retrier.Failure{Outcome: classifier.NotRun, Reason: classifier.ReasonQueueFull}
		if level == 0 {
			c.calls++
		} else {
			failure.Retried = c.call(level-1, budgeted) && c.lowestLevelOnly
		}
		if !budgeted {
			state.Budget = retrier.NewBudget()
		}
		decision := retrier.Decide(failure, state)
		if !decision.Retry() {
			return state.Attempts > 1 || decision.Denied() != ""
		}
	}
}
