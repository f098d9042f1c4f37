package quarantiner

import (
	"encoding/binary"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

const (
	// survivalSlots is the number of requests whose successful runs are counted.
	survivalSlots = 2048
	// provenSurvivals is the number of successful runs in a row after which one crash does not
	// make a request suspected.
	provenSurvivals = 3
	// survivalPeriod is how long a successful run counts.
	survivalPeriod = 10 * time.Minute
	// maxSurvivals bounds the count of one request.
	maxSurvivals = 32
)

// survivals counts the successful runs of frequent requests at the own upstream since a crash. A
// request that comes once takes the place of a frequent one only after many others.
type survivals struct{ slots [survivalSlots]survivalCount }

// survivalCount is the count of the request that last held a slot.
type survivalCount struct {
	fingerprint fingerprinter.Fingerprint
	count       int
	last        time.Time
}

// add counts a successful run.
func (s *survivals) add(f fingerprinter.Fingerprint, now time.Time) {
	slot := s.slot(f)
	switch {
	case slot.fingerprint == f:
	case slot.count > 1 && now.Sub(slot.last) < survivalPeriod:
		slot.count--
		return
	default:
		*slot = survivalCount{fingerprint: f}
	}
	slot.count = min(slot.count+1, maxSurvivals)
	slot.last = now
}

// spend reports whether a request has run successfully often enough, and resets its count.
func (s *survivals) spend(f fingerprinter.Fingerprint, now time.Time) bool {
	slot := s.slot(f)
	if slot.fingerprint != f {
		return false
	}
	proven := slot.count >= provenSurvivals && now.Sub(slot.last) < survivalPeriod
	slot.count = 0
	return proven
}

func (s *survivals) slot(f fingerprinter.Fingerprint) *survivalCount {
	return &s.slots[binary.BigEndian.Uint64(f[:])%survivalSlots]
}
