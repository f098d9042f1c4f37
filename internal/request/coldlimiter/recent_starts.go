package coldlimiter

import "time"

// startSlotLength is the precision with which recentStarts counts.
const startSlotLength = 20 * time.Millisecond

// recentStarts counts the requests that started within the last window.
type recentStarts struct {
	origin time.Time // Of the first start; zero before it.
	slots  [window/startSlotLength + 1]startSlot
}

// startSlot counts the starts in one startSlotLength.
type startSlot struct {
	number int64 // Since the origin.
	count  int
}

// add records a start.
func (r *recentStarts) add(now time.Time) {
	if r.origin.IsZero() {
		r.origin = now
	}
	number := max(int64(now.Sub(r.origin)/startSlotLength), 0)
	s := &r.slots[number%int64(len(r.slots))]
	if s.number != number {
		*s = startSlot{number: number}
	}
	s.count++
}

// since returns the number of starts since t, which is at most one window ago, and perhaps
// some up to startSlotLength before.
func (r *recentStarts) since(t time.Time) int {
	first := int64(t.Sub(r.origin) / startSlotLength)
	n := 0
	for _, s := range r.slots {
		if s.number >= first {
			n += s.count
		}
	}
	return n
}
