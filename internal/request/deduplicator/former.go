package deduplicator

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// unknownHome is a placeholder for former homes from before the recorded history,
// which cannot be reached.
var unknownHome = registrar.NewInstance(registrar.Spec{ID: "unknown"})

// otherInstances returns all other instances in the history, each incarnation once.
func (h *history) otherInstances() []*registrar.Instance {
	var list []*registrar.Instance
	for _, e := range h.epochs {
		for _, in := range e.others {
			list = appendUnique(list, in)
		}
	}
	return list
}

// formerHomes returns the other instances that may have run a key within its
// retention. It includes unknownHome if the history does not cover the retention.
func (d *Deduplicator) formerHomes(periods []homePeriod, others []*registrar.Instance, req Request, now time.Time) []*registrar.Instance {
	if d.issuedAfterBecomingHome(periods, req.Key, now) {
		return nil
	}
	windowStart := now.Add(-req.Retention)
	var homes []*registrar.Instance
	if len(periods) == 0 || periods[0].start.After(windowStart) {
		homes = append(homes, unknownHome)
	}
	for i, period := range periods {
		endedBeforeWindow := i+1 < len(periods) && periods[i+1].start.Before(windowStart)
		switch {
		case endedBeforeWindow || period.home != nil && period.home.ID() == d.cfg.Instance:
		case period.home == nil:
			for _, in := range others {
				homes = appendUnique(homes, in)
			}
		default:
			homes = appendUnique(homes, period.home)
		}
	}
	return d.excludeHandedOver(homes)
}

// issuedAfterBecomingHome reports whether the timestamp in a key proves that the key
// was issued after the whole fleet regarded this instance as its home. A timestamp
// in the future beyond convergenceMargin proves nothing.
func (d *Deduplicator) issuedAfterBecomingHome(periods []homePeriod, key string, now time.Time) bool {
	at, ok := issueTime(key)
	if !ok || at.After(now.Add(convergenceMargin)) {
		return false
	}
	var homeSince time.Time
	for i := len(periods) - 1; i >= 0; i-- {
		if periods[i].home == nil || periods[i].home.ID() != d.cfg.Instance {
			break
		}
		homeSince = periods[i].start
	}
	return !homeSince.IsZero() && at.After(homeSince.Add(convergenceMargin))
}

// excludeHandedOver returns the homes without those that handed over their records
// in the same or a later incarnation.
func (d *Deduplicator) excludeHandedOver(homes []*registrar.Instance) []*registrar.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var remaining []*registrar.Instance
	for _, in := range homes {
		if incarnation, ok := d.handedOver[in.ID()]; !ok || incarnation < in.Incarnation() {
			remaining = append(remaining, in)
		}
	}
	return remaining
}

// appendUnique appends an instance unless the list contains the same incarnation of
// it.
func appendUnique(list []*registrar.Instance, in *registrar.Instance) []*registrar.Instance {
	for _, known := range list {
		if known.ID() == in.ID() && known.Incarnation() == in.Incarnation() {
			return list
		}
	}
	return append(list, in)
}
