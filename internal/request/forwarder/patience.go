package forwarder

import (
	"sync"
	"time"
)

const (
	// samePatience is by how much the time that callers give to a request may
	// differ for it to be the same.
	samePatience = 10 * time.Millisecond
	// patienceWeight is the weight of one request in the share of those that came
	// with the whole time.
	patienceWeight = 1.0 / 32
	// minWholeShare is the share of requests that must come with the whole time for
	// a shorter one to tell of an earlier attempt: else callers just differ.
	minWholeShare = 0.3
	// patiencePeriod is how long the longest time given is remembered.
	patiencePeriod = time.Minute
)

// patience is how long the callers of a route wait for an answer, from their
// first attempt on. It answers load that comes back: a caller that asks again
// after a refusal gives the request only what is left of its time, and what has
// waited elsewhere already may be past its goal.
type patience struct {
	mu      sync.Mutex
	longest time.Duration
	at      time.Time // When it was last given.
	whole   float64   // Share of the requests that came with it.
}

// waited takes in how long the caller of a request waits from now on, and
// returns for how long it has waited already.
func (p *patience) waited(left time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left > p.longest+samePatience || now.Sub(p.at) > patiencePeriod {
		p.longest, p.whole = left, 0
	}
	gone := p.longest - left
	if gone <= samePatience {
		p.at = now
		p.whole += patienceWeight * (1 - p.whole)
		return 0
	}
	p.whole -= patienceWeight * p.whole
	if p.whole < minWholeShare {
		return 0
	}
	return gone
}

// patiences holds the patience of the callers of each route.
type patiences struct{ byRoute sync.Map } // Name to *patience.

// of returns the patience of a route's callers.
func (p *patiences) of(route string) *patience {
	if found, ok := p.byRoute.Load(route); ok {
		return found.(*patience)
	}
	found, _ := p.byRoute.LoadOrStore(route, &patience{})
	return found.(*patience)
}
