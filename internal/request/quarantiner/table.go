package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

// maxEntries bounds the requests of which evidence is kept.
const maxEntries = 1024

// table holds the evidence against requests. Tables of several nodes that have merged the same
// changes, in any order, hold the same within the bounds of maxEntries and MaxCrashes.
type table struct {
	entries map[fingerprinter.Fingerprint]*Evidence
	// heads counts the entries by the digest of their requests without the body.
	heads map[fingerprinter.Head]int
}

func newTable() *table {
	return &table{entries: make(map[fingerprinter.Fingerprint]*Evidence), heads: make(map[fingerprinter.Head]int)}
}

// merge adds evidence. It reports whether any of it is new.
func (t *table) merge(e Evidence, now time.Time) bool {
	changed := false
	for _, c := range e.Crashes {
		if now.Sub(c.At) < evidencePeriod && t.entry(e.Fingerprint).merge(c) {
			changed = true
		}
	}
	return changed
}

// entry returns the entry of a request, which it adds if there is none.
func (t *table) entry(f fingerprinter.Fingerprint) *Evidence {
	if e := t.entries[f]; e != nil {
		return e
	}
	if len(t.entries) >= maxEntries {
		t.remove(t.leastNeeded())
	}
	e := &Evidence{Fingerprint: f}
	t.entries[f] = e
	t.heads[f.Head()]++
	return e
}

// leastNeeded returns the request with the fewest crashes in a row, and among these the one
// whose last crash is the oldest.
func (t *table) leastNeeded() fingerprinter.Fingerprint {
	var least *Evidence
	for _, e := range t.entries {
		if least == nil || cmp.Or(cmp.Compare(e.Streak(), least.Streak()), e.Newest().Compare(least.Newest())) < 0 {
			least = e
		}
	}
	return least.Fingerprint
}

func (t *table) remove(f fingerprinter.Fingerprint) {
	delete(t.entries, f)
	head := f.Head()
	if t.heads[head]--; t.heads[head] <= 0 {
		delete(t.heads, head)
	}
}

// expire removes the evidence that no longer counts.
func (t *table) expire(now time.Time) {
	for f, e := range t.entries {
		if e.expire(now); len(e.Crashes) == 0 {
			t.remove(f)
		}
	}
}

// setOtherCause sets whether upstreams also crashed without the request.
func (t *table) setOtherCause(e *Evidence) {
	e.OtherCause = false
	if e.Streak() < trialAfter {
		return // Too few crashes for a quarantine, whatever their cause.
	}
	since, until := e.oldestInStreak(), e.Newest()
	for _, other := range t.entries {
		for _, c := range other.Crashes {
			if !c.At.Before(since) && !c.At.After(until) && !e.includes(c.ID) {
				e.OtherCause = true
				return
			}
		}
	}
}

// standing returns how a request is treated now.
func (t *table) standing(f fingerprinter.Fingerprint, now time.Time) Standing {
	if e := t.entries[f]; e != nil {
		t.setOtherCause(e)
		return e.Standing(now)
	}
	return Clear
}

// all returns all evidence, by decreasing number of crashes in a row.
func (t *table) all() []Evidence {
	list := make([]Evidence, 0, len(t.entries))
	for _, e := range t.entries {
		t.setOtherCause(e)
		list = append(list, e.clone())
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Streak(), a.Streak()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// digest returns a digest of the table without the times; 0 if it is empty.
func (t *table) digest() uint64 {
	sum := uint64(0)
	for _, e := range t.entries {
		sum ^= e.digest()
	}
	return sum
}
