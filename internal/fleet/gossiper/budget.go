package gossiper

import "time"

// budget is a token bucket that limits the bytes sent for membership. Its capacity is
// the bytes of one second, and it starts with an allowance on top. So at most
// rate * (t + 1 s) bytes are sent in any time t, plus the allowance once.
type budget struct {
	rate    float64 // Bytes per second.
	tokens  float64
	updated time.Time
}

const (
	// exchangeReserve is the share of the budget that table exchanges leave to pings and
	// acks.
	exchangeReserve = 0.4
	// pushReserve is the share that pushes leave to pings, acks and table exchanges.
	pushReserve = 0.65
)

func newBudget(bytesPerSecond, startAllowance int) *budget {
	return &budget{rate: float64(bytesPerSecond), tokens: float64(bytesPerSecond + startAllowance), updated: time.Now()}
}

// refill adds the tokens earned since the last call. It reads the clock itself: a
// time that the caller read may precede a freeze of the process, and would let it
// spend the same tokens twice.
func (b *budget) refill() {
	now := time.Now()
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = max(b.tokens, min(b.rate, b.tokens+b.rate*elapsed.Seconds()))
		b.updated = now
	}
}

// take spends n bytes and reports whether enough were available.
func (b *budget) take(n int) bool {
	b.refill()
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// takeForExchange is like take, but leaves exchangeReserve unspent.
func (b *budget) takeForExchange(n int) bool {
	return n <= b.exchangeAllowance() && b.take(n)
}

// pushAllowance returns how many bytes pushes may spend now.
func (b *budget) pushAllowance() int {
	b.refill()
	return max(0, int(b.tokens-pushReserve*b.rate))
}

// exchangeAllowance returns how many bytes table exchanges may spend now.
func (b *budget) exchangeAllowance() int {
	b.refill()
	return max(0, int(b.tokens-exchangeReserve*b.rate))
}
