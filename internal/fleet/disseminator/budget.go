package disseminator

import "time"

// budget is a token bucket of the bytes that may be sent.
type budget struct {
	left      float64
	updatedAt time.Time
}

func newBudget(now time.Time) budget { return budget{left: burstBytes, updatedAt: now} }

// take reports whether n bytes may be sent now, and deducts them.
func (b *budget) take(n int, now time.Time) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.left = min(b.left+elapsed.Seconds()*bytesPerSecond, burstBytes)
		b.updatedAt = now
	}
	if b.left < float64(n) {
		return false
	}
	b.left -= float64(n)
	return true
}
