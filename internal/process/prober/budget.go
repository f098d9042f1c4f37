package prober

import "time"

// budgetWindow is the time over which a budget counts.
const budgetWindow = time.Second

// charge is one message that was charged to a budget.
type charge struct {
	at    time.Time
	bytes int
}

// budget bounds the messages and bytes within every window, wherever it
// begins: no burst is added to the rate. It keeps one charge for each message
// of the window. Its limits may change at any time.
type budget struct {
	maxMessages, maxBytes int
	charges               []charge // In order of charging.
	usedBytes             int      // Bytes of the charges.
}

// allows reports whether a message of the given bytes may be sent now.
func (b *budget) allows(now time.Time, bytes int) bool {
	b.expire(now)
	return len(b.charges) < b.maxMessages && b.usedBytes+bytes <= b.maxBytes
}

// fits reports whether a message of the given bytes is ever allowed.
func (b *budget) fits(bytes int) bool { return b.maxMessages > 0 && bytes <= b.maxBytes }

// allowedAt returns the earliest time at which a message of the given bytes may be
// sent if none is sent before: now, or when enough of the charges have expired.
// A message that is larger than the budget is looked at again after a window.
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

// take charges a message of the given bytes and returns true, or returns false
// if the budget does not allow it.
func (b *budget) take(now time.Time, bytes int) bool {
	if !b.allows(now, bytes) {
		return false
	}
	b.charges = append(b.charges, charge{at: now, bytes: bytes})
	b.usedBytes += bytes
	return true
}

// empty reports whether nothing is charged.
func (b *budget) empty(now time.Time) bool {
	b.expire(now)
	return len(b.charges) == 0
}

// expire drops the charges that are older than the window, the first charged
// first. When the clock went back, none is dropped until it has caught up.
func (b *budget) expire(now time.Time) {
	n := 0
	for n < len(b.charges) && now.Sub(b.charges[n].at) >= budgetWindow {
		b.usedBytes -= b.charges[n].bytes
		n++
	}
	b.charges = append(b.charges[:0], b.charges[n:]...)
}
