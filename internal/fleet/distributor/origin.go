package distributor

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// form says how a process received a version.
type form string

const (
	formDelta    form = "delta"
	formSnapshot form = "snapshot"
	formCurrent  form = "current" // Read from a control instance at the start.
	formOffer    form = "offer"   // From the control instance's own voter.
)

// origin describes where a version came from, when and in what form.
type origin struct {
	form    form
	holder  netip.AddrPort
	started time.Time                  // When the fetch began.
	fetched time.Time                  // When its last response was complete.
	waiting *atomic.Bool               // Set while the holder is to respond.
	bytes   int                        // Of all responses, as sent.
	resp    *controlwire.FetchResponse // The last response, as sent.
	delta   *controlwire.Delta         // The delta that led to the version, if it did.
}

// recordAdoption logs and measures that a version is in force from now on.
func (d *Distributor) recordAdoption(number uint64, o origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	line := d.log.Info().Uint64("version", number).Str("form", string(o.form))
	if o.holder.IsValid() {
		line = line.Stringer("holder", o.holder).
			Int("bytes", o.bytes).
			Float64("fetch-ms", milliseconds(o.fetched.Sub(o.started))).
			Float64("adopt-ms", milliseconds(now.Sub(o.fetched)))
		d.metrics.adoptions.RecordDuration(now.Sub(o.fetched))
	}
	if wanted := d.wanted.GetNumber(); wanted > 0 && wanted <= number {
		line = line.Float64("heard-ms-ago", milliseconds(now.Sub(d.heardAt))).Int("fetches", d.fetchCount)
		d.metrics.lags.RecordDuration(now.Sub(d.heardAt))
	}
	line.Msg("New version in force.")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
