package gossiper

import "time"

// budget is a token bucket that limits the bytes sent for membership. Its capacity
// is the bytes of one second, so at most rate * (t + 1 s) bytes are sent in any time t.
type budget struct {
	rate    float64 // Bytes per second.
	tokens  float64
	updated time.Time
}

const (
	// bulkReserve is the share of the budget that is reserved for pings and acks.
	bulkReserve = 0.4
	// pushReserve is the share that is reserved for pings, acks and table comparisons.
	pushReserve = 0.65
)

func newBudget(bytesPerSecond int) *budget {
	return &budget{rate: float64(bytesPerSecond), tokens: float64(bytesPerSecond), updated: time.Now()}
}

// refill adds the tokens earned since the last call. It reads the clock itself: a
// time that the caller read may precede a freeze of the process, and would let it
// spend the same tokens twice.
func (b *budget) refill() {
	now := time.Now()
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.rate, b.tokens+b.rate*elapsed.Seconds())
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

// takeBulk is like take, but leaves the reserve for pings and acks untouched.
func (b *budget) takeBulk(n int) bool {
	return n <= b.bulkAllowance() && b.take(n)
}

// pushAllowance returns how many bytes may be spent on pushing updates.
func (b *budget) pushAllowance() int {
	b.refill()
	return max(0, int(b.tokens-pushReserve*b.rate))
}

// bulkAllowance returns how many bytes may be spent without using the reserve for
// pings and acks.
func (b *budget) bulkAllowance() int {
	b.refill()
	return max(0, int(b.tokens-bulkReserve*b.rate))
}
