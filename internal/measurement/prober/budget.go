package prober

import "time"

// budgetWindow is the length of the sliding window of a budget.
const budgetWindow = time.Second

// charge is a message charged to a budget.
type charge struct {
	at    time.Time
	bytes int
}

// budget limits the messages and bytes within any window of time, wherever it
// begins, so that no burst is allowed on top of the rate. It stores a charge for
// each message of the window. The limits may change at any time.
type budget struct {
	maxMessages, maxBytes int
	charges               []charge // In the order charged.
	usedBytes             int      // Sum of the charges.
}

// allows reports whether a message of the given size may be sent now.
func (b *budget) allows(now time.Time, bytes int) bool {
	b.expire(now)
	return len(b.charges) < b.maxMessages && b.usedBytes+bytes <= b.maxBytes
}

// fits reports whether a message of the given size can ever be allowed.
func (b *budget) fits(bytes int) bool { return b.maxMessages > 0 && bytes <= b.maxBytes }

// allowedAt returns the earliest time at which a message of the given size may be
// sent if none is sent before: now, or when enough charges have expired. For a
// message larger than the budget it returns one window from now.
func (b *budget) allowedAt(now time.Time, bytes int) time.Time {
	if b.allows(now, bytes) {
		return now
	}
	count, used := len(b.charges), b.usedBytes
	for _, c := range b.charges {
		count--
		used -= c.bytes
		if count < b.maxMessages && used+bytes <= b.maxBytes {
			return c.at.Add(budgetWindow)
		}
	}
	return now.Add(budgetWindow)
}

// take charges a message of the given size, and reports whether the budget allows
// it. If not, it charges nothing.
func (b *budget) take(now time.Time, bytes int) bool {
	if !b.allows(now, bytes) {
		return false
	}
	b.charges = append(b.charges, charge{at: now, bytes: bytes})
	b.usedBytes += bytes
	return true
}

// refund reduces a charge of the given time and size, if it is still in the window.
func (b *budget) refund(at time.Time, charged, bytes int) {
	for i := len(b.charges) - 1; i >= 0; i-- {
		if c := &b.charges[i]; c.at.Equal(at) && c.bytes == charged {
			c.bytes -= bytes
			b.usedBytes -= bytes
			return
		}
	}
}

// empty reports whether no message is charged.
func (b *budget) empty(now time.Time) bool {
	b.expire(now)
	return len(b.charges) == 0
}

// expire drops the charges that are older than the window, in the order charged.
// After the clock was set back, none is dropped until it has caught up.
func (b *budget) expire(now time.Time) {
	n := 0
	for n < len(b.charges) && now.Sub(b.charges[n].at) >= budgetWindow {
		b.usedBytes -= b.charges[n].bytes
		n++
	}
	b.charges = append(b.charges[:0], b.charges[n:]...)
}
