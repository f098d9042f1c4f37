package launcher

import (
	"sync"
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// ledger keeps what instances last reported, in memory.
type ledger struct {
	mu      sync.Mutex
	inForce map[string]*controlwire.InForce
}

func newLedger() *ledger { return &ledger{inForce: make(map[string]*controlwire.InForce)} }

// Merge implements controller.Ledger.
func (l *ledger) Merge(_ []*controlwire.UsageCounter, inForce *controlwire.InForce) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	inForce.ReportedUnixMs = time.Now().UnixMilli()
	l.inForce[inForce.GetInstance()] = inForce
	return nil
}

// Counters implements controller.Ledger.
func (l *ledger) Counters() []*controlwire.UsageCounter { return nil }
