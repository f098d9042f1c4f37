package retrier

import (
	"sync"
	"sync/atomic"
)

const (
	// tokenCost is what one retry or hedge costs. A fresh request earns
	// the service's retry percentage.
	tokenCost = 100
	// defaultSaved is how many retries one budget saves up unless that is set.
	defaultSaved = 10
	// reserveShare is the inverse of the share of what can be saved that hedges
	// leave to retries.
	reserveShare = 2
)

// Budget bounds the retries and hedges of one service to a share of its fresh
// requests. It is safe for concurrent use and takes no lock.
type Budget struct {
	tokens atomic.Int64
	most   *atomic.Int64 // What can be saved; shared by the budgets of a node.
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return newBudget(savedTokens(defaultSaved)) }

func newBudget(most *atomic.Int64) *Budget {
	b := &Budget{most: most}
	b.tokens.Store(most.Load())
	return b
}

// savedTokens returns the tokens of so many retries.
func savedTokens(retries int) *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(int64(retries) * tokenCost)
	return n
}

// Earn adds the share of one fresh request.
func (b *Budget) Earn(percent int) {
	for {
		old, most := b.tokens.Load(), b.most.Load()
		if old == most {
			return
		}
		if b.tokens.CompareAndSwap(old, min(old+int64(percent), most)) {
			return
		}
	}
}

// Spend takes the cost of one retry, and reports whether there was enough.
func (b *Budget) Spend() bool { return b.spend(0) }

// SpendHedge takes the cost of one hedge, and reports whether there was enough.
// It leaves half of what can be saved to retries, which are needed more.
func (b *Budget) SpendHedge() bool { return b.spend(b.most.Load() / reserveShare) }

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
type Budgets struct {
	byService sync.Map
	most      *atomic.Int64
}

// NewBudgets returns budgets that save up the default.
func NewBudgets() *Budgets { return &Budgets{most: savedTokens(defaultSaved)} }

// Save sets how many retries each budget saves up, at least one.
func (b *Budgets) Save(retries int) { b.most.Store(int64(max(retries, 1)) * tokenCost) }

// Service returns the budget of the named service.
func (b *Budgets) Service(name string) *Budget {
	if found, ok := b.byService.Load(name); ok {
		return found.(*Budget)
	}
	found, _ := b.byService.LoadOrStore(name, newBudget(b.most))
	return found.(*Budget)
}
