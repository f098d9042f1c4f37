package gossiper

import "time"

// budget is a token bucket for the bytes that membership sends. It holds the
// bytes of one second, so that over any time t at most rate * (t + 1 s) bytes
// are sent.
type budget struct {
	rate    float64 // Bytes per second.
	tokens  float64
	updated time.Time
}

const (
	// bulkReserve is the share of the budget that is kept for pings and acks.
	bulkReserve = 0.4
	// pushReserve is the share that is kept for these and for comparisons of tables.
	pushReserve = 0.65
)

func newBudget(bytesPerSecond int) *budget {
	return &budget{rate: float64(bytesPerSecond), tokens: float64(bytesPerSecond), updated: time.Now()}
}

// refill reads the clock itself: a time that was read earlier may be from
// before the process stood still, and would let it spend twice.
func (b *budget) refill() {
	now := time.Now()
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.rate, b.tokens+b.rate*elapsed.Seconds())
		b.updated = now
	}
}

// take spends n bytes, and reports whether it could.
func (b *budget) take(n int) bool {
	b.refill()
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// takeBulk spends n bytes without touching the reserve for pings and acks.
func (b *budget) takeBulk(n int) bool {
	return n <= b.bulk() && b.take(n)
}

// push returns how many bytes may be spent on pushes of updates.
func (b *budget) push() int {
	b.refill()
	return max(0, int(b.tokens-pushReserve*b.rate))
}

// bulk returns how many bytes may be spent without touching the reserve.
func (b *budget) bulk() int {
	b.refill()
	return max(0, int(b.tokens-bulkReserve*b.rate))
}
