package retrier

import (
	"sync"
	"sync/atomic"
)

const (
	// retryCost is the cost of one retry or hedge in tokens. Each new request adds as many
	// tokens as the service's retry percentage, which thereby bounds the share of retries.
	retryCost = 100
	// defaultCapacity is the default capacity of a budget, in retries.
	defaultCapacity = 10
	// reserveDivisor is the inverse of the share of the capacity that hedges leave to
	// retries.
	reserveDivisor = 2
)

// Budget is a token bucket that bounds the retries and hedges of one service to a share
// of its new requests. It is safe for concurrent use and takes no lock.
type Budget struct {
	tokens   atomic.Int64
	capacity *atomic.Int64 // In tokens; shared by the budgets of a node.
}

// NewBudget returns a full budget of the default capacity.
func NewBudget() *Budget { return newBudget(newCapacity(defaultCapacity)) }

func newBudget(capacity *atomic.Int64) *Budget {
	b := &Budget{capacity: capacity}
	b.tokens.Store(capacity.Load())
	return b
}

// newCapacity returns a capacity for the given number of retries, in tokens.
func newCapacity(retries int) *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(int64(retries) * retryCost)
	return n
}

// Deposit adds percent tokens for a new request, up to the capacity.
func (b *Budget) Deposit(percent int) {
	for {
		old, capacity := b.tokens.Load(), b.capacity.Load()
		if old == capacity {
			return
		}
		if b.tokens.CompareAndSwap(old, min(old+int64(percent), capacity)) {
			return
		}
	}
}

// Withdraw removes the cost of one retry. It returns false if there are too few tokens.
func (b *Budget) Withdraw() bool { return b.withdraw(0) }

// Available reports whether Withdraw would succeed now.
func (b *Budget) Available() bool { return b.tokens.Load() >= retryCost }

// WithdrawHedge removes the cost of one hedge. It returns false if that would leave less
// than half of the capacity, which is reserved for retries, since they matter more.
func (b *Budget) WithdrawHedge() bool { return b.withdraw(b.capacity.Load() / reserveDivisor) }

// withdraw removes the cost of one retry or hedge if at least reserve tokens remain.
func (b *Budget) withdraw(reserve int64) bool {
	for {
		old := b.tokens.Load()
		if old < retryCost+reserve {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}

// Budgets holds the budgets of all services, which share one capacity.
type Budgets struct {
	byService sync.Map // Service name to *Budget.
	capacity  *atomic.Int64
}

// NewBudgets returns budgets of the default capacity.
func NewBudgets() *Budgets { return &Budgets{capacity: newCapacity(defaultCapacity)} }

// SetCapacity sets the capacity of each budget, in retries; it is at least one.
func (b *Budgets) SetCapacity(retries int) { b.capacity.Store(int64(max(retries, 1)) * retryCost) }

// Service returns the budget of the named service, and creates it at the first call.
func (b *Budgets) Service(name string) *Budget {
	if found, ok := b.byService.Load(name); ok {
		return found.(*Budget)
	}
	found, _ := b.byService.LoadOrStore(name, newBudget(b.capacity))
	return found.(*Budget)
}
