package keyer

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// unanswering stands for a former home that nobody can ask.
var unanswering = registrar.NewInstance(registrar.Spec{ID: "unknown"})

// others returns all other instances that the history knows.
func (h *history) others() []*registrar.Instance {
	var list []*registrar.Instance
	for _, e := range h.epochs {
		for _, in := range e.others {
			list = appendNew(list, in)
		}
	}
	return list
}

// formerHomes returns the instances that may have let a key run within its
// retention. It holds unanswering if that cannot be known.
func (k *Keyer) formerHomes(reigns []reign, others []*registrar.Instance, req Request, now time.Time) []*registrar.Instance {
	if k.fresh(reigns, req.Key, now) {
		return nil
	}
	window := now.Add(-req.Retention)
	var homes []*registrar.Instance
	if len(reigns) == 0 || reigns[0].from.After(window) {
		homes = append(homes, unanswering)
	}
	for i, r := range reigns {
		ended := i+1 < len(reigns) && reigns[i+1].from.Before(window)
		switch {
		case ended || r.home != nil && r.home.ID() == k.cfg.Instance:
		case r.home == nil:
			for _, in := range others {
				homes = appendNew(homes, in)
			}
		default:
			homes = appendNew(homes, r.home)
		}
	}
	return k.withoutReceipts(homes)
}

// fresh reports whether a key carries a time that proves that it was issued
// after this instance became its home, everywhere.
func (k *Keyer) fresh(reigns []reign, key string, now time.Time) bool {
	at, ok := issued(key)
	if !ok || at.After(now.Add(convergence)) {
		return false
	}
	var since time.Time
	for i := len(reigns) - 1; i >= 0; i-- {
		if reigns[i].home == nil || reigns[i].home.ID() != k.cfg.Instance {
			break
		}
		since = reigns[i].from
	}
	return !since.IsZero() && at.After(since.Add(convergence))
}

// withoutReceipts leaves out the instances that handed their records over.
func (k *Keyer) withoutReceipts(homes []*registrar.Instance) []*registrar.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	var left []*registrar.Instance
	for _, in := range homes {
		if incarnation, ok := k.receipts[in.ID()]; !ok || incarnation < in.Incarnation() {
			left = append(left, in)
		}
	}
	return left
}

// appendNew adds an instance unless the list has this incarnation of it.
func appendNew(list []*registrar.Instance, in *registrar.Instance) []*registrar.Instance {
	for _, known := range list {
		if known.ID() == in.ID() && known.Incarnation() == in.Incarnation() {
			return list
		}
	}
	return append(list, in)
}
