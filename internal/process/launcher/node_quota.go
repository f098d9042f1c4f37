package launcher

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/fleet/quotakeeper"
)

// assembleQuota creates the part that spends the quotas of organisations.
func (n *Node) assembleQuota(base zerolog.Logger, transport quotakeeper.Transport, now func() time.Duration) {
	n.quotaKeeper = quotakeeper.New(quotakeeper.Config{
		Controls:  n.controlAddresses,
		Transport: transport,
		Now:       now,
		Random:    newRandom(),
		Scope:     n.metrics.Scope().SubScope("quotakeeper"),
		Log:       base,
	})
}
