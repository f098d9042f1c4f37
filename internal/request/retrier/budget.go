package retrier

import (
	"sync"
	"sync/atomic"
)

const (
	// tokenCost is what one retry or hedge costs. A fresh request earns
	// the service's retry percentage.
	tokenCost = 100
	// maxTokens bounds the saved budget: ten retries at once.
	maxTokens = 10 * tokenCost
	// hedgeReserve is what hedges leave of the saved budget to retries.
	hedgeReserve = maxTokens / 2
)

// Budget bounds the retries and hedges of one service to a share of its fresh
// requests. It is safe for concurrent use and takes no lock.
type Budget struct{ tokens atomic.Int64 }

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(maxTokens)
	return b
}

// Earn adds the share of one fresh request.
func (b *Budget) Earn(percent int) {
	for {
		old := b.tokens.Load()
		if old >= maxTokens {
			return
		}
		if b.tokens.CompareAndSwap(old, min(old+int64(percent), maxTokens)) {
			return
		}
	}
}

// Spend takes the cost of one retry, and reports whether there was enough.
func (b *Budget) Spend() bool { return b.spend(0) }

// SpendHedge takes the cost of one hedge, and reports whether there was enough.
// It leaves half of what can be saved to retries, which are needed more.
func (b *Budget) SpendHedge() bool { return b.spend(hedgeReserve) }

// spend takes the cost of one retry or hedge if at least reserve is left.
func (b *Budget) spend(reserve int64) bool {
	for {
		old := b.tokens.Load()
		if old < tokenCost+reserve {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenCost) {
			return true
		}
	}
}

// Budgets holds the budget of each service by name.
type Budgets struct{ byService sync.Map }

// Service returns the budget of the named service.
func (b *Budgets) Service(name string) *Budget {
	if found, ok := b.byService.Load(name); ok {
		return found.(*Budget)
	}
	found, _ := b.byService.LoadOrStore(name, NewBudget())
	return found.(*Budget)
}
