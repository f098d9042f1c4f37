package quotakeeper

import (
	"slices"
	"time"
)

// tokens are those that the node holds, ordered by their end.
type tokens struct {
	batches []batch
	// ended counts those that ended unused and were not returned yet.
	ended int
}

// batch is a number of tokens with the same end.
type batch struct {
	count int
	until time.Duration
}

// add adds tokens that are valid until the given time.
func (t *tokens) add(count int, until time.Duration) {
	if count == 0 {
		return
	}
	i, found := slices.BinarySearchFunc(t.batches, until, func(b batch, until time.Duration) int { return int(b.until - until) })
	if found {
		t.batches[i].count += count
		return
	}
	t.batches = slices.Insert(t.batches, i, batch{count, until})
}

// take takes the token that ends first, and returns when it does. It must follow expire.
func (t *tokens) take() (time.Duration, bool) {
	if len(t.batches) == 0 {
		return 0, false
	}
	first := &t.batches[0]
	until := first.until
	if first.count--; first.count == 0 {
		t.batches = t.batches[1:]
	}
	return until, true
}

// expire removes the tokens that have ended. It reports whether there were any.
func (t *tokens) expire(now time.Duration) bool {
	expired := false
	for len(t.batches) > 0 && now >= t.batches[0].until {
		t.ended += t.batches[0].count
		t.batches = t.batches[1:]
		expired = true
	}
	return expired
}

// count returns the number of tokens.
func (t *tokens) count() int {
	n := 0
	for _, b := range t.batches {
		n += b.count
	}
	return n
}
