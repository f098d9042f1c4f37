package deduplicator

import (
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// maxEpochs is the maximum number of epochs in the history. When it is exceeded,
// the oldest are dropped and the outcome of more keys becomes unknown, which is
// safe.
const maxEpochs = 256

// epoch is a period in which the routable instances, noMajority and ownIncarnation
// did not change.
type epoch struct {
	start    time.Time
	routable []*registrar.Instance
	// others are all other instances that had not left at the start of the epoch,
	// including unreachable ones.
	others []*registrar.Instance
	// noMajority is set if at most half of the instances that have not left are
	// alive in this instance's view. It may then be partitioned from the fleet,
	// where any other instance may have been the home of its keys.
	noMajority bool
	// ownIncarnation is this instance's incarnation, or 0 if it is not listed. An
	// increase means that other instances suspected it.
	ownIncarnation uint64
}

// homePeriod is a period in which a key had one home. It ends where the next one
// starts.
type homePeriod struct {
	start time.Time
	home  *registrar.Instance // Nil if any instance may have been the home.
}

// history records the membership of the service over time, from which the former
// homes of a key are derived.
type history struct {
	instanceID string
	epochs     []epoch
}

// observe starts a new epoch if the routable instances, noMajority or the incarnation
// of this instance changed.
func (h *history) observe(instances []*registrar.Instance, now time.Time, retention time.Duration) {
	e := epoch{start: now}
	notLeft, alive := 0, 0
	for _, in := range instances {
		if in.ID() == h.instanceID {
			e.ownIncarnation = in.Incarnation()
		}
		if in.State().Routable() {
			e.routable = append(e.routable, in)
		}
		if in.State() != registrar.StateLeft {
			notLeft++
		}
		if in.State() != registrar.StateLeft && in.ID() != h.instanceID {
			e.others = append(e.others, in)
		}
		if in.State() != registrar.StateLeft && in.State() != registrar.StateFailed {
			alive++
		}
	}
	e.noMajority = alive*2 <= notLeft
	if n := len(h.epochs); n > 0 {
		last := h.epochs[n-1]
		if last.noMajority == e.noMajority && last.ownIncarnation == e.ownIncarnation && sameInstances(last.routable, e.routable) {
			return
		}
	}
	h.epochs = append(h.epochs, e)
	h.prune(now.Add(-retention))
}

// prune removes the epochs that ended by the given time, and the oldest beyond
// maxEpochs.
func (h *history) prune(before time.Time) {
	n := 0
	for n+1 < len(h.epochs) && !h.epochs[n+1].start.After(before) {
		n++
	}
	n = max(n, len(h.epochs)-maxEpochs)
	h.epochs = slices.Delete(h.epochs, 0, n)
}

// homePeriods returns the homes of a key from the first epoch to now, in chronological
// order.
func (h *history) homePeriods(key string, retention time.Duration, now time.Time) []homePeriod {
	var periods []homePeriod
	for i, e := range h.epochs {
		end := now
		if i+1 < len(h.epochs) {
			end = h.epochs[i+1].start
		}
		incarnationChanged := i > 0 && h.epochs[i-1].ownIncarnation != 0 && h.epochs[i-1].ownIncarnation != e.ownIncarnation
		if e.noMajority || incarnationChanged {
			periods = append(periods, homePeriod{start: e.start})
		}
		if e.noMajority {
			continue
		}
		for _, at := range e.periodStarts(end, retention) {
			periods = append(periods, homePeriod{start: at, home: highestScored(e.routable, key, at.Add(-retention))})
		}
	}
	return periods
}

// periodStarts returns the times at which the home of a key may change within the
// epoch: its start, and each time until end at which a routable instance has been
// up for the retention.
func (e *epoch) periodStarts(end time.Time, retention time.Duration) []time.Time {
	starts := []time.Time{e.start}
	for _, in := range e.routable {
		if at := startTime(in).Add(retention); at.After(e.start) && !at.After(end) {
			starts = append(starts, at)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// sameInstances reports whether two lists hold the same incarnations of the same
// instances, in the same order.
func sameInstances(a, b []*registrar.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y *registrar.Instance) bool {
		return x.ID() == y.ID() && x.Incarnation() == y.Incarnation()
	})
}
